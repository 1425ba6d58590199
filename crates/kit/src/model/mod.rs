//! What stand-ins do, sans-io: time is a parameter, and nothing here opens a socket.

pub mod client;

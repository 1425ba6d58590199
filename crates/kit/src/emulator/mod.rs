//! The stand-ins on sockets: each a thread's loop that plays its part of a plan and returns what it saw.

pub mod network;

//! The network side: sockets, protocols and the loop. It decides nothing; see [`driver`].

mod attempt;
mod client_connection;
mod datagrams;
mod discovery_client;
pub mod driver;
mod invariant;
mod management;
mod network_event;
mod open_line;
mod relay;
mod request_error;

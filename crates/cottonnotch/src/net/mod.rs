//! The network side: sockets, protocols and the loop. It decides nothing; see [`driver`].

mod attempt;
mod client_connection;
mod client_protocol;
mod connection_request;
mod datagrams;
mod discovery_client;
pub mod driver;
mod final_answer;
mod invariant;
mod management;
mod network_event;
mod object;
mod open_line;
mod relay;
mod request_error;

//! Network code: sockets, protocols and the event loop. This module makes no routing decisions; see [`driver`].

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

//! The network side: sockets, protocols and the loop. It decides nothing; see [`driver`].

mod call_attempt;
mod datagrams;
pub mod driver;
mod happening;
mod invariant;
mod management;
mod objection;
mod open_line;
mod relay;
mod resolver;
mod rpc;

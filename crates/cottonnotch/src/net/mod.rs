//! The network side: sockets, protocols and the loop. It decides nothing; see [`driver`].

mod call_attempt;
mod datagrams;
pub mod driver;
mod happening;
mod invariant;
mod load_lines;
mod management;

mod message_delay;
mod objection;
mod open_line;
mod peer_loads;
mod relay;
mod resolver;
mod resolver_result;
mod rpc;

pub use resolver_result::{BadResult, ResolverResult};

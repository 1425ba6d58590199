//! The network side: sockets, protocols and the loop. It decides nothing; see [`driver`].

mod call_attempt;
pub mod driver;
mod happening;
mod http;
mod invariant;
mod lifecycle;
mod line;
mod listener;
mod message_delay;
mod open_line;
mod reactor;
mod relay;
mod resolver;
mod resolver_result;
mod rpc;
mod seldom;

pub use resolver_result::{BadResult, ResolverResult};

//! The decisions of one proxy, without sockets and without a clock: events in, actions out. The proxy and the
//! simulator's adapter both embed it. See `docs/design.md`.

mod budget;
pub mod homes;
pub mod interface;
mod job;
pub mod list_calls;
pub mod names;
pub mod part;
pub mod policy;
pub mod rules;
pub mod settings;

pub use interface::*;
pub use policy::Balancer;
pub use rules::{Rules, Ruling, ServerSet, Stay};

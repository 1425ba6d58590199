//! The balancing policy of one proxy, in sans-io form: it takes events and returns actions, and uses no
//! sockets and no clock. The proxy and the simulator's adapter both embed it. See `docs/design.md`.

pub mod affinity;
mod budget;

pub mod interface;
pub mod list_polling;
pub mod names;
mod pending_request;
pub mod policy;
pub mod quota;
pub mod rules;
pub mod settings;

pub use interface::*;
pub use policy::Balancer;
pub use rules::{RoutingRules, RoutingVerdict, ServerSet, Stickiness};

//! Types, events and actions are defined in `src/interface.rs`. The decisions themselves are made in the
//! modules below: the server list, the rotation over servers, pauses, retries and rejections.
//!
//! The basic mechanism is that of PIP-385, adapted (see docs/design.md). A server that rejected a
//! connection as full, or failed, is paused until the next full second of the clock. New connections rotate
//! over the other servers. While all servers are paused, new connections are queued; those that cannot wait
//! for the end of a pause are rejected early. All other rules in these modules are exceptions to this
//! mechanism.

mod arrivals;
mod balancer;
mod circuit_breaker;
mod dispatch;
mod drain;
mod latency;
mod outcomes;
mod peer_reports;
mod requests;
mod rotation;
mod server;
mod server_list;
mod setup_rates;
mod turns;

pub use balancer::Balancer;

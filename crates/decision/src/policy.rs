//! Types, events and actions: `src/interface.rs`. Every decision is in this file and in its folder: the
//! server list, the rotation over servers, pauses, retries and rejections.
//!
//! The mechanism (PIP-385, adapted; docs/design.md): a server that rejected a connection as full, or failed,
//! is paused until the next second mark; new connections rotate over the rest; while all are paused they
//! are queued, and rejected early when they cannot wait. What else is here is an exception to that.

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

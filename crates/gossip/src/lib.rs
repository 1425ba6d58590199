//! Membership of proxies and what they tell one another, sans-io: fully deterministic, no sockets, no clocks, no chance but
//! that from one seed. [`Gossip`] is `handle(now, input)`, `poll() -> output` and `next_timeout()`.
//!
//! Members are ordinals from 0, as many as the configuration says; addresses stay with the embedder. Times are
//! microseconds of one clock that never goes back. `docs/design/gossip.md` says why it is built so, what goes over the wire,
//! and what a liar can and can't do.

mod ceiling;
mod config;
mod counts;
mod entry;
mod gossip;
mod health;
mod hearsay;
mod incarnation;
mod keys;
mod own;
mod peer;
mod probing;
mod receiving;
mod rotation;
mod rumours;
mod telling;
mod told;
mod window;
pub mod wire;

pub use config::{BadGossip, GossipSection, Settings};
pub use counts::{Counts, Dropped, Purpose};
pub use entry::{Directory, Entry, Evidence, Load, Subchannel};
pub use gossip::{Gossip, Input, Output};
pub use incarnation::Incarnation;
pub use keys::{BadKeys, Keys, SharedKey, Strength};
pub use peer::State;
pub use wire::To;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

//! Gossip between proxies, sans-io: their membership, and what they report to one another. Fully deterministic, no sockets, no
//! clocks, no randomness but that from one seed. [`Gossip`] is `handle(now, input)`, `poll() -> output` and `next_timeout()`.
//!
//! Members are ordinals from 0, as many as the configuration says; addresses stay with the embedder. Times are
//! microseconds of one clock that never goes back. `docs/design/gossip.md` says why it is built so, what goes over the wire,
//! and what a faulty peer can and can't do.

mod bandwidth_limit;
mod broadcast_queue;
mod config;
mod counts;
mod entry;
mod farewell;
mod gossip;
mod identity;
mod incarnation;
mod indirect_reports;
mod interface;
mod keys;
mod local_health;
mod local_state;
mod observations;
mod peer;
mod peer_state;
mod peers;
mod probes;
mod probing;
mod receiving;
mod recipient;
mod replay_window;
mod rotation;
mod sending;
mod suspicion;
mod token_bucket;
pub mod wire;

pub use config::{GossipSection, GossipSectionError, Settings};
pub use counts::{Counts, DropReason, Purpose};
pub use entry::{Directory, EndpointDigest, Entry, Evidence, Load};
pub use gossip::Gossip;
pub use incarnation::Incarnation;
pub use interface::{Input, Output};
pub use keys::{Keys, KeysError, SharedKey, Strength};
pub use observations::{Observation, Observations};
pub use peer::State;
pub use recipient::To;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

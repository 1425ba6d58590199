//! Sans-io gossip between proxies: it maintains their membership and exchanges their reports on endpoints. The crate is fully
//! deterministic: it uses no sockets and no clocks, and takes all randomness from one seed. The embedder drives [`Gossip`]
//! with `handle(now, input)`, `poll() -> output` and `next_timeout()`.
//!
//! Members are identified by ordinals from 0 up to the configured number; the embedder maps them to addresses. Times are
//! microseconds of a monotonic clock. `docs/design/gossip.md` describes the design, the wire format, and what a faulty
//! peer can and can't do.

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

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

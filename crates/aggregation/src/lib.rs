//! The fleet snapshot, sans-io: fully deterministic, no sockets, no clocks, no chance but that from one seed. [`Member`] is
//! `handle(now, input)`, `poll() -> output` and `next_timeout()`.
//!
//! Each proxy of a large tier sees a few connections, which say next to nothing of the render nodes. So each *reports* what
//! it has, once a period, to one proxy that is *aggregator* for the time being, and gets the sums of all reports, the *table*,
//! as the answer. The aggregator is another one every [`EPOCH`]; who comes next is the same for everybody.
//! `docs/design/fleet-snapshot.md` says why, and what it costs.
//!
//! The aggregator also sums up what all have of each large group, and tells how many homes those need that five are too few for:
//! `docs/design/group-homes.md`.

pub mod affinity_subsets;
mod aggregation;
mod aggregator_order;
mod config;
pub mod group_sums;
pub mod groups;
mod member;
mod report_interval;
mod snapshot;
pub mod wire;

pub use aggregation::{Aggregation, MemberReport};
pub use aggregator_order::{EPOCH, aggregator_order};
pub use config::{AffinitySettings, FleetSection, FleetSectionError, Settings};
pub use groups::GroupLoad;
pub use member::{Counts, Input, LocalLoad, Member, Output};
pub use snapshot::{EndpointUsage, Snapshot};
pub use wire::{EndpointDigest, Entry, HealthVerdict};

/// A point in time or a span, in microseconds.
pub type Micros = i64;

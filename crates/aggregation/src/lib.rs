//! Aggregation of load reports over a fleet of proxies, sans-io: fully deterministic, no sockets, no clocks, no randomness but that
//! from one seed. [`Member`] is `handle(now, input)`, `poll() -> output` and `next_timeout()`.
//!
//! Each proxy of a large fleet has a few connections, which say next to nothing of the render nodes. So each member reports
//! what it has, once an interval, to the member that is *aggregator* for the time being, and gets a *fleet summary*, the sums of
//! all reports, as the answer. The aggregator is another one every [`EPOCH`]; all members compute the same order.
//! `docs/design/fleet-view.md` says why, and what it costs.
//!
//! The aggregator also sums up what all members have of each large group, and answers how many endpoints the group's affinity
//! subset needs if five are too few: `docs/design/group-homes.md`.

pub mod affinity_subsets;
mod aggregation;
mod aggregator;
mod aggregator_order;
mod aggregator_search;
mod config;
mod fleet_sums;
pub mod group_sums;
pub mod groups;
mod interface;
mod member;
mod member_report;
mod receiving;
mod report_interval;
mod report_schedule;
mod sequence;
mod snapshot;
mod subset_tracker;
pub mod wire;

pub use aggregator_order::{EPOCH, aggregator_order};
pub use config::{AffinitySettings, FleetSection, FleetSectionError, Settings};
pub use groups::GroupLoad;
pub use interface::{Counts, Input, LocalLoad, Output};
pub use member::Member;
pub use snapshot::{EndpointUsage, Snapshot};
pub use wire::{EndpointDigest, Entry, HealthVerdict};

/// A point in time or a span, in microseconds.
pub type Micros = i64;

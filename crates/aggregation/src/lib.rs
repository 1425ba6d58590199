//! Aggregation of load reports over a fleet of proxies, sans-io and deterministic: the crate opens no sockets, reads no clock
//! and takes all randomness from one seed. A caller drives a [`Member`] with `handle(now, input)`, `poll() -> output` and
//! `next_timeout()`.
//!
//! Each proxy of a large fleet has only a few connections, which reveal almost nothing about the load of the render nodes.
//! Every member therefore sends a load report once per interval to the current *aggregator*, which is one of the members. The
//! aggregator answers with a *fleet summary*, the sums over all reports. The aggregator changes every [`EPOCH`]; all members
//! compute the same order of candidates. `docs/design/fleet-view.md` describes the reasons and the costs.
//!
//! The aggregator also sums up the load of each large group over all members. If five endpoints are too few for a group, the
//! answer contains the size that the group's affinity subset needs: `docs/design/group-homes.md`.

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

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

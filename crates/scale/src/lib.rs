//! Hollow proxies: the program's own sans-io members (decision, aggregation or gossip, consensus, watches), wired by
//! `cottonnotch-proxy-core` as the daemon wires them, with synthetic connections in place of clients and render nodes.
//!
//! [`Hollow`] itself is sans-io; [`sockets`] runs many in one process on real loopback sockets and real time, [`virtual_time`]
//! on links in memory and virtual time, where an hour's partition or hundreds of members in a test take seconds. [`judge`] reads
//! [`records`] only and shares nothing with their source. `docs/design/scale.md` lists what hollow members leave out.

pub mod bounds;
pub mod calibrate;
mod connections;
mod consensus_member;
pub mod counters;
pub mod discovery;
pub mod fault;
pub mod fault_scenarios;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod interface;
pub mod judge;
pub mod member_threads;
pub mod nodes;
mod peers_member;
pub mod real;
pub mod records;
pub mod relay;
pub mod run_result;
mod schedule;
pub mod shape;
pub mod sockets;
pub mod virtual_time;
pub mod watch;
pub mod worker;

pub use hollow::Hollow;
pub use interface::{HollowInput, HollowOutput};
pub use shape::Shape;

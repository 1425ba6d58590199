//! The soak test: a few dozen real daemons on loopback, with stand-ins for everything around them (`cottonnotch_kit`), two or three
//! faults that overlap in time, and system calls and a wall clock that fail as Linux documents (`cottonnotch_shims`). A run is
//! generated from its seed and judged by the kit's rules from outside, by the daemons' own guards, and by their exit status.

pub mod generator;
pub mod log_findings;
pub mod runner;
pub mod shim_schedule;

//! The rehearsal kit: it runs real proxies among emulated render nodes, discovery, front and clients, injects the
//! faults of a scenario, and has a judge whose only input is the emulators' observations. See `docs/design/kit.md`.
// Some functions predate the workspace's lints and are too long; docs/ROADMAP.md lists them.
#![allow(clippy::too_many_lines)]

pub mod addresses;
pub mod bad_proxy;
pub mod board;
pub mod compare;
pub mod conductor;
pub mod emulator;
pub mod judge;
pub mod load;
pub mod model;
pub mod notes;
pub mod observation;
pub mod plan;
pub mod processes;
pub mod prove;
pub mod rehearse;
pub mod scenario;
pub mod settings;
pub mod time;

#[cfg(test)]
mod testing;

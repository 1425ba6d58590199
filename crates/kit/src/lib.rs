//! The rehearsal kit: stand-in render nodes, discovery, front and clients around real proxies, faults from a scenario,
//! and a judge that is fed only by what the stand-ins saw. See `docs/design/kit.md`.
// Left from before the workspace's lints: docs/ROADMAP.md lists the functions.
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

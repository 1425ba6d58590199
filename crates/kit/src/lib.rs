//! The rehearsal kit: stand-in render nodes, discovery, front and clients around real proxies, faults from a scenario,
//! and a judge that is fed only by what the stand-ins saw. See `docs/design/kit.md`.

pub mod addresses;
pub mod board;
pub mod emulator;
pub mod model;
pub mod notes;
pub mod observation;
pub mod plan;
pub mod time;

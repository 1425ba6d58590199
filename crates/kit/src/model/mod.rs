//! The behavior of the emulated clients, render nodes and discovery, without sockets and clocks: `handle(now,
//! input) -> outputs` and `next_timeout()`. The same inputs at the same times give the same outputs.

pub mod backlog;
pub mod client;
pub mod discovery;
pub mod first_line;
pub mod node;
pub mod registry;
pub mod slow_start;
#[cfg(test)]
pub(crate) mod testing;

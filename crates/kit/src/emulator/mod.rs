//! The stand-ins on real sockets: each a thread with an event loop of its own, all on the run's clock.

pub mod discovery;
mod discovery_connection;
pub mod discovery_list;
#[cfg(test)]
mod discovery_tests;
pub mod fault;
pub mod nodes;
mod nodes_connection;
#[cfg(test)]
mod nodes_load;
mod nodes_post;
mod nodes_talk;
#[cfg(test)]
mod nodes_tests;
#[cfg(test)]
mod testing;

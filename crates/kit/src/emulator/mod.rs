//! Emulators of everything around the proxies, on real sockets: clients, front, network, render nodes and discovery.
//! Each emulator runs a reactor on a thread of its own, follows its part of the plan by the run's clock, and returns
//! its observations.

pub mod clients;
pub mod discovery;
mod discovery_connection;
pub mod discovery_list;
mod false_reporter;
pub mod fault;
pub mod front;
pub mod network;
pub mod nodes;
mod nodes_connection;
mod nodes_listener;
mod nodes_talk;
pub mod rude;
mod rude_script;

#[cfg(test)]
mod discovery_tests;
#[cfg(test)]
mod nodes_load;
#[cfg(test)]
mod nodes_tests;
#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests_of_clients;

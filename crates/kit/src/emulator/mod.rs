//! The stand-ins on real sockets: each a loop of the project's reactor on a thread of its own, that plays its part of a
//! plan and returns what it saw.

pub mod clients;
pub mod front;
pub mod network;
pub mod rude;
mod rude_script;

#[cfg(test)]
mod tests_of_clients;

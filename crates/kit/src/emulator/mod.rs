//! The stand-ins on real sockets, each a loop of the project's reactor on a thread of its own.

pub mod clients;
pub mod front;
pub mod rude;
mod rude_script;

#[cfg(test)]
mod tests_of_clients;

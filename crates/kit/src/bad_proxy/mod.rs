//! A small proxy that keeps every standing rule, until it is told to break one of them.
//!
//! It exists to prove that the judge can fail: each [`Fault`] breaks one rule and no other, and without a fault all
//! are kept. It places badly (round robin) and shares no code with the daemon, so a mistake there can't hide here.
//! The kit runs it as a process of its own, in place of the daemon.

mod beside;
mod configuration;
mod fault;
mod first_line;
mod lists;
mod proxy;
mod relay;
mod report;
mod request;
mod roster;
mod session;
mod watch;

pub use configuration::BadProxyError;
pub use fault::{Fault, UnknownFault};

/// Serves as the platform's environment says (`GW_CONFIG`, `GW_LISTEN`, `GW_DISCOVERY`), with this fault, until
/// SIGTERM; then moves its clients and returns within some 2 s. [`Fault::Crashes`] ends the process itself, with
/// code 3. Fails if the environment or the file cannot be used, or the address cannot be listened on.
pub fn serve(fault: Option<Fault>) -> Result<(), BadProxyError> {
    let configuration = configuration::Configuration::load(|name| std::env::var(name).ok())?;
    proxy::Proxy::start(configuration, fault)?.run()
}

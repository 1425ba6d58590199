//! A small proxy that keeps all rules of the judge, unless it is started with a fault that breaks one of them.
//!
//! It proves that the judge can fail a run: each [`Fault`] breaks exactly one rule, and without a fault all rules
//! are kept. The proxy places requests by round robin and shares no code with the daemon, so a mistake in the
//! daemon's code cannot hide a failure here. The kit runs it as a separate process, in place of the daemon.

mod configuration;
mod fault;
mod first_line;
mod lists;
mod parallel_attempt;
mod proxy;
mod relay;
mod report;
mod request;
mod roster;
mod session;
mod watch;

pub use configuration::BadProxyError;
pub use fault::{Fault, UnknownFault};

/// Runs the proxy with the given fault until SIGTERM, as configured by the environment (`GW_CONFIG`, `GW_LISTEN`,
/// `GW_DISCOVERY`). After SIGTERM it moves its clients and returns within about 2 s. [`Fault::Crashes`] ends the
/// process with code 3. Fails if the environment or the configuration file is invalid, or if the address cannot be
/// listened on.
pub fn serve(fault: Option<Fault>) -> Result<(), BadProxyError> {
    let configuration = configuration::Configuration::load(|name| std::env::var(name).ok())?;
    proxy::Proxy::start(configuration, fault)?.run()
}

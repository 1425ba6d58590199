//! The proxy: real sockets around the decision module. See the README for how the parts fit.

mod config;
mod net;

use config::Config;
use net::driver::Driver;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let config = match Config::load(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(error) => {
            log::error!("cannot start: {error}");
            return ExitCode::from(2);
        }
    };
    let name = config.name.clone();
    let reread = || Config::reload(|name| std::env::var(name).ok());
    let served = Driver::start(config, reread).and_then(|mut driver| {
        log::info!("{name} listens on {}", driver.address());
        driver.run()
    });
    match served {
        Ok(()) => {
            log::info!("{name} has stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!("{name} cannot go on: {error}");
            ExitCode::FAILURE
        }
    }
}

//! The command line of the rehearsal kit.

mod cli;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    cli::Cli::parse().run()
}

//! The command line of the rehearsal kit.
// Some functions predate the workspace's lints and are too long; docs/ROADMAP.md lists them.
#![allow(clippy::too_many_lines)]

mod cli;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    cli::Cli::parse().run()
}

//! The command line of the rehearsal kit.
// Left from before the workspace's lints: docs/ROADMAP.md lists the functions.
#![allow(clippy::too_many_lines)]

mod cli;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    cli::Cli::parse().run()
}

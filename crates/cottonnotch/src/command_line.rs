//! Command-line arguments. The platform starts the program without arguments, which runs the proxy.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// The text printed at the end of `--help`.
const ENVIRONMENT: &str = "\
Environment (what the platform sets; all but GW_CONFIG may stand in that file instead):
  GW_CONFIG     the platform's JSON file: limits, known render nodes, settings
  GW_NAME       the proxy's name in the log [default: cottonnotch]
  GW_LISTEN     address and port for clients
  GW_MGMT       address and port for operators [default: none]
  GW_DISCOVERY  address and port of discovery
  GW_SEED       for random numbers, hexadecimal [default: 0]
  RUST_LOG      which log lines are written; wins over log.filter of the operator's file [default: info]

Signals:
  SIGTERM  moves every client, then stops
  SIGHUP   reads both files again, and takes both or neither

Exit codes: 0 after SIGTERM or a sound check, 1 when it cannot go on, 2 when it cannot start or a check fails.";

/// A proxy for long-lived connections: it places each on one of a fleet of render nodes, and moves it before its
/// render node leaves.
#[derive(Debug, Parser)]
#[command(name = "cottonnotch", version, after_help = ENVIRONMENT)]
pub struct CommandLine {
    /// The operator's TOML file; deploy/cottonnotch.toml shows every setting [default: none, all at defaults]
    #[arg(long, global = true, value_name = "FILE", env = crate::config::OPERATOR_VARIABLE, hide_env_values = true)]
    pub operator: Option<PathBuf>,
    /// The command to run; `None` runs the proxy.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// A command that runs instead of the proxy and then exits.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks the whole configuration without opening a socket and prints each value with its source
    ///
    /// Prints one line per value: KEY = VALUE  # SOURCE. An error is written to standard error with the key, file and
    /// line, and the exit code is then 2.
    Check,
}

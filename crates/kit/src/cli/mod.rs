//! The commands of the kit. Each command prints text for people and has an exit code: 0 if all rules were kept and all
//! demands met, 1 if not, 2 if the command could not be carried out, 3 if the run is void because the kit itself ran
//! late, 130 if Ctrl-C ended it.

mod compare;
mod demo;
mod load;
mod prove;
mod rehearse;
mod show;

use clap::{Args, Parser, Subcommand};
use cottonnotch_kit::bad_proxy::{self, Fault};
use cottonnotch_kit::processes::{self, Daemon};
use std::ffi::OsString;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Rehearses failures of the cottonnotch proxy: runs real proxies on this machine among emulated render nodes,
/// discovery, front and clients, injects the faults of a scenario, and judges the rules. It uses only loopback
/// addresses.
#[derive(Debug, Parser)]
#[command(name = "cottonnotch-kit", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a demo of half a minute: two proxies and eight render nodes under load, one killed, one drained.
    Demo(demo::Demo),
    /// Runs scenarios and judges each run.
    Rehearse(rehearse::Rehearse),
    /// Measures the capacity of one proxy, and for comparison that of a direct connection to a render node.
    Load(load::Load),
    /// Runs two builds, or two settings, side by side on the same seeds, and reports which serves better.
    Compare(compare::Compare),
    /// Checks that the judge finds faults: runs a proxy with each known fault, which must break its rule and no other.
    Prove(prove::Prove),
    /// Prints the plan that a scenario draws from a seed, without running it.
    Show(show::Show),
    /// Executes a proxy that is killed when the kit ends. Used by the kit itself.
    #[command(hide = true)]
    Keeper {
        /// Process id of the kit.
        parent: u32,
        /// Limit of the program's open file descriptors.
        descriptors: u64,
        /// The program and its arguments.
        #[arg(last = true, required = true)]
        program: Vec<OsString>,
    },
    /// Serves as a scripted proxy that breaks a rule. Used by `prove`.
    #[command(hide = true)]
    BadProxy {
        /// The fault; the proxy has none if this is absent.
        fault: Option<Fault>,
    },
}

/// The program that runs as the proxy.
#[derive(Clone, Debug, Default, Args)]
struct DaemonArgs {
    /// The proxy's program; by default the one in the folder of this program, or in the folder above.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// An argument for the proxy; the option can be repeated.
    #[arg(long = "daemon-arg", value_name = "ARGUMENT", allow_hyphen_values = true)]
    daemon_args: Vec<OsString>,
    /// The operator's file for the proxy (its `--operator FILE`).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl DaemonArgs {
    fn daemon(&self) -> Result<Daemon, String> {
        let found = match &self.daemon {
            Some(path) => Daemon { program: path.clone(), arguments: Vec::new() },
            None => Daemon::beside_us().ok_or(
                "no proxy beside this program: build it with `cargo build --release --locked`, or name one with --daemon PATH",
            )?,
        };
        found.check().map_err(|error| error.to_string())?;
        let mut arguments = self.daemon_args.clone();
        if let Some(operator) = &self.operator {
            arguments.push("--operator".into());
            arguments.push(operator.clone().into_os_string());
        }
        Ok(Daemon { arguments, ..found })
    }
}

/// The result of a command, from which its exit code follows.
enum Outcome {
    Success,
    Failure,
    Void,
    Interrupted,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        ExitCode::from(match outcome {
            Outcome::Success => 0,
            Outcome::Failure => 1,
            Outcome::Void => 3,
            Outcome::Interrupted => 130,
        })
    }
}

impl Cli {
    /// Runs the command and returns its exit code.
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            Command::Demo(demo) => demo.run(),
            Command::Rehearse(rehearse) => rehearse.run(),
            Command::Load(load) => load.run(),
            Command::Compare(compare) => compare.run(),
            Command::Prove(prove) => prove.run(),
            Command::Show(show) => show.run(),
            Command::Keeper { parent, descriptors, program } => {
                let Some((program, arguments)) = program.split_first() else { return ExitCode::from(2) };
                let error = processes::keep(parent, descriptors, program.as_ref(), arguments);
                Err(format!("{}: {error}", program.display()))
            }
            Command::BadProxy { fault } => match bad_proxy::serve(fault) {
                Ok(()) => Ok(Outcome::Success),
                Err(error) => Err(error.to_string()),
            },
        };
        match result {
            Ok(outcome) => outcome.into(),
            Err(trouble) => {
                eprintln!("cottonnotch-kit: {trouble}");
                ExitCode::from(2)
            }
        }
    }
}

/// Returns a flag that SIGINT (Ctrl-C) and SIGTERM set. Once it is set, a SIGINT ends the kit at once, and the system
/// kills the kit's proxies.
fn interrupt() -> Result<Arc<AtomicBool>, String> {
    let flag = Arc::new(AtomicBool::new(false));
    let twice =
        signal_hook::flag::register_conditional_shutdown(signal_hook::consts::SIGINT, 130, Arc::clone(&flag));
    let once = signal_hook::flag::register(signal_hook::consts::SIGINT, Arc::clone(&flag));
    let term = signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&flag));
    twice.and(once).and(term).map_err(|error| format!("cannot install the signal handlers: {error}"))?;
    Ok(flag)
}

/// Writes a report as JSON. A temporary file is renamed, so the file is never incomplete.
fn write_json(path: &std::path::Path, value: &impl serde::Serialize) -> Result<(), String> {
    let text = simd_json::to_string_pretty(value)
        .map_err(|error| format!("cannot serialize the report: {error}"))?;
    let fresh = path.with_extension("json.new");
    let written = std::fs::write(&fresh, text + "\n").and_then(|()| std::fs::rename(&fresh, path));
    written.map_err(|error| format!("{}: {error}", path.display()))
}

/// Writes a progress line to the terminal in place of the previous one.
fn progress(line: &str) {
    // A closed terminal must not end the run, so errors are ignored.
    let _ = write!(std::io::stderr(), "\r\x1b[2K{line}");
    let _ = std::io::stderr().flush();
}

/// Clears the progress line if standard error is a terminal.
fn progress_over() {
    if std::io::stderr().is_terminal() {
        progress("");
    }
}

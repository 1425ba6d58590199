//! What the kit can be asked for. Each command prints for a person and says by its exit code what came of it: 0 all
//! rules kept and all demands reached, 1 not, 2 it could not be played, 3 void (the kit itself ran late), 130 ended
//! by Ctrl-C.

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

/// Rehearses failures of the cottonnotch proxy: stand-in render nodes, discovery, front and clients around real
/// proxies on this machine, faults from a scenario, and a judge of the rules. Everything stays on loopback addresses.
#[derive(Debug, Parser)]
#[command(name = "cottonnotch-kit", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Shows it all in half a minute: two proxies and eight render nodes under load, one killed, one drained.
    Demo(demo::Demo),
    /// Plays scenarios and judges each of them.
    Rehearse(rehearse::Rehearse),
    /// Measures what one proxy bears, through it and directly to a render node.
    Load(load::Load),
    /// Plays two builds, or two settings, side by side on the same seeds, and says which serves better.
    Compare(compare::Compare),
    /// Proves that the judge can fail: plays a proxy with each known fault, which must break its rule and no other.
    Prove(prove::Prove),
    /// Prints what a scenario draws from a seed, without playing it.
    Show(show::Show),
    /// Becomes a proxy, bound to the kit's life. Used by the kit itself.
    #[command(hide = true)]
    Keeper {
        /// The kit's process.
        parent: u32,
        /// Descriptors that the program may hold.
        descriptors: u64,
        /// The program and its arguments.
        #[arg(last = true, required = true)]
        program: Vec<OsString>,
    },
    /// Serves as a scripted proxy that breaks a rule. Used by `prove`.
    #[command(hide = true)]
    BadProxy {
        /// Which fault; none: an honest one.
        fault: Option<Fault>,
    },
}

/// Which program is put in as the proxy.
#[derive(Clone, Debug, Default, Args)]
struct DaemonArgs {
    /// The proxy to play with; otherwise the one beside this program.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// An argument for it; may be given again and again.
    #[arg(long = "daemon-arg", value_name = "ARGUMENT", allow_hyphen_values = true)]
    daemon_args: Vec<OsString>,
    /// The operator's file for it (its `--operator FILE`).
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

/// How a command ended.
enum Ended {
    Well,
    Broken,
    Void,
    Interrupted,
}

impl From<Ended> for ExitCode {
    fn from(ended: Ended) -> ExitCode {
        ExitCode::from(match ended {
            Ended::Well => 0,
            Ended::Broken => 1,
            Ended::Void => 3,
            Ended::Interrupted => 130,
        })
    }
}

impl Cli {
    /// Does what was asked for.
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
                Ok(()) => Ok(Ended::Well),
                Err(error) => Err(error.to_string()),
            },
        };
        match result {
            Ok(ended) => ended.into(),
            Err(trouble) => {
                eprintln!("cottonnotch-kit: {trouble}");
                ExitCode::from(2)
            }
        }
    }
}

/// Set by Ctrl-C. A second one ends the kit at once, and the system ends its processes with it.
fn interrupt() -> Result<Arc<AtomicBool>, String> {
    let flag = Arc::new(AtomicBool::new(false));
    let twice =
        signal_hook::flag::register_conditional_shutdown(signal_hook::consts::SIGINT, 130, Arc::clone(&flag));
    let once = signal_hook::flag::register(signal_hook::consts::SIGINT, Arc::clone(&flag));
    let term = signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&flag));
    twice.and(once).and(term).map_err(|error| format!("signals cannot be heard: {error}"))?;
    Ok(flag)
}

/// Writes a report, whole or not at all.
fn write_json(path: &std::path::Path, value: &impl serde::Serialize) -> Result<(), String> {
    let text =
        simd_json::to_string_pretty(value).map_err(|error| format!("the report is no JSON: {error}"))?;
    let fresh = path.with_extension("json.new");
    let written = std::fs::write(&fresh, text + "\n").and_then(|()| std::fs::rename(&fresh, path));
    written.map_err(|error| format!("{}: {error}", path.display()))
}

/// Writes a line that the next one replaces, where a person watches.
fn progress(line: &str) {
    // A closed terminal is no reason to end a run.
    let _ = write!(std::io::stderr(), "\r\x1b[2K{line}");
    let _ = std::io::stderr().flush();
}

/// Clears that line, if there is one.
fn progress_over() {
    if std::io::stderr().is_terminal() {
        progress("");
    }
}

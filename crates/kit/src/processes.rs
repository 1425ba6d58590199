//! The proxies' processes: starts them with their resource limits, signals them, observes their exit and ends them with
//! the run.
//!
//! A proxy is started through the kit's own program (command `keeper`), which asks the system to kill the process when
//! the kit dies, sets the limit of descriptors, and then executes the proxy. So no proxy outlives a kit that panicked
//! or was killed. If the kit's program can't be found, the proxy is started directly, and only a kit that exits
//! normally ends the proxy.

use rustix::process::{Pid, Resource, Rlimit, Signal as Sig, kill_process};
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Descriptors that a process needs in addition to those of a proxy's configuration, for standard streams and the
/// loader. The limit must stop a proxy that leaks descriptors, and not affect one that doesn't.
const EXTRA_DESCRIPTORS: u64 = 16;

/// A program that runs as the proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Daemon {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments of the program.
    pub arguments: Vec<OsString>,
}

/// An error of a program or a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// No file exists at the program's path.
    #[error("there is no proxy at {0}: build it (cargo build --release) or name one with --daemon PATH")]
    Missing(PathBuf),
    /// The program can't be started.
    #[error("{program} cannot be started: {error}")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// A signal could not be sent.
    #[error("process {pid} cannot be signalled: {error}")]
    Signal {
        /// Process id.
        pid: u32,
        /// The system's error.
        error: io::Error,
    },
    /// The system's limit of descriptors is too low for the run.
    #[error(
        "this run needs {needed} open files and the system allows {allowed}: raise it (ulimit -n {needed}), or play a smaller scenario"
    )]
    Descriptors {
        /// Number of descriptors that the run needs.
        needed: u64,
        /// Number of descriptors that the system allows.
        allowed: u64,
    },
}

impl Daemon {
    /// Returns the proxy in the folder of the running program, or in the folder above (for test programs); `None` if
    /// neither has one.
    pub fn beside_us() -> Option<Daemon> {
        let own = std::env::current_exe().ok()?;
        let near = own.parent()?;
        let found = [Some(near), near.parent()].into_iter().flatten().map(|at| at.join("cottonnotch"));
        let program = found.into_iter().find(|path| path.is_file())?;
        Some(Daemon { program, arguments: Vec::new() })
    }

    /// Checks that the program exists.
    pub fn check(&self) -> Result<(), ProcessError> {
        if self.program.is_file() { Ok(()) } else { Err(ProcessError::Missing(self.program.clone())) }
    }
}

/// Returns the path of the kit's own program; `None` if it can't be found.
pub fn keeper() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    if own.file_stem().is_some_and(|name| name == "cottonnotch-kit") {
        return Some(own);
    }
    let near = own.parent()?;
    let found = [Some(near), near.parent()].into_iter().flatten().map(|at| at.join("cottonnotch-kit"));
    found.into_iter().find(|path| path.is_file())
}

/// Carries out the command `keeper`: asks the system to kill this process when its parent dies, sets the limit of
/// descriptors, and executes the program. Returns only if one of these steps failed.
pub fn keep(parent: u32, descriptors: u64, program: &Path, arguments: &[OsString]) -> io::Error {
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(Sig::KILL)) {
        return error.into();
    }
    // If the parent died before the call above, the system sends no signal.
    if rustix::process::getppid().map(|pid| pid.as_raw_nonzero().get() as u32) != Some(parent) {
        return io::Error::new(io::ErrorKind::BrokenPipe, "the kit has died");
    }
    let limit = Rlimit { current: Some(descriptors), maximum: Some(descriptors) };
    if let Err(error) = rustix::process::setrlimit(Resource::Nofile, limit) {
        return error.into();
    }
    Command::new(program).args(arguments).exec()
}

/// Checks that the system allows `needed` descriptors, and raises this process's limit to the maximum if it is too low.
pub fn need_descriptors(needed: u64) -> Result<(), ProcessError> {
    let limit = rustix::process::getrlimit(Resource::Nofile);
    let allowed = limit.maximum.unwrap_or(u64::MAX);
    if allowed < needed {
        return Err(ProcessError::Descriptors { needed, allowed });
    }
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    let allowed = limit.current.unwrap_or(0);
    rustix::process::setrlimit(Resource::Nofile, raised)
        .map_err(|_| ProcessError::Descriptors { needed, allowed })
}

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Usage {
    /// CPU time so far, in microseconds.
    pub cpu_us: u64,
    /// Peak of the resident memory, in KiB.
    pub peak_kib: u64,
    /// Resident memory now, in KiB.
    pub resident_kib: u64,
    /// Descriptors that are open now.
    pub descriptors: u64,
}

/// Reads the resource usage of a process from the system; `None` if the process no longer exists.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name, in brackets, can contain brackets and spaces; the fields after the last bracket can't.
    let figures: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = figures.get(11)?.parse::<u64>().ok()? + figures.get(12)?.parse::<u64>().ok()?;
    let per_second = rustix::param::clock_ticks_per_second().max(1);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let kib = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count() as u64);
    let cpu_us = ticks * 1_000_000 / per_second;
    let (peak_kib, resident_kib) = (kib("VmHWM:").unwrap_or(0), kib("VmRSS:").unwrap_or(0));
    Some(Usage { cpu_us, peak_kib, resident_kib, descriptors })
}

/// A proxy's process. Dropping the value kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    exited: Option<ExitStatus>,
}

impl Process {
    /// Starts a program with the given environment variables. Its standard output and standard error go to `log`.
    pub fn start(
        daemon: &Daemon,
        environment: &[(&str, OsString)],
        descriptors: u64,
        log: File,
    ) -> Result<Process, ProcessError> {
        let mut command = match keeper() {
            Some(keeper) => {
                let mut command = Command::new(keeper);
                command.arg("keeper").arg(std::process::id().to_string());
                command.arg((descriptors + EXTRA_DESCRIPTORS).to_string()).arg("--").arg(&daemon.program);
                command
            }
            None => Command::new(&daemon.program),
        };
        // A separate process group, so that Ctrl-C reaches only the kit, which then ends its proxies itself.
        command.process_group(0);
        command.args(&daemon.arguments).env_remove("COTTONNOTCH_OPERATOR").stdin(Stdio::null());
        for (name, value) in environment {
            command.env(name, value);
        }
        let out = log
            .try_clone()
            .map_err(|error| ProcessError::Start { program: daemon.program.clone(), error })?;
        let child = command.stdout(out).stderr(log).spawn();
        let child = child.map_err(|error| ProcessError::Start { program: daemon.program.clone(), error })?;
        Ok(Process { child, exited: None })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process unless it has exited.
    pub fn signal(&mut self, signal: Sig) -> Result<(), ProcessError> {
        if self.exited().is_some() {
            return Ok(());
        }
        let pid = self.pid();
        let number = i32::try_from(pid).ok().and_then(Pid::from_raw);
        let sent = number.map_or(Ok(()), |number| kill_process(number, signal));
        sent.map_err(|error| ProcessError::Signal { pid, error: error.into() })
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        if self.exited.is_none() {
            self.exited = self.child.try_wait().ok().flatten();
        }
        self.exited
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored, since the process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_missing_is_said_before_anything_starts() {
        let daemon = Daemon { program: "/nowhere/cottonnotch".into(), arguments: Vec::new() };
        let said = daemon.check().unwrap_err().to_string();
        assert!(said.contains("/nowhere/cottonnotch") && said.contains("cargo build --release"), "{said}");
        let said = need_descriptors(u64::MAX - 1).err().map(|error| error.to_string());
        assert!(said.is_none_or(|said| said.contains("ulimit -n")), "an unlimited system may have as many");
    }

    #[test]
    fn a_process_uses_something_and_is_gone_with_its_handle() {
        let daemon = Daemon { program: "/bin/sleep".into(), arguments: vec!["60".into()] };
        let log = tempfile::tempfile().unwrap();
        let mut process = Process::start(&daemon, &[], 64, log).unwrap();
        let pid = process.pid();
        assert!(process.exited().is_none());
        assert!(usage(pid).is_some_and(|used| used.peak_kib > 0 && used.descriptors > 0));
        drop(process);
        assert!(usage(pid).is_none());
    }
}

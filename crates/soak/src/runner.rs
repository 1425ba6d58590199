//! One run: the daemons under their shims, and its result.

use crate::generator::GeneratedRun;
use crate::log_findings::log_findings;
use cottonnotch_kit::judge::Verdict;
use cottonnotch_kit::processes::Daemon;
use cottonnotch_kit::rehearse::{self, CannotRun, Setup};
use cottonnotch_shim_control::{CONTROL_VARIABLE, Control, Setting};
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Sets variables and executes another program: so the shims are loaded into the daemon alone.
const ENV: &str = "/usr/bin/env";

/// The programs of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The daemon.
    pub daemon: PathBuf,
    /// Shared library of the shims.
    pub shims: PathBuf,
    /// The operator's file, if any.
    pub operator: Option<PathBuf>,
}

/// Why a run was not possible.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A program does not exist.
    #[error("{0} is missing: build it first (cargo build --release)")]
    Missing(PathBuf),
    /// A file of the run cannot be read or written.
    #[error("a file of the run: {0}")]
    File(#[from] io::Error),
    /// The kit cannot run the plan.
    #[error(transparent)]
    Kit(#[from] CannotRun),
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakResult {
    /// Verdict of the kit's judge, from outside.
    pub verdict: Verdict,
    /// Findings of the daemons' own guards and logs.
    pub findings: Vec<String>,
    /// Number of calls that the shims have changed, by setting.
    pub injected: Vec<(Setting, i64)>,
}

impl SoakResult {
    /// Whether the run is valid and no rule was broken.
    pub fn passed(&self) -> bool {
        self.verdict.passed() && self.findings.is_empty()
    }
}

impl Programs {
    /// Checks that all files exist.
    pub fn check(&self) -> Result<(), SoakError> {
        let needed = [Some(&self.daemon), Some(&self.shims), self.operator.as_ref()];
        match needed.into_iter().flatten().find(|path| !path.is_file()) {
            Some(missing) => Err(SoakError::Missing(missing.clone())),
            None => Ok(()),
        }
    }

    fn daemon_with_shims(&self, control: &Path) -> Daemon {
        let variable = |name: &str, path: &Path| {
            let mut text = OsString::from(format!("{name}="));
            text.push(path);
            text
        };
        let mut arguments = vec![
            variable("LD_PRELOAD", &self.shims),
            variable(CONTROL_VARIABLE, control),
            self.daemon.clone().into(),
        ];
        if let Some(operator) = &self.operator {
            arguments.extend(["--operator".into(), operator.clone().into()]);
        }
        Daemon { program: ENV.into(), arguments }
    }
}

/// Executes a run; configurations and logs stay in `folder`. Fails if it cannot start or its files cannot be used.
pub fn run_soak(
    generated: GeneratedRun,
    programs: &Programs,
    folder: &Path,
) -> Result<SoakResult, SoakError> {
    programs.check()?;
    std::fs::create_dir_all(folder)?;
    let control = Control::create(&folder.join("shims"))?;
    let setup = Setup {
        daemon: programs.daemon_with_shims(control.path()),
        keep: Some(folder.to_owned()),
        interrupted: Arc::new(AtomicBool::new(false)),
    };
    let (mut shim_schedule, mut shim_error) = (generated.shim_schedule, None);
    let run = rehearse::run(generated.plan, &setup, |_, board| {
        if let Err(error) = shim_schedule.apply_due(board.clock.now(), &control) {
            shim_error = Some(error);
        }
    })?;
    if let Some(error) = shim_error {
        return Err(error.into());
    }
    let mut injected = Vec::new();
    for setting in Setting::ALL {
        injected.push((setting, control.count(setting)?));
    }
    Ok(SoakResult { verdict: run.verdict, findings: log_findings(folder)?, injected })
}

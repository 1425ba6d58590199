//! One run: the daemons under their shims, and what came of it.

use crate::draw::Drawn;
use crate::logs::accusations;
use cottonnotch_kit::judge::Verdict;
use cottonnotch_kit::processes::Daemon;
use cottonnotch_kit::rehearse::{self, CannotRun, Setup};
use cottonnotch_shim_control::{CONTROL_VARIABLE, Control, Setting};
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Sets variables and becomes another program: so the shims are loaded into the daemon alone.
const ENV: &str = "/usr/bin/env";

/// The programs of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The daemon.
    pub daemon: PathBuf,
    /// The shims' shared library.
    pub shims: PathBuf,
    /// The operator's file, if one is to be given.
    pub operator: Option<PathBuf>,
}

/// Why there was no run.
#[derive(Debug, thiserror::Error)]
pub enum CannotSoak {
    /// A program is not there.
    #[error("{0} is missing: build it first (cargo build --release)")]
    Missing(PathBuf),
    /// The run's own files.
    #[error("a file of the run: {0}")]
    File(#[from] io::Error),
    /// The kit.
    #[error(transparent)]
    Kit(#[from] CannotRun),
}

/// What came of a run.
#[derive(Debug)]
pub struct Soaked {
    /// By the kit's judge, from outside.
    pub verdict: Verdict,
    /// By the daemons' own guards and logs.
    pub accusations: Vec<String>,
    /// How often the shims made calls fail, by what was set.
    pub injected: Vec<(Setting, i64)>,
}

impl Soaked {
    /// No rule was broken, as far as anybody saw, and the run proves something.
    pub fn passed(&self) -> bool {
        self.verdict.passed() && self.accusations.is_empty()
    }
}

impl Programs {
    /// Checks that they are there.
    pub fn check(&self) -> Result<(), CannotSoak> {
        let needed = [Some(&self.daemon), Some(&self.shims), self.operator.as_ref()];
        match needed.into_iter().flatten().find(|path| !path.is_file()) {
            Some(missing) => Err(CannotSoak::Missing(missing.clone())),
            None => Ok(()),
        }
    }

    fn under(&self, control: &Path) -> Daemon {
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

/// Plays a run; configurations and logs stay in `folder`.
pub fn play(drawn: Drawn, programs: &Programs, folder: &Path) -> Result<Soaked, CannotSoak> {
    programs.check()?;
    std::fs::create_dir_all(folder)?;
    let control = Control::create(&folder.join("shims"))?;
    let setup = Setup {
        daemon: programs.under(control.path()),
        keep: Some(folder.to_owned()),
        interrupted: Arc::new(AtomicBool::new(false)),
    };
    let (mut course, mut trouble) = (drawn.course, None);
    let run = rehearse::run(drawn.plan, &setup, |_, board| {
        if let Err(error) = course.advance(board.clock.now(), &control) {
            trouble = Some(error);
        }
    })?;
    if let Some(error) = trouble {
        return Err(error.into());
    }
    let mut injected = Vec::new();
    for setting in Setting::ALL {
        injected.push((setting, control.count(setting)?));
    }
    Ok(Soaked { verdict: run.verdict, accusations: accusations(folder)?, injected })
}

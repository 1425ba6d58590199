//! Daemons whose system calls and wall clock a test makes fail (`crates/shims`).

use cottonnotch_shim_control::{CONTROL_VARIABLE, Control, FOLDER_VARIABLE, Setting};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The shims of one test's daemons, and the folder whose files may fail.
pub struct Shims {
    control: Control,
    _folder: tempfile::TempDir,
}

impl Shims {
    /// Nothing fails yet.
    pub fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let control = Control::create(&folder.path().join("control")).unwrap();
        Shims { control, _folder: folder }
    }

    pub fn set(&self, setting: Setting, value: i64) {
        self.control.set(setting, value).unwrap();
    }

    /// How often a setting had an effect.
    pub fn count(&self, setting: Setting) -> i64 {
        self.control.count(setting).unwrap()
    }

    /// The daemon under these shims; files fail in that folder, if one is named.
    pub fn command(&self, files: Option<&Path>) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cottonnotch"));
        command.env("LD_PRELOAD", library()).env(CONTROL_VARIABLE, self.control.path());
        if let Some(files) = files {
            command.env(FOLDER_VARIABLE, files);
        }
        command
    }
}

/// The shims' shared library, built because this crate's tests name it as a dependency.
fn library() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2);
    let mut found = folders.map(|folder| folder.join("libcottonnotch_shims.so"));
    found.find(|path| path.is_file()).expect("the shims are built")
}

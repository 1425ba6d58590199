//! Hot restart: a process of this proxy starts while another one serves. Each shows itself by a file in the folder that
//! they share, and proves by a lock on it that it lives: the system releases a lock when its process ends, however it ends.
//! A file's name has when its process began, in Unix time, and whether it is ready; its content has two numbers of fixed
//! width: descriptors held, and when its process began by the machine's monotonic clock, which settles which is older though
//! the wall clock be stepped between two starts. Other files are left alone.

use super::machine_clock::machine_now;
use cottonnotch_decision::Micros;
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const STARTING: &str = "starting";
const READY: &str = "ready";
/// Bytes of the descriptors held.
const DESCRIPTORS_WIDTH: usize = 8;
/// Bytes of the start by the monotonic clock, behind them.
const BEGAN_WIDTH: usize = 20;

/// Another process of this proxy, which lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiblingProcess {
    /// When it began, in microseconds of Unix time.
    pub born: Micros,
    /// When it began by the machine's monotonic clock; `None`: an older build, which doesn't say.
    pub began: Option<Micros>,
    /// It serves clients.
    pub is_ready: bool,
    /// Descriptors that it holds.
    pub descriptors: usize,
}

/// This process's own file.
#[derive(Debug)]
struct ProcessFile {
    file: File,
    path: PathBuf,
}

/// This process among those of its proxy.
#[derive(Debug)]
pub struct HotRestart {
    /// What the names of all of them begin with, the folder included.
    prefix: PathBuf,
    born: Micros,
    began: Micros,
    is_ready: bool,
    /// `None`: the file could not be written yet.
    file_shown: Option<ProcessFile>,
}

impl HotRestart {
    /// A process that starts; the others don't see it before [`Self::show`].
    pub fn new(prefix: PathBuf, born: Micros) -> Self {
        HotRestart { prefix, born, began: machine_now(), is_ready: false, file_shown: None }
    }

    /// Shows this process, if it isn't shown yet. Fails where the folder can't be written to; it may be tried again.
    pub fn show(&mut self) -> io::Result<()> {
        if self.file_shown.is_some() {
            return Ok(());
        }
        let hidden = self.prefix.with_extension(format!("{}-{}.new", std::process::id(), self.born));
        let path = file_path(&self.prefix, self.born, if self.is_ready { READY } else { STARTING });
        let file_shown = self.write(&hidden, &path);
        if file_shown.is_err() {
            // What was begun is no use to anybody.
            let _ = fs::remove_file(&hidden);
        }
        self.file_shown = Some(ProcessFile { file: file_shown?, path });
        Ok(())
    }

    fn write(&self, hidden: &Path, path: &Path) -> io::Result<File> {
        let file = File::create(hidden)?;
        let text = format!("{:0DESCRIPTORS_WIDTH$}{:0BEGAN_WIDTH$}", 0, self.began);
        // Locked and complete before it can be seen by its name: it would be taken for a dead process's.
        file.try_lock()?;
        file.write_all_at(text.as_bytes(), 0)?;
        fs::rename(hidden, path)?;
        Ok(file)
    }

    /// Shows that this process serves clients. Fails as [`Self::show`], and is to be tried again then.
    pub fn announce_ready(&mut self) -> io::Result<()> {
        self.is_ready = true;
        self.show()?;
        let ready = file_path(&self.prefix, self.born, READY);
        if let Some(file_shown) = self.file_shown.as_mut().filter(|file_shown| file_shown.path != ready) {
            fs::rename(&file_shown.path, &ready)?;
            file_shown.path = ready;
        }
        Ok(())
    }

    /// Tells the others how many descriptors this process holds.
    pub fn publish_descriptors(&self, descriptors: usize) -> io::Result<()> {
        let text = format!("{:0DESCRIPTORS_WIDTH$}", descriptors.min(99_999_999));
        self.file_shown.as_ref().map_or(Ok(()), |file_shown| file_shown.file.write_all_at(text.as_bytes(), 0))
    }

    /// The other processes that live. Files of those that have ended are removed. Fails where that can't be seen now: some
    /// may live.
    pub fn siblings(&self) -> io::Result<Vec<SiblingProcess>> {
        let folder = self.prefix.parent().unwrap_or(Path::new("."));
        let own = self.file_shown.as_ref().map(|file_shown| file_shown.path.as_path());
        let mut siblings = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if Some(path.as_path()) != own {
                siblings.extend(self.sibling(&path)?);
            }
        }
        Ok(siblings)
    }

    fn sibling(&self, path: &Path) -> io::Result<Option<SiblingProcess>> {
        let Some((born, is_ready)) = self.parse_name(path) else { return Ok(None) };
        // Guards against what is no plain file: a pipe of that name would hold up the loop.
        let Some(metadata) = ignore_not_found(fs::symlink_metadata(path))? else { return Ok(None) };
        if !metadata.is_file() {
            return Ok(None);
        }
        let Some(file) = ignore_not_found(File::open(path))? else { return Ok(None) };
        match file.try_lock_shared() {
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) => return Err(error),
            Ok(()) => {
                // Its process has ended. If it can't be removed, it is found dead again.
                let _ = fs::remove_file(path);
                return Ok(None);
            }
        }
        let mut bytes = [0; DESCRIPTORS_WIDTH + BEGAN_WIDTH];
        let read = file.read_at(&mut bytes, 0)?;
        let text = std::str::from_utf8(&bytes[..read]).unwrap_or_default();
        let (descriptors, began) = text.split_at_checked(DESCRIPTORS_WIDTH).unwrap_or((text, ""));
        let (descriptors, began) = (descriptors.parse().unwrap_or(0), began.parse().ok());
        Ok(Some(SiblingProcess { born, began, is_ready, descriptors }))
    }

    /// Parses a file's name, if it is one of this proxy's: when its process began, and whether it is ready.
    fn parse_name(&self, path: &Path) -> Option<(Micros, bool)> {
        let prefix = self.prefix.file_name()?.to_str()?;
        let name = path.file_name()?.to_str()?.strip_prefix(prefix)?.strip_prefix('-')?;
        let (born, state) = name.split_once('.')?;
        let is_ready = match state {
            READY => true,
            STARTING => false,
            _ => return None,
        };
        Some((born.parse().ok()?, is_ready))
    }

    /// Whether another process began before this one.
    pub fn is_older(&self, sibling: &SiblingProcess) -> bool {
        match sibling.began {
            Some(began) => (began, sibling.born) < (self.began, self.born),
            None => sibling.born < self.born,
        }
    }

    /// Whether a process that began later serves clients, as far as that can be seen now.
    pub fn has_successor(&self) -> bool {
        let siblings = self.siblings().unwrap_or_default();
        siblings.iter().any(|sibling| !self.is_older(sibling) && sibling.is_ready)
    }
}

/// A file that was removed meanwhile is none.
fn ignore_not_found<T>(found: io::Result<T>) -> io::Result<Option<T>> {
    match found {
        Ok(found) => Ok(Some(found)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Drop for HotRestart {
    fn drop(&mut self) {
        // The lock ends with the process in any case; this only tidies up.
        let _ = self.file_shown.as_ref().map(|file_shown| fs::remove_file(&file_shown.path));
    }
}

fn file_path(prefix: &Path, born: Micros, state: &str) -> PathBuf {
    let mut name = prefix.as_os_str().to_owned();
    name.push(format!("-{born}.{state}"));
    PathBuf::from(name)
}

#[cfg(test)]
#[path = "hot_restart_tests.rs"]
mod tests;

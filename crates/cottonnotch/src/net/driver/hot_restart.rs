//! Hot restart: a process of this proxy starts while another one serves.
//!
//! Each process publishes a file in the folder that they share, and holds a lock on it while it is alive: the system
//! releases the lock when the process ends, for whatever reason. The file's name contains the start time of the
//! process in Unix time and whether the process is ready. The content is two numbers of fixed width: the descriptors
//! held, and the start time by the machine's monotonic clock. The monotonic time determines which process is older
//! even if the wall clock was stepped between the two starts. Other files in the folder are not touched.

use super::machine_clock::machine_now;
use cottonnotch_decision::Micros;
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const STARTING: &str = "starting";
const READY: &str = "ready";
/// The last part of the name of the file with a process's open ids (`open_ids`), where process files have their state.
const ID_TABLE: &str = "ids";
/// Width of the number of descriptors, in bytes.
const DESCRIPTORS_WIDTH: usize = 8;
/// Width of the monotonic start time, which follows the number of descriptors, in bytes.
const START_WIDTH: usize = 20;

/// Another process of this proxy that is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiblingProcess {
    /// When the process started, in microseconds of Unix time.
    pub started_unix: Micros,
    /// When the process started, by the machine's monotonic clock. `None` if the process is of an older build, which
    /// does not write this time.
    pub started_monotonic: Option<Micros>,
    /// Whether the process serves clients.
    pub is_ready: bool,
    /// Descriptors that the process holds.
    pub descriptors: usize,
}

/// The file of this process.
#[derive(Debug)]
struct ProcessFile {
    file: File,
    path: PathBuf,
}

/// This process among the processes of its proxy.
#[derive(Debug)]
pub struct HotRestart {
    /// Folder and common prefix of the names of all process files.
    prefix: PathBuf,
    started_unix: Micros,
    started_monotonic: Micros,
    is_ready: bool,
    /// The published file, or `None` if it could not be written yet.
    published_file: Option<ProcessFile>,
}

impl HotRestart {
    /// Creates the state of a starting process. Other processes do not see it before [`Self::publish`].
    pub fn new(prefix: PathBuf, started_unix: Micros) -> Self {
        HotRestart {
            prefix,
            started_unix,
            started_monotonic: machine_now(),
            is_ready: false,
            published_file: None,
        }
    }

    /// When this process started, in microseconds of Unix time.
    pub fn started_unix(&self) -> Micros {
        self.started_unix
    }

    /// Whether the file of this process is published.
    pub fn is_published(&self) -> bool {
        self.published_file.is_some()
    }

    /// The path of the file with the open ids of the process with this start time.
    pub fn id_table_path(&self, started_unix: Micros) -> PathBuf {
        file_path(&self.prefix, started_unix, ID_TABLE)
    }

    /// Publishes the file of this process, if that has not been done yet. Fails if the folder cannot be written to;
    /// the caller may retry.
    pub fn publish(&mut self) -> io::Result<()> {
        if self.published_file.is_some() {
            return Ok(());
        }
        let temporary_path =
            self.prefix.with_extension(format!("{}-{}.new", std::process::id(), self.started_unix));
        let path = file_path(&self.prefix, self.started_unix, if self.is_ready { READY } else { STARTING });
        let published_file = self.write(&temporary_path, &path);
        if published_file.is_err() {
            // Removes the incomplete file.
            let _ = fs::remove_file(&temporary_path);
        }
        self.published_file = Some(ProcessFile { file: published_file?, path });
        Ok(())
    }

    fn write(&self, temporary_path: &Path, path: &Path) -> io::Result<File> {
        let file = File::create(temporary_path)?;
        let text = format!("{:0DESCRIPTORS_WIDTH$}{:0START_WIDTH$}", 0, self.started_monotonic);
        // The file must be locked and complete before it gets its final name: others would take an unlocked file for
        // that of a dead process.
        file.try_lock()?;
        file.write_all_at(text.as_bytes(), 0)?;
        fs::rename(temporary_path, path)?;
        Ok(file)
    }

    /// Announces that this process serves clients. Fails in the same cases as [`Self::publish`] and is to be retried
    /// then.
    pub fn announce_ready(&mut self) -> io::Result<()> {
        self.is_ready = true;
        self.publish()?;
        let ready = file_path(&self.prefix, self.started_unix, READY);
        if let Some(published_file) =
            self.published_file.as_mut().filter(|published_file| published_file.path != ready)
        {
            fs::rename(&published_file.path, &ready)?;
            published_file.path = ready;
        }
        Ok(())
    }

    /// Publishes how many descriptors this process holds.
    pub fn publish_descriptors(&self, descriptors: usize) -> io::Result<()> {
        let text = format!("{:0DESCRIPTORS_WIDTH$}", descriptors.min(99_999_999));
        self.published_file
            .as_ref()
            .map_or(Ok(()), |published_file| published_file.file.write_all_at(text.as_bytes(), 0))
    }

    /// Returns the other processes that are alive, and removes the files of those that have ended. Fails if the files
    /// cannot be examined now, since some processes may be alive.
    pub fn siblings(&self) -> io::Result<Vec<SiblingProcess>> {
        let folder = self.prefix.parent().unwrap_or(Path::new("."));
        let own = self.published_file.as_ref().map(|published_file| published_file.path.as_path());
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
        let Some((started_unix, is_ready)) = self.parse_name(path) else { return Ok(None) };
        // Skips anything that is not a regular file: opening a pipe with such a name would block the event loop.
        let Some(metadata) = ignore_not_found(fs::symlink_metadata(path))? else { return Ok(None) };
        if !metadata.is_file() {
            return Ok(None);
        }
        let Some(file) = ignore_not_found(File::open(path))? else { return Ok(None) };
        match file.try_lock_shared() {
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) => return Err(error),
            Ok(()) => {
                // The process has ended. If its files cannot be removed now, the next call tries again.
                let removed = ignore_not_found(fs::remove_file(self.id_table_path(started_unix)));
                let _ = removed.and_then(|_| fs::remove_file(path));
                return Ok(None);
            }
        }
        let mut bytes = [0; DESCRIPTORS_WIDTH + START_WIDTH];
        let read = file.read_at(&mut bytes, 0)?;
        let text = std::str::from_utf8(&bytes[..read]).unwrap_or_default();
        let (descriptors, started_monotonic) = text.split_at_checked(DESCRIPTORS_WIDTH).unwrap_or((text, ""));
        let (descriptors, started_monotonic) =
            (descriptors.parse().unwrap_or(0), started_monotonic.parse().ok());
        Ok(Some(SiblingProcess { started_unix, started_monotonic, is_ready, descriptors }))
    }

    /// Parses the name of a process file of this proxy: the start time of the process, and whether the process is
    /// ready. Returns `None` for other names.
    fn parse_name(&self, path: &Path) -> Option<(Micros, bool)> {
        let prefix = self.prefix.file_name()?.to_str()?;
        let name = path.file_name()?.to_str()?.strip_prefix(prefix)?.strip_prefix('-')?;
        let (started_unix, state) = name.split_once('.')?;
        let is_ready = match state {
            READY => true,
            STARTING => false,
            _ => return None,
        };
        Some((started_unix.parse().ok()?, is_ready))
    }

    /// Whether the other process started before this one.
    pub fn is_older(&self, sibling: &SiblingProcess) -> bool {
        match sibling.started_monotonic {
            Some(started_monotonic) => {
                (started_monotonic, sibling.started_unix) < (self.started_monotonic, self.started_unix)
            }
            None => sibling.started_unix < self.started_unix,
        }
    }

    /// Whether a process that started later serves clients. Returns false if that cannot be determined now.
    pub fn has_successor(&self) -> bool {
        let siblings = self.siblings().unwrap_or_default();
        siblings.iter().any(|sibling| !self.is_older(sibling) && sibling.is_ready)
    }
}

/// Treats a file that was removed in the meantime as absent.
fn ignore_not_found<T>(found: io::Result<T>) -> io::Result<Option<T>> {
    match found {
        Ok(found) => Ok(Some(found)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Drop for HotRestart {
    fn drop(&mut self) {
        // The system releases the locks in any case; removing the files only cleans up the folder. In this order, no process
        // file is left without its table: it would be taken for that of a build without tables.
        let _ = self.published_file.as_ref().map(|published_file| fs::remove_file(&published_file.path));
        let _ = fs::remove_file(self.id_table_path(self.started_unix));
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

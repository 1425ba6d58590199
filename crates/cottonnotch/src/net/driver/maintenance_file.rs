//! The file in which manual overrides outlive the process: both processes of a hot restart read and write it, and each
//! takes over what operators have set at the other.

use crate::maintenance::{MAX_BYTES, Maintenance, MaintenanceDecodeError, decode, encode};
use cottonnotch_decision::Micros;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file is polled this often. An override set at one process binds the other within it, well under the second that
/// a request has.
pub const POLL_INTERVAL: Micros = 100_000;

/// Tells one writing of a file from another, without reading it.
type FileStamp = (Option<SystemTime>, u64);

/// Why the file can't be taken over.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceFileError {
    /// Its content is faulty.
    #[error(transparent)]
    Invalid(#[from] MaintenanceDecodeError),
    /// It can't be read now.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The file, if overrides are stored.
#[derive(Debug, Default)]
pub struct MaintenanceFile {
    path: Option<PathBuf>,
    /// What was read, or written, last.
    seen: Option<FileStamp>,
    /// It was polled, and read if it was there.
    is_known: bool,
    /// What is there now is less than this process knows, and could not be written yet.
    is_behind: bool,
    /// The file is there, and its folder could not be synced yet.
    is_unsynced: bool,
}

impl MaintenanceFile {
    /// Overrides are stored in this file; without one, they end with the process.
    pub fn at(path: Option<PathBuf>) -> Self {
        MaintenanceFile { path, ..MaintenanceFile::default() }
    }

    /// What is stored was read, or there is nothing.
    pub fn is_known(&self) -> bool {
        self.path.is_none() || self.is_known
    }

    /// There is a file: overrides outlive the process.
    pub fn is_persistent(&self) -> bool {
        self.path.is_some()
    }

    /// What is stored is less than what this process knows: it is to be saved again.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// What another process has written since the last poll or write, if anything. What can't be read now is polled again;
    /// a faulty state is reported once.
    pub fn read_changes(&mut self) -> Option<Result<Maintenance, MaintenanceFileError>> {
        let path = self.path.as_deref()?;
        let stamp = match stamp(path) {
            Ok(stamp) => Some(stamp),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Some(Err(error.into())),
        };
        if stamp == self.seen {
            self.is_known = true;
            return None;
        }
        let found = stamp.map(|_| read(path));
        if !matches!(found, Some(Err(MaintenanceFileError::Io(_)))) {
            (self.seen, self.is_known) = (stamp, true);
        }
        found
    }

    /// What could not be saved is to be saved as soon as it can be.
    pub fn mark_behind(&mut self) {
        self.is_behind = true;
    }

    /// Syncs the folder, if that failed before: until then a new name may be lost with the machine, not with the process.
    pub fn sync_folder(&mut self) -> io::Result<()> {
        let folder = self.path.as_deref().and_then(Path::parent).filter(|_| self.is_unsynced);
        if let Some(folder) = folder {
            File::open(folder)?.sync_all()?;
        }
        self.is_unsynced = false;
        Ok(())
    }

    /// Writes the state in place of what is there, all of it or nothing: it is on the disk when this returns well.
    pub fn save(&mut self, state: &Maintenance) -> io::Result<()> {
        let Some(path) = self.path.as_deref() else { return Ok(()) };
        // A name that no other process writes to, so that what is renamed is whole.
        let new = path.with_extension(format!("{}.new", std::process::id()));
        let written = write_synced(&new, encode(state).as_bytes()).and_then(|()| fs::rename(&new, path));
        if let Err(error) = written {
            // What was begun is no use to anybody.
            let _ = fs::remove_file(&new);
            return Err(error);
        }
        self.seen = stamp(path).ok();
        (self.is_behind, self.is_unsynced) = (false, true);
        // The name stands, and a later look tries again.
        let _ = self.sync_folder();
        Ok(())
    }
}

/// A name must never stand for bytes that aren't on the disk yet.
fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn stamp(path: &Path) -> io::Result<FileStamp> {
    let metadata = fs::symlink_metadata(path)?;
    #[cfg(unix)]
    let place = std::os::unix::fs::MetadataExt::ino(&metadata);
    Ok((metadata.modified().ok(), place))
}

fn read(path: &Path) -> Result<Maintenance, MaintenanceFileError> {
    // Guards against what is no plain file: a pipe of that name would hold up the loop.
    if !fs::symlink_metadata(path)?.is_file() {
        return Err(MaintenanceDecodeError::InvalidFormat.into());
    }
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(decode(&bytes)?)
}

#[cfg(test)]
#[path = "maintenance_file_tests.rs"]
mod tests;

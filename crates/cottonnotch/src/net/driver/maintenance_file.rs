//! The file that stores manual overrides beyond the life of a process. Both processes of a hot restart read and write
//! it, and each applies the overrides that operators set at the other.

use crate::maintenance::{MAX_BYTES, Maintenance, MaintenanceDecodeError, decode, encode};
use cottonnotch_decision::Micros;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// How often the file is polled. An override set at one process takes effect at the other within this time, well
/// within the one second that a request has to be answered.
pub const POLL_INTERVAL: Micros = 100_000;

/// Identifies a version of the file by its modification time and inode, without reading it.
type FileStamp = (Option<SystemTime>, u64);

/// Why the stored overrides cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceFileError {
    /// The content is invalid.
    #[error(transparent)]
    Invalid(#[from] MaintenanceDecodeError),
    /// The file cannot be read now.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The maintenance file, if overrides are stored.
#[derive(Debug, Default)]
pub struct MaintenanceFile {
    path: Option<PathBuf>,
    /// The version that was last read or written.
    last_stamp: Option<FileStamp>,
    /// Whether the file was polled successfully and, if present, read.
    is_loaded: bool,
    /// Whether the file lacks overrides that this process knows and could not write yet.
    needs_save: bool,
    /// Whether the file was replaced and its folder could not be synced yet.
    needs_folder_sync: bool,
}

impl MaintenanceFile {
    /// Stores overrides at `path`. Without a path, overrides end with the process.
    pub fn new(path: Option<PathBuf>) -> Self {
        MaintenanceFile { path, ..MaintenanceFile::default() }
    }

    /// Whether the stored overrides have been read, or none are stored.
    pub fn is_loaded(&self) -> bool {
        self.path.is_none() || self.is_loaded
    }

    /// Whether overrides are stored in a file and thus outlive the process.
    pub fn is_persistent(&self) -> bool {
        self.path.is_some()
    }

    /// Whether the file lacks overrides that this process knows and must be saved again.
    pub fn needs_save(&self) -> bool {
        self.needs_save
    }

    /// Returns what another process has written since the last poll or write, if anything. A file that cannot be read
    /// now is polled again; an invalid one is reported once.
    pub fn read_changes(&mut self) -> Option<Result<Maintenance, MaintenanceFileError>> {
        let path = self.path.as_deref()?;
        let stamp = match file_stamp(path) {
            Ok(stamp) => Some(stamp),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Some(Err(error.into())),
        };
        if stamp == self.last_stamp {
            self.is_loaded = true;
            return None;
        }
        let result = stamp.map(|_| read(path));
        if !matches!(result, Some(Err(MaintenanceFileError::Io(_)))) {
            (self.last_stamp, self.is_loaded) = (stamp, true);
        }
        result
    }

    /// Marks the file as outdated, so that it is saved again as soon as possible.
    pub fn mark_unsaved(&mut self) {
        self.needs_save = true;
    }

    /// Syncs the folder if that failed before. Until the folder is synced, a new file name survives the end of the
    /// process but may be lost if the machine fails.
    pub fn sync_folder(&mut self) -> io::Result<()> {
        let folder = self.path.as_deref().and_then(Path::parent).filter(|_| self.needs_folder_sync);
        if let Some(folder) = folder {
            File::open(folder)?.sync_all()?;
        }
        self.needs_folder_sync = false;
        Ok(())
    }

    /// Replaces the file with this state atomically. The content is on the disk when this returns `Ok`.
    pub fn save(&mut self, state: &Maintenance) -> io::Result<()> {
        let Some(path) = self.path.as_deref() else { return Ok(()) };
        // No other process writes to this temporary name, so the renamed file is always complete.
        let temporary_path = path.with_extension(format!("{}.new", std::process::id()));
        let written = write_synced(&temporary_path, encode(state).as_bytes())
            .and_then(|()| fs::rename(&temporary_path, path));
        if let Err(error) = written {
            // Removes the incomplete file.
            let _ = fs::remove_file(&temporary_path);
            return Err(error);
        }
        self.last_stamp = file_stamp(path).ok();
        (self.needs_save, self.needs_folder_sync) = (false, true);
        // The file is in place, and a later poll retries the sync.
        let _ = self.sync_folder();
        Ok(())
    }
}

/// Writes and syncs a file, so that a rename never exposes a name whose bytes are not on the disk yet.
fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn file_stamp(path: &Path) -> io::Result<FileStamp> {
    let metadata = fs::symlink_metadata(path)?;
    #[cfg(unix)]
    let inode = std::os::unix::fs::MetadataExt::ino(&metadata);
    Ok((metadata.modified().ok(), inode))
}

fn read(path: &Path) -> Result<Maintenance, MaintenanceFileError> {
    // Rejects anything that is not a regular file: opening a pipe with this name would block the event loop.
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

//! Files with durable state. Each file is replaced atomically and ends with a checksum.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The first bytes of each file, which identify the format. A file of another format is rejected, since its bytes may have
/// another meaning.
const MAGIC: &[u8; 16] = b"cottonnotch-st 1";
/// The length of the checksum at the end of the file.
const CHECKSUM_BYTES: usize = 32;
/// The maximum length of a file, in bytes.
const MAX_FILE_BYTES: u64 = 32 << 20;

/// The folder with a member's durable state, locked by this process.
#[derive(Debug)]
pub struct StateFolder {
    folder: PathBuf,
    /// Holds the lock of the folder. Two processes that ran as one member could make contradictory promises to other members.
    _lock: File,
}

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// Reading the file failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is truncated or corrupt, has another format, or exceeds the maximum length.
    #[error("the file is truncated, corrupt, too long or of another format")]
    Damaged,
}

impl StateFolder {
    /// Opens and locks the folder, and creates it if necessary. Fails with `WouldBlock` while another process holds the lock.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => Ok(StateFolder { folder: folder.to_owned(), _lock: lock }),
            Err(std::fs::TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(std::fs::TryLockError::Error(error)) => Err(error),
        }
    }

    /// Reads the content of the file with this name. Returns `None` if there is no such file.
    pub fn load(&self, name: &str) -> Result<Option<Vec<u8>>, StateFileError> {
        load(&self.folder, name)
    }

    /// Replaces the file with this name. After success the new content survives any crash. After a failure or a crash of the
    /// machine, the file has the old content or the new one, never a mixture.
    pub fn save(&self, name: &str, content: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(MAGIC)?;
        file.write_all(content)?;
        file.write_all(blake3::hash(content).as_bytes())?;
        // The sync precedes the rename, because the name must never refer to bytes that are not on disk yet.
        file.sync_all()?;
        std::fs::rename(&temporary, self.folder.join(name))?;
        File::open(&self.folder)?.sync_all()
    }

    /// The sorted names of the files whose names begin with this prefix. Temporary files of [`Self::save`] are left out.
    pub fn list(&self, prefix: &str) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name.starts_with(prefix)
                && !name.ends_with(".new")
            {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    /// Removes the file with this name.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.folder.join(name))
    }
}

/// Reads the content of a file without locking the folder, which another process may have locked. Returns `None` if there is no
/// such file.
pub fn load(folder: &Path, name: &str) -> Result<Option<Vec<u8>>, StateFileError> {
    let path = folder.join(name);
    match std::fs::metadata(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
        Ok(metadata) if metadata.len() > MAX_FILE_BYTES => return Err(StateFileError::Damaged),
        Ok(_) => {}
    }
    let bytes = std::fs::read(path)?;
    let rest = bytes.strip_prefix(MAGIC).ok_or(StateFileError::Damaged)?;
    let (content, checksum) =
        rest.split_at(rest.len().checked_sub(CHECKSUM_BYTES).ok_or(StateFileError::Damaged)?);
    if blake3::hash(content).as_bytes() != checksum {
        return Err(StateFileError::Damaged);
    }
    Ok(Some(content.to_vec()))
}

#[cfg(test)]
#[path = "durable_file_tests.rs"]
mod tests;

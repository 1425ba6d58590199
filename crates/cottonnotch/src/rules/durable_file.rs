//! Files that outlive the process: each is replaced atomically and carries a checksum.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The first bytes of each file: the format's name. A file of another format is rejected: its bytes may mean something else.
const MAGIC: &[u8; 16] = b"cottonnotch-st 1";
/// The checksum's bytes, at the end of the file.
const CHECKSUM_BYTES: usize = 32;
/// The longest file, in bytes.
const MAX_FILE_BYTES: u64 = 32 << 20;

/// The folder with a member's state, locked by this process.
#[derive(Debug)]
pub struct StateFolder {
    folder: PathBuf,
    /// Locked for as long as the process lives: two processes of one member would promise different things.
    _lock: File,
}

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// It can't be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It is torn, foreign, or of another version.
    #[error("it is torn, foreign, or of another version")]
    Damaged,
}

impl StateFolder {
    /// Opens the folder, creating it if necessary. Fails with `WouldBlock` while another process has it locked.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => Ok(StateFolder { folder: folder.to_owned(), _lock: lock }),
            Err(std::fs::TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(std::fs::TryLockError::Error(error)) => Err(error),
        }
    }

    /// The content of the file of this name; `None`: there is none.
    pub fn load(&self, name: &str) -> Result<Option<Vec<u8>>, StateFileError> {
        load(&self.folder, name)
    }

    /// Replaces the file of this name. Once this succeeds, the new content survives any crash; if it fails or the machine
    /// stops, the old content is still there.
    pub fn save(&self, name: &str, content: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(MAGIC)?;
        file.write_all(content)?;
        file.write_all(blake3::hash(content).as_bytes())?;
        // In this order: the name must never refer to bytes that aren't durable yet.
        file.sync_all()?;
        std::fs::rename(&temporary, self.folder.join(name))?;
        File::open(&self.folder)?.sync_all()
    }

    /// The names of files that begin with this prefix, sorted.
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

    /// Removes the file of this name.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.folder.join(name))
    }
}

/// The content of a file in a folder that another process may have locked; `None`: there is none.
pub fn load(folder: &Path, name: &str) -> Result<Option<Vec<u8>>, StateFileError> {
    let path = folder.join(name);
    match std::fs::metadata(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
        Ok(meta) if meta.len() > MAX_FILE_BYTES => return Err(StateFileError::Damaged),
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

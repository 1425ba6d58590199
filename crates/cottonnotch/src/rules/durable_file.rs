//! What must outlive the process: files that are there whole or not at all, each with a checksum.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The first bytes of each file. Another version's is refused: it may mean something else.
const FORM: &[u8; 16] = b"cottonnotch-st 1";
/// Bytes of the checksum at the end.
const SUM: usize = 32;
/// No file is longer.
const MOST_BYTES: u64 = 32 << 20;

/// A folder of this process alone.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    /// Held as long as the process lives: two processes of one member would promise different things.
    _lock: File,
}

/// Why a file is not taken.
#[derive(Debug, thiserror::Error)]
pub enum BadFile {
    /// It can't be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It is torn, foreign, or of another version.
    #[error("it is torn, foreign, or of another version")]
    Damaged,
}

impl Disk {
    /// Makes the folder if need be. Fails with `WouldBlock` while another process has it.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => Ok(Disk { folder: folder.to_owned(), _lock: lock }),
            Err(std::fs::TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(std::fs::TryLockError::Error(error)) => Err(error),
        }
    }

    /// What is under that name; `None`: nothing.
    pub fn load(&self, name: &str) -> Result<Option<Vec<u8>>, BadFile> {
        load(&self.folder, name)
    }

    /// Puts it under that name. Once this returns well, it is there after any crash; whenever it fails or the machine stops,
    /// what was there before is there still.
    pub fn save(&self, name: &str, content: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(FORM)?;
        file.write_all(content)?;
        file.write_all(blake3::hash(content).as_bytes())?;
        // In this order: the name must never stand for bytes that aren't there yet.
        file.sync_all()?;
        std::fs::rename(&temporary, self.folder.join(name))?;
        File::open(&self.folder)?.sync_all()
    }

    /// The names that begin so.
    pub fn names(&self, prefix: &str) -> io::Result<Vec<String>> {
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

    /// Removes what is under that name.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.folder.join(name))
    }
}

/// What is under that name in a folder that may be another process's; `None`: nothing.
pub fn load(folder: &Path, name: &str) -> Result<Option<Vec<u8>>, BadFile> {
    let path = folder.join(name);
    match std::fs::metadata(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
        Ok(meta) if meta.len() > MOST_BYTES => return Err(BadFile::Damaged),
        Ok(_) => {}
    }
    let bytes = std::fs::read(path)?;
    let rest = bytes.strip_prefix(FORM).ok_or(BadFile::Damaged)?;
    let (content, sum) = rest.split_at(rest.len().checked_sub(SUM).ok_or(BadFile::Damaged)?);
    if blake3::hash(content).as_bytes() == sum { Ok(Some(content.to_vec())) } else { Err(BadFile::Damaged) }
}

#[cfg(test)]
#[path = "durable_file_tests.rs"]
mod tests;

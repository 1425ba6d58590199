//! The table of another process of this proxy, as this process reads it.

use super::layout::{BUCKET_BYTES, BUCKET_SLOTS, HEADER_BYTES, IdKind, Layout, acknowledges, decode_slot};
use cottonnotch_decision::Micros;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The published file of another process.
#[derive(Debug)]
pub struct SiblingTable {
    file: File,
    layout: Layout,
}

impl SiblingTable {
    /// Opens the file. Returns `None` if there is none or if it has another format: the process is of another build, which does
    /// not publish its ids in this way.
    pub fn open(path: &Path) -> io::Result<Option<Self>> {
        let metadata = match fs::symlink_metadata(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            metadata => metadata?,
        };
        // Skips anything that is not a regular file: opening a pipe with this name would block.
        if !metadata.is_file() || metadata.len() < HEADER_BYTES as u64 {
            return Ok(None);
        }
        let file = match File::open(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        let layout = Layout::decode_header(&read_header(&file)?);
        let layout = layout.filter(|layout| layout.file_bytes() == metadata.len());
        Ok(layout.map(|layout| SiblingTable { file, layout }))
    }

    /// Whether the process respects the ids of the process with this start time.
    pub fn acknowledges(&self, start: Micros) -> io::Result<bool> {
        Ok(acknowledges(&read_header(&self.file)?, start))
    }

    /// Whether the id is taken by the process. An id that it has published before this call is found. When the process has
    /// ended, only the ids of requests that must not run again are taken.
    pub fn contains(&self, id: u64) -> io::Result<bool> {
        match self.search(id)? {
            None => Ok(false),
            Some(IdKind::Once) => Ok(true),
            Some(IdKind::Repeatable) => self.is_alive(),
        }
    }

    /// The ids of requests that must not run again.
    pub fn ids_to_run_once(&self) -> io::Result<Vec<u64>> {
        let mut ids = Vec::new();
        let mut bucket = [0; BUCKET_BYTES];
        for first_slot in (0..self.layout.slots()).step_by(BUCKET_SLOTS) {
            self.file.read_exact_at(&mut bucket, self.layout.offset(first_slot))?;
            let slots = bucket.as_chunks().0.iter().filter_map(decode_slot);
            ids.extend(slots.filter(|(_, kind)| *kind == IdKind::Once).map(|(id, _)| id));
        }
        Ok(ids)
    }

    fn search(&self, id: u64) -> io::Result<Option<IdKind>> {
        let mut bucket = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bucket, self.layout.offset(self.layout.first_slot(id)))?;
        let mut slots = bucket.as_chunks().0.iter().filter_map(decode_slot);
        Ok(slots.find(|(other, _)| *other == id).map(|(_, kind)| kind))
    }

    /// Whether the process is alive: it holds a lock on its file, which the system releases when the process ends.
    fn is_alive(&self) -> io::Result<bool> {
        match self.file.try_lock_shared() {
            Ok(()) => self.file.unlock().map(|()| false),
            Err(fs::TryLockError::WouldBlock) => Ok(true),
            Err(fs::TryLockError::Error(error)) => Err(error),
        }
    }
}

fn read_header(file: &File) -> io::Result<[u8; HEADER_BYTES]> {
    let mut header = [0; HEADER_BYTES];
    file.read_exact_at(&mut header, 0)?;
    Ok(header)
}

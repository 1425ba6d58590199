//! The table of a process's own open ids: in memory, and in the file that other processes read.

use super::layout::{
    ACKNOWLEDGED_OFFSET, BUCKET_SLOTS, IdKind, Layout, MAX_ACKNOWLEDGED, Slot, encode_acknowledged,
    encode_slot,
};
use cottonnotch_decision::Micros;
use std::collections::{BTreeSet, HashMap};
use std::fs::{self, File};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;

/// The published file. It is locked while the process is alive.
#[derive(Debug)]
pub struct TableFile {
    file: File,
    layout: Layout,
}

impl TableFile {
    /// Creates the file of a process with at most `ids` open ids. All its space is allocated now: a full disk cannot keep an id
    /// from being published later.
    ///
    /// Returns the system's error if that fails; nothing is left then.
    pub fn create(path: &Path, ids: usize) -> io::Result<Self> {
        let layout = Layout::new(ids, RandomState::new().hash_one(ids));
        let temporary_path = path.with_extension(format!("ids-{}.new", std::process::id()));
        match write_empty(&temporary_path, path, layout) {
            Ok(file) => Ok(TableFile { file, layout }),
            Err(error) => {
                // Removes the incomplete file.
                let _ = fs::remove_file(&temporary_path);
                Err(error)
            }
        }
    }

    fn write_slots(&self, first: usize, slots: &[Slot]) -> io::Result<()> {
        let bytes: Vec<u8> = slots.iter().flat_map(|slot| encode_slot(*slot)).collect();
        self.file.write_all_at(&bytes, self.layout.offset(first))
    }

    /// Tells the processes with these start times that their ids are respected from now on, and all others that they are not.
    pub fn acknowledge(&self, starts: &[Micros]) -> io::Result<()> {
        let starts = &starts[..starts.len().min(MAX_ACKNOWLEDGED)];
        self.file.write_all_at(&encode_acknowledged(starts), ACKNOWLEDGED_OFFSET as u64)
    }
}

fn write_empty(temporary_path: &Path, path: &Path, layout: Layout) -> io::Result<File> {
    let file = File::create(temporary_path)?;
    // The file must be locked and complete before it gets its final name: others would take an unlocked file for that of a dead
    // process.
    file.try_lock()?;
    let mut bytes = vec![0; layout.file_bytes() as usize];
    let header = layout.encode_header();
    bytes[..header.len()].copy_from_slice(&header);
    file.write_all_at(&bytes, 0)?;
    fs::rename(temporary_path, path)?;
    Ok(file)
}

/// Why an id cannot be published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The file cannot be written now.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The id's bucket has no empty slot.
    #[error("the table of open ids has no room for the id")]
    Full,
}

/// The open ids of this process. The memory copy says what the file has to hold; slots that could not be written are written
/// later. Its size is that of the file, and each step looks at one bucket.
#[derive(Debug)]
pub struct Table {
    file: Arc<TableFile>,
    slots: Vec<Slot>,
    by_id: HashMap<u64, usize>,
    /// Slots whose content in the file may differ from that in memory.
    unwritten: BTreeSet<usize>,
    /// Whether the whole file has to be written.
    is_unpublished: bool,
}

impl Table {
    /// Creates a table without ids.
    pub fn new(file: Arc<TableFile>) -> Self {
        let slots = vec![None; file.layout.slots()];
        Table { file, slots, by_id: HashMap::new(), unwritten: BTreeSet::new(), is_unpublished: true }
    }

    /// Replaces all ids; they are in the file after the next successful [`Self::publish`].
    pub fn replace(&mut self, ids: &[(u64, IdKind)]) -> Result<(), PublishError> {
        self.slots.fill(None);
        self.by_id.clear();
        self.is_unpublished = true;
        ids.iter().try_for_each(|(id, kind)| self.place(*id, *kind).map(drop))
    }

    /// Writes what the file lacks.
    pub fn publish(&mut self) -> io::Result<()> {
        if self.is_unpublished {
            self.file.write_slots(0, &self.slots)?;
            self.is_unpublished = false;
            self.unwritten.clear();
        }
        while let Some(slot) = self.unwritten.first().copied() {
            self.file.write_slots(slot, &self.slots[slot..=slot])?;
            self.unwritten.remove(&slot);
        }
        Ok(())
    }

    /// Whether the file holds all that it has to hold.
    pub fn is_published(&self) -> bool {
        !self.is_unpublished && self.unwritten.is_empty()
    }

    /// Adds an id and publishes it. On an error the id is not open.
    pub fn insert(&mut self, id: u64, kind: IdKind) -> Result<(), PublishError> {
        let slot = self.place(id, kind)?;
        if let Err(error) = self.write(slot) {
            self.remove(id);
            return Err(error.into());
        }
        Ok(())
    }

    /// Removes an id. If the file cannot be written, the id stays in it until [`Self::publish`] succeeds.
    pub fn remove(&mut self, id: u64) {
        let Some(slot) = self.by_id.remove(&id) else { return };
        self.slots[slot] = None;
        // What fails now is written with the next call of `publish`.
        let _ = self.write(slot);
    }

    /// Puts an id into a slot in memory. An id that is there already keeps its slot.
    fn place(&mut self, id: u64, kind: IdKind) -> Result<usize, PublishError> {
        if let Some(slot) = self.by_id.get(&id) {
            return Ok(*slot);
        }
        let first = self.file.layout.first_slot(id);
        let mut bucket = first..first + BUCKET_SLOTS;
        let slot = bucket.find(|slot| self.slots[*slot].is_none()).ok_or(PublishError::Full)?;
        self.slots[slot] = Some((id, kind));
        self.by_id.insert(id, slot);
        Ok(slot)
    }

    fn write(&mut self, slot: usize) -> io::Result<()> {
        let written = self.file.write_slots(slot, &self.slots[slot..=slot]);
        match written {
            Ok(()) => self.unwritten.remove(&slot),
            Err(_) => self.unwritten.insert(slot),
        };
        written
    }
}

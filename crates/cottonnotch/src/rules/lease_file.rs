//! The file in the state folder with a member's current lease. A successor process cannot request leases until its predecessor
//! has released the address, so it acts under the predecessor's lease until then. This is safe because both processes are the
//! same member with the same clock. A revocation is written to the file before it takes effect anywhere else, so the successor
//! reads the file before each action.

use super::state_files::LEASE;
use cottonnotch_consensus::{ContentHash, Micros};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The length of a record: number, hash and expiry time.
const RECORD_BYTES: usize = 8 + 32 + 8;
/// The length of the file. A checksum follows the record, because a reader may see a partial write.
const FILE_BYTES: usize = RECORD_BYTES + 8;

/// The opened lease file.
#[derive(Debug)]
pub struct LeaseFile(File);

/// The lease in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The version's number.
    pub number: u64,
    /// The hash of the version's content.
    pub hash: ContentHash,
    /// When the lease expires, by [`Clock`](super::clock::Clock).
    pub until: Micros,
}

fn checksum(record: &[u8]) -> [u8; 8] {
    let digest = blake3::hash(record);
    digest.as_bytes().first_chunk().copied().unwrap_or_default()
}

impl LeaseFile {
    /// Opens or creates the file for writing. Used by the process that runs the member.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).read(true).write(true).open(folder.join(LEASE)).map(LeaseFile)
    }

    /// Opens the file for reading. Used by a successor.
    pub fn open(folder: &Path) -> io::Result<Self> {
        File::open(folder.join(LEASE)).map(LeaseFile)
    }

    /// Overwrites the lease.
    pub fn write(&self, lease: LeaseRecord) -> io::Result<()> {
        let mut bytes = [0; FILE_BYTES];
        bytes[..8].copy_from_slice(&lease.number.to_le_bytes());
        bytes[8..40].copy_from_slice(&lease.hash);
        bytes[40..RECORD_BYTES].copy_from_slice(&lease.until.to_le_bytes());
        let checksum = checksum(&bytes[..RECORD_BYTES]);
        bytes[RECORD_BYTES..].copy_from_slice(&checksum);
        self.0.write_all_at(&bytes, 0)
    }

    /// Reads the current lease. Returns `None` if the file is incomplete or corrupt.
    pub fn read(&self) -> Option<LeaseRecord> {
        // Retries once, since the first read may have seen a partial write.
        (0..2).find_map(|_| {
            let mut bytes = [0; FILE_BYTES];
            self.0.read_exact_at(&mut bytes, 0).ok()?;
            let (record, stored) = bytes.split_at(RECORD_BYTES);
            if checksum(record) != stored {
                return None;
            }
            let number = u64::from_le_bytes(*record.first_chunk()?);
            let until = Micros::from_le_bytes(*record.last_chunk()?);
            let hash = *record.get(8..40)?.first_chunk()?;
            Some(LeaseRecord { number, hash, until })
        })
    }
}

#[cfg(test)]
#[path = "lease_file_tests.rs"]
mod tests;

//! The lease of a member in a file of its state folder. A successor can't request leases before the earlier process has
//! released its address, and acts under this lease until then: both processes are one member with one clock and one lease.
//! A revoked lease is revoked here first, so a reader looks at the file each time it acts.

use super::state_files::LEASE;
use cottonnotch_consensus::{ContentHash, Micros};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Number, hash and end.
const RECORD_BYTES: usize = 8 + 32 + 8;
/// A checksum follows, since a reader may meet half a write.
const FILE_BYTES: usize = RECORD_BYTES + 8;

/// The file, open.
#[derive(Debug)]
pub struct LeaseFile(File);

/// What the file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The version's number.
    pub number: u64,
    /// Its content's hash.
    pub hash: ContentHash,
    /// When the lease expires, by [`Clock`](super::clock::Clock).
    pub until: Micros,
}

fn checksum(record: &[u8]) -> [u8; 8] {
    let digest = blake3::hash(record);
    digest.as_bytes().first_chunk().copied().unwrap_or_default()
}

impl LeaseFile {
    /// Opens the file for writing, by the process that is the member.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).read(true).write(true).open(folder.join(LEASE)).map(LeaseFile)
    }

    /// Opens the file for reading, by a successor.
    pub fn open(folder: &Path) -> io::Result<Self> {
        File::open(folder.join(LEASE)).map(LeaseFile)
    }

    /// Replaces the lease.
    pub fn write(&self, lease: LeaseRecord) -> io::Result<()> {
        let mut bytes = [0; FILE_BYTES];
        bytes[..8].copy_from_slice(&lease.number.to_le_bytes());
        bytes[8..40].copy_from_slice(&lease.hash);
        bytes[40..RECORD_BYTES].copy_from_slice(&lease.until.to_le_bytes());
        let checksum = checksum(&bytes[..RECORD_BYTES]);
        bytes[RECORD_BYTES..].copy_from_slice(&checksum);
        self.0.write_all_at(&bytes, 0)
    }

    /// The lease as it is now; `None`: it can't be read.
    pub fn read(&self) -> Option<LeaseRecord> {
        // A second attempt, if the first met half a write.
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

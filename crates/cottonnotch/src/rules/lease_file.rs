//! The lease of a member, in a file beside its memory. A process that takes a member's part can't ask for leases of its own
//! before the earlier one has left, and goes by this until then: both act in one member's name, by one clock, under one
//! lease. What is revoked is revoked here first, so a reader looks each time it acts.

use cottonnotch_consensus::{ContentHash, Micros};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The name beside the memory.
const NAME: &str = "lease";
/// Number, digest, end.
const WORDS: usize = 8 + 32 + 8;
/// And a checksum, since a reader may meet half a write.
const WIDTH: usize = WORDS + 8;

/// The file.
#[derive(Debug)]
pub struct LeaseFile(File);

/// What it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The version.
    pub number: u64,
    /// Its content.
    pub hash: ContentHash,
    /// Its end.
    pub until: Micros,
}

fn sum(words: &[u8]) -> [u8; 8] {
    let digest = blake3::hash(words);
    digest.as_bytes().first_chunk().copied().unwrap_or_default()
}

impl LeaseFile {
    /// To be written by the process that is the member.
    pub fn own(folder: &Path) -> io::Result<Self> {
        let mut how = OpenOptions::new();
        how.create(true).truncate(false).read(true).write(true).open(folder.join(NAME)).map(LeaseFile)
    }

    /// To be read by one that waits.
    pub fn of_another(folder: &Path) -> io::Result<Self> {
        File::open(folder.join(NAME)).map(LeaseFile)
    }

    /// Tells what holds from now on.
    pub fn tell(&self, lease: LeaseRecord) -> io::Result<()> {
        let mut bytes = [0; WIDTH];
        bytes[..8].copy_from_slice(&lease.number.to_le_bytes());
        bytes[8..40].copy_from_slice(&lease.hash);
        bytes[40..WORDS].copy_from_slice(&lease.until.to_le_bytes());
        let sum = sum(&bytes[..WORDS]);
        bytes[WORDS..].copy_from_slice(&sum);
        self.0.write_all_at(&bytes, 0)
    }

    /// What holds now; `None`: nothing that can be read.
    pub fn read(&self) -> Option<LeaseRecord> {
        // A second look, where the first met half a write.
        (0..2).find_map(|_| {
            let mut bytes = [0; WIDTH];
            self.0.read_exact_at(&mut bytes, 0).ok()?;
            let (words, told) = bytes.split_at(WORDS);
            if sum(words) != told {
                return None;
            }
            let number = u64::from_le_bytes(*words.first_chunk()?);
            let until = Micros::from_le_bytes(*words.last_chunk()?);
            let hash = *words.get(8..40)?.first_chunk()?;
            Some(LeaseRecord { number, hash, until })
        })
    }
}

#[cfg(test)]
#[path = "lease_file_tests.rs"]
mod tests;

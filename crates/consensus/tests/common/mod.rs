//! A simulation of many members on virtual time, each with its own clock, over links that lose, delay, duplicate and reorder
//! messages and can be cut in one direction; processes crash, lose their disk, are stopped and resume. The oracle sees all clocks.
#![allow(dead_code)] // Each test file uses its own part.

pub mod chaos;
pub mod oracle;
pub mod scenarios;
pub mod time;
pub mod world;

use cottonnotch_consensus::ContentHash;

/// The content of a version: its answers to three questions (0: none), who can't run it, whether it is rejected.
pub fn content(id: u16, says: [u8; 3]) -> ContentHash {
    let mut hash = [0; 32];
    hash[..2].copy_from_slice(&id.to_be_bytes());
    hash[2..5].copy_from_slice(&says);
    hash
}

/// The same content, but this member can't run it.
pub fn not_for(mut hash: ContentHash, member: u16) -> ContentHash {
    hash[5] = 1;
    hash[6..8].copy_from_slice(&member.to_be_bytes());
    hash
}

/// The same content, but the leader's embedder rejects it.
pub fn refused(mut hash: ContentHash) -> ContentHash {
    hash[8] = 1;
    hash
}

pub fn runs_at(hash: &ContentHash, member: u16) -> bool {
    hash[5] == 0 || u16::from_be_bytes([hash[6], hash[7]]) != member
}

/// Whether both answer a question, and differently. Not transitive.
pub fn contradict(one: &ContentHash, other: &ContentHash) -> bool {
    (2..5).any(|at| one[at] != 0 && other[at] != 0 && one[at] != other[at])
}

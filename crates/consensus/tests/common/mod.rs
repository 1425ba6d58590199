//! Many members on virtual time, each with a clock of its own, over links that lose, delay, double, reorder and are cut
//! one way; processes that crash, forget, are stopped and go on. The oracle sees all clocks.
#![allow(dead_code)] // Each test file uses its own part.

pub mod chaos;
pub mod oracle;
pub mod scenes;
pub mod time;
pub mod world;

use cottonnotch_consensus::ContentHash;

/// Content of a version: what it says on each of three questions (0: nothing), who can't run it, whether it is refused.
pub fn content(id: u16, says: [u8; 3]) -> ContentHash {
    let mut hash = [0; 32];
    hash[..2].copy_from_slice(&id.to_be_bytes());
    hash[2..5].copy_from_slice(&says);
    hash
}

/// The same, but this member can't run it.
pub fn not_for(mut hash: ContentHash, member: u16) -> ContentHash {
    hash[5] = 1;
    hash[6..8].copy_from_slice(&member.to_be_bytes());
    hash
}

/// The same, but the leader's embedder refuses it.
pub fn refused(mut hash: ContentHash) -> ContentHash {
    hash[8] = 1;
    hash
}

pub fn runs_at(hash: &ContentHash, member: u16) -> bool {
    hash[5] == 0 || u16::from_be_bytes([hash[6], hash[7]]) != member
}

/// Whether both speak on a question and say different things. Not transitive.
pub fn contradict(one: &ContentHash, other: &ContentHash) -> bool {
    (2..5).any(|at| one[at] != 0 && other[at] != 0 && one[at] != other[at])
}

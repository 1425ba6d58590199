//! A simulation of many members on virtual time. Each member has its own clock. Links lose, delay, duplicate and
//! reorder messages, and can be cut in one direction. Processes crash, lose their disk, and are stopped and resumed. An
//! oracle that sees all clocks checks the invariants.
#![allow(dead_code)] // Each test file uses only a part of this module.

pub mod chaos;
pub mod oracle;
pub mod scenarios;
pub mod time;
pub mod world;

use cottonnotch_consensus::ContentHash;

/// Returns a content hash that encodes the properties of the content: its answers to three questions (0 means no
/// answer), the member that can't run it, and whether the leader's embedder rejects it. This function sets only the
/// answers.
pub fn content(id: u16, answers: [u8; 3]) -> ContentHash {
    let mut hash = [0; 32];
    hash[..2].copy_from_slice(&id.to_be_bytes());
    hash[2..5].copy_from_slice(&answers);
    hash
}

/// Returns the same content, changed so that `member` can't run it.
pub fn unsupported_by(mut hash: ContentHash, member: u16) -> ContentHash {
    hash[5] = 1;
    hash[6..8].copy_from_slice(&member.to_be_bytes());
    hash
}

/// Returns the same content, changed so that the leader's embedder rejects it.
pub fn rejected(mut hash: ContentHash) -> ContentHash {
    hash[8] = 1;
    hash
}

pub fn can_run_at(hash: &ContentHash, member: u16) -> bool {
    hash[5] == 0 || u16::from_be_bytes([hash[6], hash[7]]) != member
}

/// Whether both contents answer the same question differently. This relation is not transitive.
pub fn are_incompatible(first: &ContentHash, second: &ContentHash) -> bool {
    (2..5).any(|index| first[index] != 0 && second[index] != 0 && first[index] != second[index])
}

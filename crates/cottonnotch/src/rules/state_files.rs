//! The names of the files in the state folder. The names must not change, because other builds read the same files.

use super::version_content::hex;
use cottonnotch_consensus::ContentHash;

/// The file with the voter's durable state.
pub const DURABLE_STATE: &str = "memory";
/// The file with the number and the hash of the version that was active last.
pub const LAST_ACTIVE: &str = "held";
/// The file with the current lease, which a successor reads.
pub const LEASE: &str = "lease";
/// The prefix of the names of content files.
pub const CONTENT_PREFIX: &str = "content-";

/// The name of the file with this content.
pub fn content_name(hash: &ContentHash) -> String {
    format!("{CONTENT_PREFIX}{}", hex(hash))
}

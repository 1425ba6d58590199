//! The names of the files in the state folder. They are on disk: they must not change.

use super::version_content::hex;
use cottonnotch_consensus::ContentHash;

/// The voter's durable state.
pub const DURABLE_STATE: &str = "memory";
/// The number and the hash of the version that was active last.
pub const LAST_ACTIVE: &str = "held";
/// The lease, for a successor.
pub const LEASE: &str = "lease";
/// What the names of contents begin with.
pub const CONTENT_PREFIX: &str = "content-";

/// The name of a content's file.
pub fn content_name(hash: &ContentHash) -> String {
    format!("{CONTENT_PREFIX}{}", hex(hash))
}

//! The names of the files in the state folder.

use super::version_content::hex;
use cottonnotch_consensus::ContentHash;

/// The files' names.
pub const MEMORY: &str = "memory";
pub const HELD: &str = "held";
pub const CONTENT: &str = "content-";

/// The name of a content's file.
pub fn content_name(hash: &ContentHash) -> String {
    format!("{CONTENT}{}", hex(hash))
}

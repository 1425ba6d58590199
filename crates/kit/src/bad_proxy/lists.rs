//! The endpoint lists of discovery, in the format of `PROTOCOL`.

use crate::plan::Phase;
use serde::Deserialize;
use std::net::SocketAddr;

/// A complete endpoint list, or the changes since an earlier revision.
#[derive(Debug, Deserialize)]
pub(super) struct List {
    pub revision: u64,
    /// Whether `members` names all members. If so, a member that is missing was removed.
    pub complete: bool,
    pub members: Vec<Member>,
}

/// One render node of the list.
#[derive(Debug, Deserialize)]
pub(super) struct Member {
    pub id: String,
    /// `None` is possible for a member that was removed.
    pub host_port: Option<SocketAddr>,
    pub phase: Phase,
    /// The member's last start, as Unix time in milliseconds; 0 if it started long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

impl List {
    /// Parses one JSON text. The parser overwrites the buffer.
    pub fn parse(text: &mut [u8]) -> Result<Self, simd_json::Error> {
        simd_json::from_slice(text)
    }
}

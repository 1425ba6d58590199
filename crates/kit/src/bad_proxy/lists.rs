//! Discovery's lists, as `PROTOCOL` has them.

use crate::plan::Phase;
use serde::Deserialize;
use std::net::SocketAddr;

/// The whole list, or what changed of it.
#[derive(Debug, Deserialize)]
pub(super) struct List {
    pub revision: u64,
    /// All members are named; those that are not are gone.
    pub complete: bool,
    pub members: Vec<Member>,
}

/// One entry.
#[derive(Debug, Deserialize)]
pub(super) struct Member {
    pub id: String,
    /// One that was removed may have none.
    pub host_port: Option<SocketAddr>,
    pub phase: Phase,
    /// Its last start as Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

impl List {
    /// Reads one JSON text; the buffer is used up.
    pub fn parse(text: &mut [u8]) -> Result<Self, simd_json::Error> {
        simd_json::from_slice(text)
    }
}

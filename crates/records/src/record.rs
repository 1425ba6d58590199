//! A record: one line of the schema. Units are in the names: `_us` microseconds, `_ms` milliseconds.
//!
//! Names are shared (`Arc<str>`), since the same few are in nearly every record: the loop pays one addition for a
//! copy. Reasons are fixed texts of the proxy's (`Cow::Borrowed`) and cost nothing.

use crate::event::Event;
use serde::{Deserialize, Serialize};

/// The version of the schema, in `v` on each line. Raised when something known changes its meaning; a new field or
/// event does not raise it.
pub const SCHEMA: u32 = 1;

/// Bytes of a line, its end included. Room for a list of some 2,500 endpoints; a reader need not hold more. What
/// would be longer is not written, and counted as dropped.
pub const MAX_LINE_BYTES: usize = 256 * 1024;

/// One line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The schema's version, [`SCHEMA`] when written.
    pub v: u32,
    /// Counts what was produced since the start, from 0 and without a gap: one in the file shows a loss.
    pub seq: u64,
    /// Unix time in microseconds. May step when the system's clock is set.
    pub wall_us: u64,
    /// Microseconds since the recorder was opened. Never goes back within an incarnation.
    pub mono_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

impl Record {
    /// Appends the record as a line with its end. On an error (none is known) the buffer is as it was.
    pub fn write_line(&self, buffer: &mut Vec<u8>) -> Result<(), simd_json::Error> {
        let begin = buffer.len();
        let written = simd_json::to_writer(&mut *buffer, self);
        match written {
            Ok(()) => buffer.push(b'\n'),
            Err(_) => buffer.truncate(begin),
        }
        written
    }
}

//! The lines that end a client's connection, as they go over the wire.

use cottonnotch_decision::Micros;
use std::fmt::Display;

/// The Retry-After of a client for which there is no descriptor.
pub const FULL_RETRY_AFTER: Micros = 1_000_000;
/// Sent to a client that is migrated: it comes back by itself.
pub const MOVE: &str = "MOVE\r\n";

/// A rejection; `retry_after` is rounded up to milliseconds, and 0 says nothing of when to come back.
pub fn busy_line(retry_after: Micros) -> String {
    match retry_after {
        0 => "BUSY\r\n".to_owned(),
        after => format!("BUSY {}\r\n", (after + 999) / 1000),
    }
}

/// An error, with its reason.
pub fn error_line(reason: &dyn Display) -> String {
    format!("ERR {reason}\r\n")
}

//! The lines that end a client's connection, in their wire format.

use cottonnotch_decision::Micros;
use std::fmt::Display;

/// The Retry-After time for a client for which no file descriptor is left.
pub const FULL_RETRY_AFTER: Micros = 1_000_000;
/// The line for a client that is migrated; the client then reconnects.
pub const MOVE: &str = "MOVE\r\n";

/// Formats a rejection. `retry_after` is rounded up to milliseconds; 0 omits the time.
pub fn busy_line(retry_after: Micros) -> String {
    match retry_after {
        0 => "BUSY\r\n".to_owned(),
        after => format!("BUSY {}\r\n", (after + 999) / 1000),
    }
}

/// Formats an error with its reason.
pub fn error_line(reason: &dyn Display) -> String {
    format!("ERR {reason}\r\n")
}

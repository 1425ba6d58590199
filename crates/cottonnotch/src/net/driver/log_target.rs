//! The driver's name in the log.

/// The driver's part in the log, whichever of its files writes the line: filters and collectors know it by this.
pub const LOG_TARGET: &str = "cottonnotch::net::driver";

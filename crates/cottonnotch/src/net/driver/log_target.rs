//! The driver's log target.

/// Log target of all files of the driver. Log filters and collectors match this name.
pub const LOG_TARGET: &str = "cottonnotch::net::driver";

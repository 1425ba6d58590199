//! Formats times and durations for the descriptions of violations.

use crate::time::Micros;

/// Formats a time in seconds, with milliseconds and the unit.
pub(super) fn format_seconds(time: Micros) -> String {
    format!("{:.3} s", time as f64 / 1e6)
}

/// Formats a duration in whole milliseconds, without the unit.
pub(super) fn format_millis(span: Micros) -> String {
    format!("{:.0}", span as f64 / 1e3)
}

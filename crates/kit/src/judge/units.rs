//! Times and spans of a run as text, for the descriptions of violations.

use crate::time::Micros;

/// A time of the run, in seconds to the millisecond.
pub(super) fn format_seconds(time: Micros) -> String {
    format!("{:.3} s", time as f64 / 1e6)
}

/// A span, in whole milliseconds, without the unit.
pub(super) fn format_millis(span: Micros) -> String {
    format!("{:.0}", span as f64 / 1e3)
}

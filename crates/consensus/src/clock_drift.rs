//! Conversion of durations for clocks whose rate is off by up to `drift_ppm` parts per million.

use crate::Micros;

/// Returns how long to wait by a clock that may run fast, so that at least `span` of true time passes.
pub(crate) fn lengthen(span: Micros, drift_ppm: u32) -> Micros {
    span + span * Micros::from(drift_ppm) / 1_000_000 + 1
}

/// Returns how long to count by a clock that may run slow, so that at most `span` of true time passes.
pub(crate) fn shorten(span: Micros, drift_ppm: u32) -> Micros {
    span - span * Micros::from(drift_ppm) / 1_000_000 - 1
}

//! Spans by clocks whose rates err.

use crate::Micros;

/// A span by a clock that may run fast: no shorter than `span` in true time.
pub(crate) fn longer(span: Micros, drift_ppm: u32) -> Micros {
    span + span * Micros::from(drift_ppm) / 1_000_000 + 1
}

/// A span by a clock that may run slow: no longer than `span` in true time.
pub(crate) fn shorter(span: Micros, drift_ppm: u32) -> Micros {
    span - span * Micros::from(drift_ppm) / 1_000_000 - 1
}

//! Bounds on a span when it is measured by a clock whose rate is off by up to `drift_ppm` millionths.

use crate::Micros;

/// The span to wait on a clock that may run fast, so that at least `span` of true time passes.
pub(crate) fn lengthen(span: Micros, drift_ppm: u32) -> Micros {
    span + span * Micros::from(drift_ppm) / 1_000_000 + 1
}

/// The span to count on a clock that may run slow, so that at most `span` of true time passes.
pub(crate) fn shorten(span: Micros, drift_ppm: u32) -> Micros {
    span - span * Micros::from(drift_ppm) / 1_000_000 - 1
}

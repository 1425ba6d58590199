//! Conversion of durations for clocks whose rate is off by up to `drift_ppm` parts per million.

use crate::Micros;

/// Returns how long to wait by a clock that may run fast, so that at least `duration` of true time passes.
pub(crate) fn lengthen(duration: Micros, drift_ppm: u32) -> Micros {
    duration + duration * Micros::from(drift_ppm) / 1_000_000 + 1
}

/// Returns how long to count by a clock that may run slow, so that at most `duration` of true time passes.
pub(crate) fn shorten(duration: Micros, drift_ppm: u32) -> Micros {
    duration - duration * Micros::from(drift_ppm) / 1_000_000 - 1
}

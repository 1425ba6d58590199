//! Loads and rates as single bytes, on logarithmic scales.

use crate::Micros;

/// Load of byte 1, in microseconds of work a second; each 16 steps double it.
const LOAD_UNIT: f64 = 64.0;
const LOAD_STEPS_PER_DOUBLING: f64 = 16.0;
/// Rates are counted in sixteenths a second; each 8 steps double them.
const RATE_UNITS_PER_S: f64 = 16.0;
const RATE_STEPS_PER_DOUBLING: f64 = 8.0;
const TENTH_OF_A_SECOND: Micros = 100_000;

/// A load as a byte: 0 for none, else 64 us a second times 2 to the power of sixteenths; up to 3.8 cores.
pub fn encode_load(micros_per_s: f64) -> u8 {
    if micros_per_s.is_nan() || micros_per_s < 32.0 {
        0
    } else {
        ((micros_per_s / LOAD_UNIT).log2() * LOAD_STEPS_PER_DOUBLING + 1.0).round().clamp(1.0, 255.0) as u8
    }
}

/// The load that a byte stands for, in microseconds of work a second.
pub fn decode_load(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { LOAD_UNIT * (f64::from(byte - 1) / LOAD_STEPS_PER_DOUBLING).exp2() }
}

/// A rate as a byte: 0 for none, else 1/16 a second times 2 to the power of eighths.
pub fn encode_rate(per_s: f64) -> u8 {
    if per_s.is_nan() || per_s < 0.045 {
        0
    } else {
        ((per_s * RATE_UNITS_PER_S).log2() * RATE_STEPS_PER_DOUBLING + 1.0).round().clamp(1.0, 255.0) as u8
    }
}

/// The rate a second that a byte stands for.
pub fn decode_rate(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { (f64::from(byte - 1) / RATE_STEPS_PER_DOUBLING).exp2() / RATE_UNITS_PER_S }
}

/// A span in tenths of a second, rounded down.
pub(super) fn encode_tenths(span: Micros) -> u32 {
    (span.max(0) / TENTH_OF_A_SECOND).min(Micros::from(u32::MAX)) as u32
}

/// A span from tenths of a second.
pub(super) fn decode_tenths(tenths: u32) -> Micros {
    Micros::from(tenths) * TENTH_OF_A_SECOND
}

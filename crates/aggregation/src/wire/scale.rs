//! Encoding of loads and rates as single bytes on logarithmic scales, and of durations in tenths of a second.

use crate::Micros;

/// The load encoded as 1, in microseconds of work per second.
const LOAD_UNIT: f64 = 64.0;
const LOAD_STEPS_PER_DOUBLING: f64 = 16.0;
/// The rate encoded as 1 is one sixteenth per second.
const RATE_UNITS_PER_S: f64 = 16.0;
const RATE_STEPS_PER_DOUBLING: f64 = 8.0;
const TENTH_OF_A_SECOND: Micros = 100_000;

/// Encodes a load as a byte: 0 means no load, and `n` means 64 us per second * 2^((n - 1) / 16), up to 3.8 cores.
pub fn encode_load(micros_per_s: f64) -> u8 {
    if micros_per_s.is_nan() || micros_per_s < 32.0 {
        0
    } else {
        ((micros_per_s / LOAD_UNIT).log2() * LOAD_STEPS_PER_DOUBLING + 1.0).round().clamp(1.0, 255.0) as u8
    }
}

/// Decodes a load, in microseconds of work per second.
pub fn decode_load(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { LOAD_UNIT * (f64::from(byte - 1) / LOAD_STEPS_PER_DOUBLING).exp2() }
}

/// Encodes a rate as a byte: 0 means no events, and `n` means 1/16 per second * 2^((n - 1) / 8).
pub fn encode_rate(per_s: f64) -> u8 {
    if per_s.is_nan() || per_s < 0.045 {
        0
    } else {
        ((per_s * RATE_UNITS_PER_S).log2() * RATE_STEPS_PER_DOUBLING + 1.0).round().clamp(1.0, 255.0) as u8
    }
}

/// Decodes a rate, in events per second.
pub fn decode_rate(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { (f64::from(byte - 1) / RATE_STEPS_PER_DOUBLING).exp2() / RATE_UNITS_PER_S }
}

/// Encodes a duration in tenths of a second, rounded down.
pub(super) fn encode_tenths(span: Micros) -> u32 {
    (span.max(0) / TENTH_OF_A_SECOND).min(Micros::from(u32::MAX)) as u32
}

/// Decodes a duration given in tenths of a second.
pub(super) fn decode_tenths(tenths: u32) -> Micros {
    Micros::from(tenths) * TENTH_OF_A_SECOND
}

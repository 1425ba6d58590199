//! The report interval that follows from the fleet's bandwidth limit.

use crate::{Micros, Settings};

/// Size of a full datagram, in bytes.
const FULL_DATAGRAM_BYTES: f64 = 256.0;
/// The interval of a member without a fresh snapshot. The first summary replaces this value.
pub(crate) const DEFAULT_INTERVAL: Micros = 2_000_000;

/// The time between two reports of a member at which all members together keep to the bandwidth limit. `bytes` is the number of
/// bytes exchanged per report, and `requests_per_s` the rate of requests at the whole fleet.
pub(crate) fn report_interval(settings: &Settings, members: f64, bytes: f64, requests_per_s: f64) -> Micros {
    let allowed_bytes_per_s = FULL_DATAGRAM_BYTES * settings.datagrams_per_request * requests_per_s;
    let seconds = members * bytes / allowed_bytes_per_s.max(1e-9);
    ((seconds * 1e6).min(1e15) as Micros).clamp(settings.min_report_interval, settings.max_report_interval)
}

#[cfg(test)]
#[path = "report_interval_tests.rs"]
mod tests;

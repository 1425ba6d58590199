//! How often members report: the tier's ceiling, divided.

use crate::{Micros, Settings};

/// What counts as one datagram, in bytes.
const FULL: f64 = 256.0;
/// A tier of which nothing is known yet reports so often: the first table tells more.
pub(crate) const UNKNOWN: Micros = 2_000_000;

/// The time between two reports, so that all members together keep to the ceiling: `bytes` go to and fro for each report of
/// each of so many `members`, while `requests_per_s` come to the tier.
pub(crate) fn period(settings: &Settings, members: f64, bytes: f64, requests_per_s: f64) -> Micros {
    let allowed = FULL * settings.datagrams_per_request * requests_per_s;
    let seconds = members * bytes / allowed.max(1e-9);
    ((seconds * 1e6).min(1e15) as Micros).clamp(settings.period, settings.longest_period)
}

#[cfg(test)]
#[path = "report_interval_tests.rs"]
mod tests;

//! How often members report: the fleet's bandwidth limit, divided by its members.

use crate::{Micros, Settings};

/// What counts as one full datagram, in bytes.
const FULL_DATAGRAM: f64 = 256.0;
/// The interval of a member that has no snapshot yet; the first summary tells a better one.
pub(crate) const DEFAULT: Micros = 2_000_000;

/// The time between two reports with which all members together keep to the limit: `bytes` are exchanged for each report of
/// each of `members`, while `requests_per_s` arrive at the fleet.
pub(crate) fn report_interval(settings: &Settings, members: f64, bytes: f64, requests_per_s: f64) -> Micros {
    let allowed = FULL_DATAGRAM * settings.datagrams_per_request * requests_per_s;
    let seconds = members * bytes / allowed.max(1e-9);
    ((seconds * 1e6).min(1e15) as Micros).clamp(settings.min_report_interval, settings.max_report_interval)
}

#[cfg(test)]
#[path = "report_interval_tests.rs"]
mod tests;

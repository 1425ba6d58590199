//! The load reports that an aggregator has received. The newest report of each member counts until it expires. Memory grows
//! with the number of members times the entries of a report; the wire format limits those entries.

use crate::fleet_sums::{FleetSums, max_connections};
use crate::member_report::MemberReport;
use crate::sequence::SequenceOrder;
use crate::wire::{EndpointDigest, FleetSummary, Report, write_summary};
use crate::{Micros, Settings, report_interval};
use std::collections::BTreeMap;

/// Time for which a computed summary is reused. At 300 reports per second, a summary for each report would mostly be wasted
/// work.
const SUMMARY_LIFETIME: Micros = 100_000;
/// Minimum time for which an aggregator collects the other members' reports after the first one.
const MIN_COLLECTION_TIME: Micros = 1_200_000;

/// The newest reports of all members, and the summary computed from them.
#[derive(Debug, Default)]
pub struct Aggregation {
    reports: BTreeMap<u32, MemberReport>,
    /// When the first report arrived since this member became aggregator; `None` if no report is stored.
    first_report_at: Option<Micros>,
    /// The last summary with the time of its computation; `None` before the first one.
    cached_summary: Option<(Micros, FleetSummary)>,
    extra_bytes: f64,
}

impl Aggregation {
    /// Stores one fragment of a report; `bytes` is the size of its datagram.
    pub fn record(&mut self, now: Micros, from: u32, bytes: usize, report: Report) {
        self.expire(now);
        self.first_report_at.get_or_insert(now);
        if report.leaving {
            self.reports.remove(&from);
            return;
        }
        let stored = self.reports.entry(from).or_insert_with(|| MemberReport::begin(now, &report));
        match SequenceOrder::of(report.sequence, stored.sequence) {
            SequenceOrder::Overtaken => return,
            SequenceOrder::Same => {}
            order => stored.supersede(now, &report, order),
        }
        stored.add_fragment(now, bytes, report);
    }

    /// Sets the number of bytes exchanged per report in addition to the report and its summary.
    pub fn set_extra_bytes(&mut self, bytes: f64) {
        self.extra_bytes = bytes;
    }

    /// Whether a report of this member is stored.
    pub fn contains(&self, member: u32) -> bool {
        self.reports.contains_key(&member)
    }

    /// The connections of all reporting members, and those of the selected members. Each member counts up to the limit
    /// `max_connections`.
    pub fn connections(&self, selected: impl Fn(u32) -> bool) -> (f64, f64) {
        let limit = max_connections(&self.reports);
        let count = |report: &MemberReport| f64::from(report.totals.connections).min(limit);
        let all = self.reports.values().map(count).sum();
        let of_selected = self.reports.iter().filter(|(member, _)| selected(**member));
        (all, of_selected.map(|(_, report)| count(report)).sum())
    }

    fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| now <= report.expires_at);
        if self.reports.is_empty() {
            // The next report starts a new collection phase.
            self.first_report_at = None;
        }
    }

    /// The current summary. `capacity` returns the capacity of an endpoint in microseconds of work per second, or `None` if the
    /// endpoint is not listed.
    pub fn summary(
        &mut self,
        settings: &Settings,
        now: Micros,
        capacity: impl Fn(EndpointDigest) -> Option<f64>,
    ) -> FleetSummary {
        if let Some((computed_at, summary)) = &self.cached_summary
            && now - computed_at < SUMMARY_LIFETIME
        {
            return summary.clone();
        }
        self.expire(now);
        let incomplete = self.is_collecting(settings, now);
        let mut summary = FleetSums::of(&self.reports).into_summary(incomplete, capacity);
        summary.report_interval = self.report_interval(settings, &summary);
        self.cached_summary = Some((now, summary.clone()));
        summary
    }

    /// Whether reports of some members may still be missing. Every member reports within the longest announced interval.
    fn is_collecting(&self, settings: &Settings, now: Micros) -> bool {
        let longest = self.reports.values().map(|report| report.next_report_in).max().unwrap_or(0);
        let collection_time =
            longest.clamp(MIN_COLLECTION_TIME, settings.max_report_interval.max(MIN_COLLECTION_TIME));
        self.first_report_at.is_none_or(|first| now - first < collection_time)
    }

    /// The report interval at which the whole fleet keeps to its bandwidth limit. The interval is the same for all members, so
    /// that no report expires before its sender's next one.
    fn report_interval(&self, settings: &Settings, summary: &FleetSummary) -> Micros {
        let reports: usize = self.reports.values().map(|report| report.bytes).sum();
        let summaries: usize = write_summary(summary).iter().map(Vec::len).sum();
        let bytes = reports as f64 / self.reports.len().max(1) as f64 + summaries as f64 + self.extra_bytes;
        let members = f64::from(summary.members);
        report_interval::report_interval(settings, members, bytes, summary.totals.requests_per_s)
    }
}

#[cfg(test)]
#[path = "aggregation_tests.rs"]
mod tests;

//! The aggregator role of a member: storing the reports of all members and computing the answers.

use crate::affinity_subsets::EndpointPool;
use crate::aggregation::Aggregation;
use crate::group_sums::{FleetTotals, GroupSums, RecordOutcome};
use crate::wire::{EndpointDigest, FleetSummary, GroupReport, Report};
use crate::{AffinitySettings, Micros, Settings};
use std::collections::BTreeMap;

/// The received reports, and the endpoint capacities needed to turn summed loads into utilizations.
#[derive(Debug, Default)]
pub(crate) struct Aggregator {
    capacities: BTreeMap<EndpointDigest, f64>,
    load_reports: Aggregation,
    group_reports: GroupSums,
}

impl Aggregator {
    /// Replaces the capacities of the listed endpoints, in microseconds of work per second.
    pub(crate) fn set_capacities(&mut self, capacities: BTreeMap<EndpointDigest, f64>) {
        self.capacities = capacities;
    }

    /// The number and the mean capacity of the listed endpoints.
    pub(crate) fn endpoints(&self) -> EndpointPool {
        let count = self.capacities.len();
        let total: f64 = self.capacities.values().sum();
        EndpointPool { count: count as u32, mean_capacity: total / count.max(1) as f64 }
    }

    /// Stores one fragment of a load report; `bytes` is the size of its datagram, 0 for this member's own report.
    pub(crate) fn record_report(&mut self, now: Micros, from: u32, bytes: usize, report: Report) {
        if report.leaving {
            self.group_reports.remove(from);
        }
        self.load_reports.record(now, from, bytes, report);
    }

    /// Stores one fragment of a group report; `bytes` is the size of its datagram, 0 for this member's own report.
    pub(crate) fn record_groups(
        &mut self,
        settings: &Settings,
        now: Micros,
        from: u32,
        bytes: usize,
        report: GroupReport,
    ) -> RecordOutcome {
        self.group_reports.record(settings, now, from, bytes, report)
    }

    /// Removes expired group reports.
    pub(crate) fn expire_groups(&mut self, now: Micros) {
        self.group_reports.expire(now);
    }

    /// The current fleet summary.
    pub(crate) fn summary(&mut self, settings: &Settings, now: Micros) -> FleetSummary {
        self.load_reports.set_extra_bytes(self.group_reports.mean_bytes());
        let capacities = &self.capacities;
        self.load_reports.summary(settings, now, |endpoint| capacities.get(&endpoint).copied())
    }

    /// The groups whose affinity subset needs more than five endpoints, with the size of the subset.
    pub(crate) fn subset_sizes(
        &mut self,
        settings: &Settings,
        affinity: &AffinitySettings,
        now: Micros,
        configured_members: u32,
    ) -> Vec<(u64, u32)> {
        // Every member asks once per interval, and the computation below visits the reports of all members.
        if let Some(sizes) = self.group_reports.cached_sizes(now) {
            return sizes;
        }
        let summary = self.summary(settings, now);
        let fleet = self.fleet_totals(configured_members, &summary);
        self.group_reports.subset_sizes(affinity, now, &fleet)
    }

    fn fleet_totals(&mut self, configured_members: u32, summary: &FleetSummary) -> FleetTotals {
        // A member without a stored load report counts among the silent members, whose groups are extrapolated. Its group
        // report must not count in addition.
        self.group_reports.retain(|member| self.load_reports.contains(member));
        let (connections, connections_with_groups) =
            self.load_reports.connections(|member| self.group_reports.contains(member));
        FleetTotals {
            configured_members,
            reporting_members: summary.members,
            connections,
            connections_with_groups,
            mean_load: summary.mean_load,
            endpoints: self.endpoints(),
        }
    }

    /// Number of times that a group was left out of an answer because the limit was reached.
    pub(crate) fn groups_truncated(&self) -> u64 {
        self.group_reports.truncated
    }
}

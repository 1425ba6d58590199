//! A member's role as aggregator: it takes the others' reports and answers with the sums.

use crate::affinity_subsets::EndpointPool;
use crate::aggregation::Aggregation;
use crate::group_sums::{FleetTotals, GroupSums, Recorded};
use crate::wire::{EndpointDigest, FleetSummary, GroupReport, Report};
use crate::{AffinitySettings, Micros, Settings};
use std::collections::BTreeMap;

/// The reports received, and the capacities that their sums are measured by.
#[derive(Debug, Default)]
pub(crate) struct Aggregator {
    capacities: BTreeMap<EndpointDigest, f64>,
    load_reports: Aggregation,
    group_reports: GroupSums,
}

impl Aggregator {
    /// Replaces the listed endpoints' capacities, in microseconds of work a second.
    pub(crate) fn set_capacities(&mut self, capacities: BTreeMap<EndpointDigest, f64>) {
        self.capacities = capacities;
    }

    /// The listed endpoints.
    pub(crate) fn endpoints(&self) -> EndpointPool {
        let count = self.capacities.len();
        let total: f64 = self.capacities.values().sum();
        EndpointPool { count: count as u32, mean_capacity: total / count.max(1) as f64 }
    }

    /// Takes one fragment of a report; `bytes` is the size of its datagram, 0 for this member's own report.
    pub(crate) fn record_report(&mut self, now: Micros, from: u32, bytes: usize, report: Report) {
        if report.leaving {
            self.group_reports.remove(from);
        }
        self.load_reports.record(now, from, bytes, report);
    }

    /// Takes one fragment of a group report; `bytes` is the size of its datagram, 0 for this member's own report.
    pub(crate) fn record_groups(
        &mut self,
        settings: &Settings,
        now: Micros,
        from: u32,
        bytes: usize,
        report: GroupReport,
    ) -> Recorded {
        self.group_reports.record(settings, now, from, bytes, report)
    }

    /// Removes group reports that are too old to count.
    pub(crate) fn expire_groups(&mut self, now: Micros) {
        self.group_reports.expire(now);
    }

    /// The fleet summary as of now.
    pub(crate) fn summary(&mut self, settings: &Settings, now: Micros) -> FleetSummary {
        self.load_reports.set_extra_bytes(self.group_reports.mean_bytes());
        let capacities = &self.capacities;
        self.load_reports.summary(settings, now, |endpoint| capacities.get(&endpoint).copied())
    }

    /// The groups whose affinity subset needs more than five endpoints, and how many.
    pub(crate) fn subset_sizes(
        &mut self,
        settings: &Settings,
        affinity: &AffinitySettings,
        now: Micros,
        configured_members: u32,
    ) -> Vec<(u64, u32)> {
        // Every member asks in each interval, and what follows looks at all of them.
        if let Some(sizes) = self.group_reports.cached_sizes(now) {
            return sizes;
        }
        let summary = self.summary(settings, now);
        let fleet = self.fleet_totals(configured_members, &summary);
        self.group_reports.subset_sizes(affinity, now, &fleet)
    }

    fn fleet_totals(&mut self, configured_members: u32, summary: &FleetSummary) -> FleetTotals {
        // A member whose load report was lost has its groups counted with those of the members that aren't heard.
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

    /// Groups that found no room in an answer so far.
    pub(crate) fn groups_truncated(&self) -> u64 {
        self.group_reports.truncated
    }
}

//! The sums of all members' reports: what one member may add to them, and the fleet summary that follows.

use crate::member_report::MemberReport;
use crate::wire::{
    EndpointDigest, EndpointSummary, FleetSummary, Fragment, HealthVerdict, MIN_REPORTED_UTILIZATION, Totals,
};
use std::collections::{BTreeMap, BTreeSet};

/// Load that each group adds to each endpoint which holds any of it, in mean connection loads: the platform's figure,
/// which no setting carries.
pub(crate) const GROUP_COST: f64 = 3.0;
/// The limit of what one report counts for, as a multiple of what 19 of 20 report. Guards against faulty members: what one or two
/// of 40 report doesn't move this mark, and clients never arrive as unevenly.
pub(crate) const MAX_OVER_USUAL: f64 = 2.0;
/// ... and this much, in connections, where most members have none.
pub(crate) const ALWAYS_ALLOWED: f64 = 4.0;
/// ... and this much, in events a second.
const ALWAYS_ALLOWED_PER_S: f64 = 0.5;
/// Mean load of a member's connections, in medians of what members report.
const MAX_MEAN_LOAD: f64 = 4.0;
/// An endpoint on which this many times the usual number of proxies, for its capacity, have just set up connections is reported
/// as utilized by 0.4 at least. Guards against a crowd that all choose the same endpoint before the next summary shows the
/// effect.
const CROWDED: f64 = 1.5;
/// So many members must agree on a verdict: one alone may itself be cut off.
const MIN_AGREEING: u32 = 2;

/// What one member's report counts for at most.
pub(crate) struct ReportLimits {
    connections: f64,
    requests_per_s: f64,
    successes_per_s: f64,
    failures_per_s: f64,
    load: f64,
}

impl ReportLimits {
    pub(crate) fn of(reports: &BTreeMap<u32, MemberReport>) -> Self {
        let connections = max_connections(reports);
        let per_s = |figure: fn(&Totals) -> f64| limit(reports, ALWAYS_ALLOWED_PER_S, figure);
        ReportLimits {
            connections,
            requests_per_s: per_s(|totals| totals.requests_per_s),
            successes_per_s: per_s(|totals| totals.successes_per_s),
            failures_per_s: per_s(|totals| totals.failures_per_s),
            load: MAX_MEAN_LOAD * median_mean_load(reports) * connections,
        }
    }
}

/// The most connections that one member's report counts for.
pub(crate) fn max_connections(reports: &BTreeMap<u32, MemberReport>) -> f64 {
    limit(reports, ALWAYS_ALLOWED, |totals| f64::from(totals.connections))
}

/// The most of a figure that one member's report counts for.
fn limit(reports: &BTreeMap<u32, MemberReport>, always: f64, figure: impl Fn(&Totals) -> f64) -> f64 {
    let mut all: Vec<f64> = reports.values().map(|report| figure(&report.totals)).collect();
    all.sort_by(f64::total_cmp);
    // The 19th of 20: with 40 members two may report what they like.
    let usual = all.get((all.len() * 19 / 20).saturating_sub(1)).copied().unwrap_or(0.0);
    MAX_OVER_USUAL * usual + always
}

fn median_mean_load(reports: &BTreeMap<u32, MemberReport>) -> f64 {
    let mut means: Vec<f64> = reports.values().filter_map(mean_load).collect();
    means.sort_by(f64::total_cmp);
    means.get(means.len() / 2).copied().unwrap_or(0.0)
}

/// Mean load of a connection of one member; `None` if it has none.
fn mean_load(report: &MemberReport) -> Option<f64> {
    let load: f64 = report.current_entries().map(|entry| entry.load).sum();
    (report.totals.connections > 0).then(|| load / f64::from(report.totals.connections))
}

/// Sums of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointSum {
    load: f64,
    groups: BTreeSet<u8>,
    healthy: u32,
    unhealthy: u32,
}

impl EndpointSum {
    fn verdict(&self) -> HealthVerdict {
        match (self.healthy, self.unhealthy) {
            (healthy, unhealthy) if unhealthy >= MIN_AGREEING && unhealthy > healthy => {
                HealthVerdict::Unhealthy
            }
            (MIN_AGREEING.., 0) => HealthVerdict::Healthy,
            _ => HealthVerdict::Unknown,
        }
    }
}

/// Sums over all members.
#[derive(Debug, Default)]
pub(crate) struct FleetSums {
    members: u32,
    totals: Totals,
    load: f64,
    connections: f64,
    endpoints: BTreeMap<EndpointDigest, EndpointSum>,
}

impl FleetSums {
    /// Adds up all reports, none for more than the limits allow.
    pub(crate) fn of(reports: &BTreeMap<u32, MemberReport>) -> Self {
        let limits = ReportLimits::of(reports);
        let mut sums = FleetSums { members: reports.len() as u32, ..FleetSums::default() };
        reports.values().for_each(|report| sums.add(report, &limits));
        sums
    }

    fn add(&mut self, report: &MemberReport, limits: &ReportLimits) {
        let reported: f64 = report.current_entries().map(|entry| entry.load).sum();
        let factor = if reported > limits.load { limits.load / reported } else { 1.0 };
        let connections = f64::from(report.totals.connections).min(limits.connections);
        self.totals.connections += connections as u32;
        self.totals.requests_per_s += report.totals.requests_per_s.min(limits.requests_per_s);
        self.totals.successes_per_s += report.totals.successes_per_s.min(limits.successes_per_s);
        self.totals.failures_per_s += report.totals.failures_per_s.min(limits.failures_per_s);
        self.load += reported * factor;
        self.connections += connections;
        self.add_entries(report, factor, limits.connections as usize);
    }

    /// A member has no more groups than connections.
    fn add_entries(&mut self, report: &MemberReport, factor: f64, max_groups: usize) {
        let mut groups_left = max_groups;
        for entry in report.current_entries() {
            let sum = self.endpoints.entry(entry.endpoint).or_default();
            sum.load += entry.load * factor;
            sum.groups.extend(entry.groups.iter().take(groups_left));
            groups_left = groups_left.saturating_sub(entry.groups.len());
            sum.healthy += u32::from(entry.health == HealthVerdict::Healthy);
            sum.unhealthy += u32::from(entry.health == HealthVerdict::Unhealthy);
        }
    }

    /// Mean load of a connection, in microseconds of work a second.
    fn mean_load(&self) -> f64 {
        if self.connections > 0.0 { self.load / self.connections } else { 0.0 }
    }

    /// The summary, but for the report interval; `capacity` gives an endpoint's in microseconds of work a second, `None` where
    /// it isn't listed.
    pub(crate) fn into_summary(
        self,
        incomplete: bool,
        capacity: impl Fn(EndpointDigest) -> Option<f64>,
    ) -> FleetSummary {
        let mean_load = self.mean_load();
        let usual = SetupDensity::of(&self.endpoints, &capacity);
        let endpoint = |(endpoint, sum): (EndpointDigest, EndpointSum)| {
            let utilization = capacity(endpoint).map_or(0.0, |capacity| {
                let load = sum.load + GROUP_COST * mean_load * sum.groups.len() as f64;
                let utilization = load / capacity.max(1.0);
                let crowded = usual.is_exceeded(sum.healthy, capacity);
                if crowded { utilization.max(MIN_REPORTED_UTILIZATION) } else { utilization }
            });
            EndpointSummary { endpoint, utilization, health: sum.verdict() }
        };
        FleetSummary {
            sequence: 0,
            fragment: Fragment::ONLY,
            incomplete,
            report_interval: 0,
            members: self.members,
            totals: self.totals,
            mean_load,
            endpoints: self.endpoints.into_iter().map(endpoint).collect(),
        }
    }
}

/// Proxies that have just set up connections, and the capacity that took them, over all endpoints.
struct SetupDensity {
    proxies: f64,
    capacity: f64,
}

impl SetupDensity {
    fn of(
        endpoints: &BTreeMap<EndpointDigest, EndpointSum>,
        capacity: impl Fn(EndpointDigest) -> Option<f64>,
    ) -> Self {
        SetupDensity {
            proxies: endpoints.values().map(|sum| f64::from(sum.healthy)).sum(),
            capacity: endpoints.keys().filter_map(|endpoint| capacity(*endpoint)).sum(),
        }
    }

    /// Whether this number of proxies is far more than usual for an endpoint of this capacity.
    fn is_exceeded(&self, proxies: u32, capacity: f64) -> bool {
        proxies >= MIN_AGREEING
            && f64::from(proxies) / capacity.max(1.0) > CROWDED * self.proxies / self.capacity.max(1.0)
    }
}

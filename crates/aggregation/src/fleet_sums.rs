//! The sums over all members' reports, the limits for the contribution of a single report, and the resulting fleet summary.

use crate::member_report::MemberReport;
use crate::wire::{
    EndpointDigest, EndpointSummary, FleetSummary, Fragment, HealthVerdict, MIN_REPORTED_UTILIZATION, Totals,
};
use std::collections::{BTreeMap, BTreeSet};

/// Fixed cost of a group at every endpoint that has a connection of the group, in multiples of a connection's mean load. The
/// platform specifies the value; it is not configurable.
pub(crate) const GROUP_COST: f64 = 3.0;
/// Limit for a figure of one report, as a multiple of the 95th percentile over all members. Guards against faulty members: one
/// or two faulty members of 40 do not change the percentile. Clients are never distributed so unevenly that a correct member
/// exceeds the limit.
pub(crate) const MAX_OVER_P95: f64 = 2.0;
/// Connections added to the limit, so that it is above zero where most members have no connections.
pub(crate) const ALLOWED_CONNECTIONS: f64 = 4.0;
/// Events per second added to the limit of a rate, so that it is above zero where most members report none.
const ALLOWED_EVENTS_PER_S: f64 = 0.5;
/// Limit for the mean load of a member's connections, as a multiple of the median over all members.
const MAX_OVER_MEDIAN_LOAD: f64 = 4.0;
/// An endpoint is crowded if the number of proxies that have just set up connections there, per capacity, exceeds the fleet's
/// mean by this factor. The summary reports a crowded endpoint with a utilization of at least 0.4. Otherwise many proxies could
/// choose the same endpoint before the next summary shows its load.
const CROWDED_DENSITY_RATIO: f64 = 1.5;
/// Number of members that must agree on a verdict. A single member may itself be partitioned off.
const MIN_AGREEING_MEMBERS: u32 = 2;

/// Upper limits for the figures of one member's report.
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
        let per_s = |value: fn(&Totals) -> f64| limit(reports, ALLOWED_EVENTS_PER_S, value);
        ReportLimits {
            connections,
            requests_per_s: per_s(|totals| totals.requests_per_s),
            successes_per_s: per_s(|totals| totals.successes_per_s),
            failures_per_s: per_s(|totals| totals.failures_per_s),
            load: MAX_OVER_MEDIAN_LOAD * median_mean_load(reports) * connections,
        }
    }
}

/// Upper limit for the connections of one member's report.
pub(crate) fn max_connections(reports: &BTreeMap<u32, MemberReport>) -> f64 {
    limit(reports, ALLOWED_CONNECTIONS, |totals| f64::from(totals.connections))
}

/// Upper limit for a figure of one member's report.
fn limit(reports: &BTreeMap<u32, MemberReport>, allowance: f64, value: impl Fn(&Totals) -> f64) -> f64 {
    let mut values: Vec<f64> = reports.values().map(|report| value(&report.totals)).collect();
    values.sort_by(f64::total_cmp);
    // The 95th percentile: with 40 members, any value reported by two of them does not affect it.
    let p95 = values.get((values.len() * 19 / 20).saturating_sub(1)).copied().unwrap_or(0.0);
    MAX_OVER_P95 * p95 + allowance
}

fn median_mean_load(reports: &BTreeMap<u32, MemberReport>) -> f64 {
    let mut means: Vec<f64> = reports.values().filter_map(mean_load).collect();
    means.sort_by(f64::total_cmp);
    means.get(means.len() / 2).copied().unwrap_or(0.0)
}

/// Mean load of a member's connections; `None` if the member has no connections.
fn mean_load(report: &MemberReport) -> Option<f64> {
    let load: f64 = report.current_entries().map(|entry| entry.load).sum();
    (report.totals.connections > 0).then(|| load / f64::from(report.totals.connections))
}

/// Sums over all members for one endpoint.
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
            (healthy, unhealthy) if unhealthy >= MIN_AGREEING_MEMBERS && unhealthy > healthy => {
                HealthVerdict::Unhealthy
            }
            (MIN_AGREEING_MEMBERS.., 0) => HealthVerdict::Healthy,
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
    /// Adds up all reports, with each report reduced to the limits.
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

    /// Adds a report's entries. At most `max_groups` groups of a report count, since a member has no more groups than
    /// connections.
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

    /// Mean load of a connection, in microseconds of work per second.
    fn mean_load(&self) -> f64 {
        if self.connections > 0.0 { self.load / self.connections } else { 0.0 }
    }

    /// The summary without the report interval. `capacity` returns the capacity of an endpoint in microseconds of work per
    /// second, or `None` if the endpoint is not listed.
    pub(crate) fn into_summary(
        self,
        incomplete: bool,
        capacity: impl Fn(EndpointDigest) -> Option<f64>,
    ) -> FleetSummary {
        let mean_load = self.mean_load();
        let mean_density = SetupDensity::of(&self.endpoints, &capacity);
        let endpoint = |(endpoint, sum): (EndpointDigest, EndpointSum)| {
            let utilization = capacity(endpoint).map_or(0.0, |capacity| {
                let load = sum.load + GROUP_COST * mean_load * sum.groups.len() as f64;
                let utilization = load / capacity.max(1.0);
                let crowded = mean_density.is_crowded(sum.healthy, capacity);
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

/// The number of proxies that have just set up connections, and the capacity of the endpoints, each summed over all endpoints.
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

    /// Whether this number of proxies makes an endpoint of this capacity crowded.
    fn is_crowded(&self, proxies: u32, capacity: f64) -> bool {
        proxies >= MIN_AGREEING_MEMBERS
            && f64::from(proxies) / capacity.max(1.0)
                > CROWDED_DENSITY_RATIO * self.proxies / self.capacity.max(1.0)
    }
}

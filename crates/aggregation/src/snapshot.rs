//! The last fleet summary that a member received.

use crate::Micros;
use crate::wire::{EndpointDigest, FleetSummary, HealthVerdict, Totals};
use std::collections::BTreeMap;

/// Set-ups a second under which no failure ratio is given.
const MIN_SETUPS_PER_S: f64 = 2.0;

/// What all proxies together have at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUsage {
    /// Load over capacity, what groups cost included; 0 for less than a summary can express.
    pub utilization: f64,
    /// What most of those who know say.
    pub health: HealthVerdict,
}

/// A fleet summary as it was received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When it arrived. Its content is about half a report interval older.
    pub received_at: Micros,
    /// The time that the aggregator wants between two reports.
    pub report_interval: Micros,
    /// Members whose reports are in it.
    pub members: u32,
    /// Mean load of a connection, work in microseconds a second.
    pub mean_load: f64,
    /// Sums over these members.
    pub totals: Totals,
    /// This proxy's own connections, open or wanted, as it last reported them.
    pub own_connections: u32,
    endpoints: BTreeMap<EndpointDigest, EndpointUsage>,
}

impl Snapshot {
    /// Takes one datagram of a summary; the first fragment replaces the endpoints, later ones add to them.
    pub(crate) fn update(&mut self, now: Micros, own_connections: u32, summary: FleetSummary) {
        if summary.fragment.index == 0 {
            self.endpoints.clear();
        }
        self.endpoints.extend(summary.endpoints.into_iter().map(|summed| {
            (summed.endpoint, EndpointUsage { utilization: summed.utilization, health: summed.health })
        }));
        self.received_at = now;
        self.report_interval = summary.report_interval;
        self.members = summary.members;
        self.mean_load = summary.mean_load;
        self.totals = summary.totals;
        self.own_connections = own_connections;
    }

    /// What is known of an endpoint. One that isn't named is utilized by less than
    /// [`crate::wire::MIN_REPORTED_UTILIZATION`]; that counts as 0.
    pub fn endpoint(&self, endpoint: EndpointDigest) -> EndpointUsage {
        let unnamed = EndpointUsage { utilization: 0.0, health: HealthVerdict::Unknown };
        self.endpoints.get(&endpoint).copied().unwrap_or(unnamed)
    }

    /// The endpoints that are named.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointDigest, EndpointUsage)> {
        self.endpoints.iter().map(|(endpoint, usage)| (*endpoint, *usage))
    }

    /// This proxy's share of all connections, 0 to 1.
    pub fn connection_share(&self) -> f64 {
        f64::from(self.own_connections) / f64::from(self.totals.connections.max(self.own_connections).max(1))
    }

    /// The ratio of connection set-ups that failed; 0 where there were too few to tell.
    pub fn setup_failure_ratio(&self) -> f64 {
        let setups = self.totals.successes_per_s + self.totals.failures_per_s;
        if setups < MIN_SETUPS_PER_S { 0.0 } else { self.totals.failures_per_s / setups }
    }
}

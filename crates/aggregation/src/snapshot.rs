//! The last fleet summary that a member received.

use crate::Micros;
use crate::wire::{EndpointDigest, FleetSummary, HealthVerdict, Totals};
use std::collections::BTreeMap;

/// Minimum number of set-ups per second for a meaningful failure ratio.
const MIN_SETUPS_PER_S: f64 = 2.0;

/// Utilization and health of one endpoint, over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUsage {
    /// Load divided by capacity, including the fixed cost of groups; 0 if below the smallest value that a summary can express.
    pub utilization: f64,
    /// The verdict of the majority of the members with evidence.
    pub health: HealthVerdict,
}

/// The content of the last received fleet summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When the summary arrived. The content is about half a report interval older.
    pub received_at: Micros,
    /// The time between two reports that the aggregator asks every member to keep.
    pub report_interval: Micros,
    /// Number of members whose reports are in the summary.
    pub members: u32,
    /// Mean load of a connection, in microseconds of work per second.
    pub mean_load: f64,
    /// Sums over these members.
    pub totals: Totals,
    /// This proxy's own connections, open or wanted, when the summary arrived.
    pub own_connections: u32,
    endpoints: BTreeMap<EndpointDigest, EndpointUsage>,
}

impl Snapshot {
    /// Stores one datagram of a summary. The first fragment replaces the known endpoints; later fragments add to them.
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

    /// Utilization and health of an endpoint. The utilization of an endpoint that the summary leaves out is below
    /// [`crate::wire::MIN_REPORTED_UTILIZATION`] and returned as 0.
    pub fn endpoint(&self, endpoint: EndpointDigest) -> EndpointUsage {
        let unnamed = EndpointUsage { utilization: 0.0, health: HealthVerdict::Unknown };
        self.endpoints.get(&endpoint).copied().unwrap_or(unnamed)
    }

    /// The endpoints that the summary contains.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointDigest, EndpointUsage)> {
        self.endpoints.iter().map(|(endpoint, usage)| (*endpoint, *usage))
    }

    /// This proxy's share of all connections, 0 to 1.
    pub fn connection_share(&self) -> f64 {
        f64::from(self.own_connections) / f64::from(self.totals.connections.max(self.own_connections).max(1))
    }

    /// The share of connection set-ups that failed; 0 if the rate of set-ups is too low for a meaningful ratio.
    pub fn setup_failure_ratio(&self) -> f64 {
        let setups = self.totals.successes_per_s + self.totals.failures_per_s;
        if setups < MIN_SETUPS_PER_S { 0.0 } else { self.totals.failures_per_s / setups }
    }
}

//! What a member was told last.

use crate::Micros;
use crate::wire::{EndpointDigest, FleetSummary, HealthVerdict, Totals};
use std::collections::BTreeMap;

/// Of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUsage {
    /// Load over size, of all proxies together, what groups cost included; 0 for less than can be told.
    pub utilization: f64,
    /// What they met there.
    pub health: HealthVerdict,
}

/// A table as it was taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When it came. What is in it is about half a period older.
    pub received_at: Micros,
    /// What the aggregator wants between two reports.
    pub report_interval: Micros,
    /// How many proxies' reports are in it.
    pub members: u32,
    /// Mean load of a connection, work in microseconds a second.
    pub mean_load: f64,
    /// Sums over these.
    pub totals: Totals,
    /// This proxy's own connections, open or wanted, as it last reported them.
    pub own_connections: u32,
    nodes: BTreeMap<EndpointDigest, EndpointUsage>,
}

impl Snapshot {
    pub(crate) fn take(&mut self, now: Micros, own_connections: u32, table: FleetSummary) {
        let nodes = table
            .nodes
            .into_iter()
            .map(|(node, used, health)| (node, EndpointUsage { utilization: used, health }));
        if table.part.0 == 0 {
            self.nodes = nodes.collect();
        } else {
            self.nodes.extend(nodes);
        }
        (self.received_at, self.report_interval, self.mean_load) = (now, table.period, table.mean_load);
        (self.members, self.totals) = (table.members, table.totals);
        self.own_connections = own_connections;
    }

    /// What was told of a endpoint. One that isn't named is used by less than [`crate::wire::MIN_REPORTED_UTILIZATION`]; that counts as 0.
    pub fn endpoint(&self, node: EndpointDigest) -> EndpointUsage {
        self.nodes
            .get(&node)
            .copied()
            .unwrap_or(EndpointUsage { utilization: 0.0, health: HealthVerdict::Unknown })
    }

    /// Those that are named.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointDigest, EndpointUsage)> {
        self.nodes.iter().map(|(node, told)| (*node, *told))
    }

    /// This proxy's part of all connections, 0 to 1.
    pub fn connection_share(&self) -> f64 {
        f64::from(self.own_connections) / f64::from(self.totals.connections.max(self.own_connections).max(1))
    }

    /// Part of the set-ups that failed; 0 where there were too few to say.
    pub fn setup_failure_ratio(&self) -> f64 {
        let all = self.totals.successes_per_s + self.totals.failures_per_s;
        if all < FEW { 0.0 } else { self.totals.failures_per_s / all }
    }
}

/// Set-ups a second under which nothing is said of how many fail.
const FEW: f64 = 2.0;

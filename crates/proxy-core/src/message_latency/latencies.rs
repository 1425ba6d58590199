//! Message latencies of all render nodes: the state of each node and the reports that are due.

use super::connections::{Connection, Connections, NodeConnections};
use super::utilisation::{Evidence, FleetUtilisation, Utilisation};
use crate::peer_loads::{EstablishedLoad, PeerLoads, group_bit, group_count};
use cottonnotch_aggregation::GroupLoad;
use cottonnotch_decision::{Micros, RequestId, ServerId, Settings, WeightMeaning};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two rounds of latency reports, in microseconds.
pub const REPORT_INTERVAL: Micros = 1_000_000;
/// Time for which a measured round trip is valid, in microseconds. Clients send a line every 2 s.
const MEASUREMENT_VALID: Micros = 4_000_000;
/// Time for which an advertised latency is valid, in microseconds. A render node over the threshold advertises its latency once
/// a second; the rest allows for delays.
const ADVERTISED_VALID: Micros = 1_200_000;
/// Capacity of a core of standard speed, which has a listed size of 1, in microseconds of work per second.
const CORE_CAPACITY: f64 = 1e6;
/// Load that a group adds to each render node that serves any of its connections, in mean connection loads. The figure is given
/// by the platform; there is no setting for it.
const GROUP_COST: f64 = 3.0;
/// Weight of this proxy's own load at a render node, against its mean load, in the estimate of the other proxies' load there. It
/// is under 1 since the proxy's few connections are a small sample.
const OWN_SAMPLE_WEIGHT: f64 = 0.4;
/// Number of prior connections, distributed by size, that are added to a group's real connections to estimate how the group is
/// distributed over its render nodes.
const PRIOR_CONNECTIONS: f64 = 5.0;
/// Factor by which the weight of a render node's past set-ups decreases at each new set-up.
const SETUP_DECAY: f64 = 0.85;
/// Factor by which the weight of the fleet's past set-ups decreases at each new set-up.
const FLEET_SETUP_DECAY: f64 = 0.98;
/// Number of prior set-ups of the usual duration that are added to the observed ones, since a single set-up is a weak sample.
const PRIOR_SETUPS: f64 = 3.0;
/// Minimum set-up time, in microseconds. Shorter set-ups count as this long.
const MIN_SETUP: Micros = 1_000;
/// Exponent with which the ratio of a render node's set-up time to the usual one reduces its capacity. It is over 1 since a
/// set-up also waits for the session store, which takes the same time for every node.
const SETUP_EXPONENT: f64 = 4.0;
/// Minimum number of this proxy's connections per render node for an estimate of the other proxies' load. Otherwise each of 300
/// proxies with a single connection to a node would assume that all the others have one too, and all would move their clients
/// at once (in scenario calm day: 227 moves of 1,169 clients in the first second).
const LEAST_SAMPLE: f64 = 1.0;
/// Reported fraction of the other proxies' load from which [`LEAST_SAMPLE`] is not required.
const MIN_REPORTED_FRACTION: f64 = 0.5;
/// Minimum size of a render node. Smaller listed sizes count as this size.
const MIN_WEIGHT: f64 = 0.01;

/// The settings that the estimates use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencySettings {
    /// Number of proxies.
    pub proxies: u32,
    /// The shortest latency objective of a message, in microseconds. `None` disables the reports.
    pub objective: Option<Micros>,
    /// Whether the weights in lists state sizes, so that loads can be compared with capacities.
    pub sizes_are_listed: bool,
}

impl From<&Settings> for LatencySettings {
    fn from(settings: &Settings) -> Self {
        LatencySettings {
            proxies: settings.nodes,
            objective: settings.shortest_message_objective(),
            sizes_are_listed: settings.weights == WeightMeaning::Size,
        }
    }
}

/// An average with exponential decay, as a weighted sum and the sum of the weights.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingAverage {
    sum: f64,
    count: f64,
}

impl DecayingAverage {
    fn add(&mut self, value: f64, decay: f64) {
        self.sum = self.sum * decay + value;
        self.count = self.count * decay + 1.0;
    }
}

/// A latency and the time at which it was measured or advertised.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Micros,
    latency: Micros,
}

impl Sample {
    fn is_valid(self, now: Micros, valid: Micros) -> bool {
        now - self.at < valid
    }
}

/// The state of one render node.
#[derive(Debug)]
struct NodeState {
    weight: f64,
    /// Average of the logarithms of set-up times in microseconds.
    setups: DecayingAverage,
    measured: Option<Sample>,
    advertised: Option<Sample>,
    /// Whether the last report was over the threshold, so that another report is due when the latency is back under it.
    is_over: bool,
}

/// A latency report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyReport {
    /// The render node.
    pub server: ServerId,
    /// The message latency at the render node, in microseconds.
    pub latency: Micros,
}

/// Advertised, measured and estimated message latencies of all render nodes.
#[derive(Debug)]
pub struct MessageLatencies {
    proxies: f64,
    /// The shortest latency objective in microseconds.
    objective: Option<f64>,
    sizes_are_listed: bool,
    nodes: BTreeMap<u32, NodeState>,
    connections: Connections,
    /// Set-up times over all render nodes.
    setups: DecayingAverage,
    /// The loads reported by the other proxies.
    pub peers: PeerLoads,
    /// The utilisation by all proxies together, as reported by the aggregator.
    pub fleet: Option<FleetUtilisation>,
    /// Whether any render node has advertised a latency. If so, a node that sends none on a connection of this proxy has a latency
    /// under the threshold.
    any_advertised: bool,
}

impl MessageLatencies {
    /// Creates an instance without render nodes and connections.
    pub fn new(settings: LatencySettings) -> Self {
        let mut latencies = MessageLatencies {
            proxies: 1.0,
            objective: None,
            sizes_are_listed: false,
            nodes: BTreeMap::new(),
            connections: Connections::default(),
            setups: DecayingAverage::default(),
            peers: PeerLoads::default(),
            fleet: None,
            any_advertised: false,
        };
        latencies.configure(settings);
        latencies
    }

    /// Applies changed settings.
    pub fn configure(&mut self, settings: LatencySettings) {
        self.proxies = f64::from(settings.proxies.max(1));
        self.objective = settings.objective.map(|objective| objective as f64);
        self.sizes_are_listed = settings.sizes_are_listed;
    }

    /// Records a render node and its size from a list.
    pub fn endpoint_listed(&mut self, server: ServerId, weight: f64) {
        let unseen = NodeState {
            weight,
            setups: DecayingAverage::default(),
            measured: None,
            advertised: None,
            is_over: false,
        };
        self.nodes.entry(server.0).or_insert(unseen).weight = weight.max(MIN_WEIGHT);
    }

    /// Forgets the set-up times and the advertised latency of a render node whose process has restarted.
    pub fn process_restarted(&mut self, server: ServerId) {
        if let Some(node) = self.nodes.get_mut(&server.0) {
            (node.setups, node.advertised) = (DecayingAverage::default(), None);
        }
    }

    /// Records an established connection. `setup` is the duration of its set-up, in microseconds.
    pub fn connection_opened(
        &mut self,
        now: Micros,
        request: RequestId,
        server: ServerId,
        group: Option<u64>,
        setup: Option<Micros>,
    ) {
        self.connections.insert(request, Connection { server, group, load: None, since: now });
        if let (Some(setup), Some(node)) = (setup, self.nodes.get_mut(&server.0)) {
            let time = (setup.max(MIN_SETUP) as f64).ln();
            node.setups.add(time, SETUP_DECAY);
            self.setups.add(time, FLEET_SETUP_DECAY);
        }
    }

    /// Records a changed load of a connection, in microseconds of work per second.
    pub fn load_changed(&mut self, request: RequestId, load: f64) {
        if let Some(connection) = self.connections.get_mut(request) {
            connection.load = Some(load.max(0.0));
        }
    }

    /// Records the round trip of a client's line: the time until its answer, or the time it has waited so far.
    pub fn round_trip_measured(&mut self, now: Micros, server: ServerId, latency: Micros) {
        if let Some(node) = self.nodes.get_mut(&server.0) {
            node.measured = Some(Sample { at: now, latency });
        }
    }

    /// Records a latency advertised by a render node. Returns the report, which is due at once.
    pub fn latency_advertised(
        &mut self,
        now: Micros,
        server: ServerId,
        latency: Micros,
    ) -> Option<LatencyReport> {
        self.any_advertised = true;
        let node = self.nodes.get_mut(&server.0)?;
        node.advertised = Some(Sample { at: now, latency });
        node.is_over = self.objective.is_some_and(|objective| is_over(latency, objective));
        Some(LatencyReport { server, latency })
    }

    /// Removes a closed connection. Has no effect if the connection was not established.
    pub fn connection_closed(&mut self, request: RequestId) {
        self.connections.remove(request);
    }

    /// Returns the reports that are due. To be called once every [`REPORT_INTERVAL`].
    pub fn due_reports(&mut self, now: Micros) -> Vec<LatencyReport> {
        let Some(objective) = self.objective else { return Vec::new() };
        let mut reports = Vec::new();
        let silent = self.silent_nodes(now);
        for (number, utilisation) in self.utilisations(now) {
            let Some(node) = self.nodes.get_mut(&number) else { continue };
            if node.advertised.is_some_and(|sample| sample.is_valid(now, ADVERTISED_VALID)) {
                continue;
            }
            let measured = node.measured.filter(|sample| sample.is_valid(now, MEASUREMENT_VALID));
            let measured = measured.map_or(0, |sample| sample.latency);
            let estimate = if silent.contains(&number) { 0 } else { utilisation.message_latency(objective) };
            let latency = measured.max(estimate);
            let is_over = is_over(latency, objective);
            if is_over || node.is_over {
                reports.push(LatencyReport { server: ServerId(number), latency });
            }
            node.is_over = is_over;
        }
        reports
    }

    /// Returns the number of connections and their load by render node, which is reported to the other proxies.
    pub fn established(&self) -> BTreeMap<ServerId, (u32, EstablishedLoad)> {
        self.connections.established()
    }

    /// Returns the load and a one-byte digest of each group, by render node. A connection whose load is unknown counts with the
    /// fleet's mean, if known: a proxy with three connections has too small a sample of its own, and new connections would count
    /// as no load.
    pub fn established_by_group(&self, now: Micros) -> BTreeMap<ServerId, (f64, Vec<u8>)> {
        self.connections.established_by_group(self.usual_load(now))
    }

    /// Returns this proxy's connections and load of each group. A connection whose load is unknown counts with the mean. The time
    /// is proportional to the number of connections.
    pub fn load_by_group(&self, now: Micros) -> Vec<GroupLoad> {
        self.connections.load_by_group(self.usual_load(now))
    }

    /// Returns the listed render nodes' capacities, in microseconds of work per second. Empty if lists have no sizes.
    pub fn capacities(&self) -> impl Iterator<Item = (ServerId, f64)> + '_ {
        let sized = self.nodes.iter().filter(|_| self.sizes_are_listed);
        sized.map(|(number, node)| (ServerId(*number), node.weight * CORE_CAPACITY))
    }

    /// Returns the fleet's mean load of a connection, or this proxy's mean if no valid one was reported.
    fn usual_load(&self, now: Micros) -> f64 {
        let fleet = self.fleet.as_ref().filter(|fleet| fleet.is_valid(now));
        fleet.and_then(FleetUtilisation::mean_load).unwrap_or_else(|| self.connections.mean_load())
    }

    /// Returns render nodes with a connection of this proxy that is old enough to have received an advertised latency. Empty if no
    /// node advertises latencies.
    fn silent_nodes(&self, now: Micros) -> BTreeSet<u32> {
        let is_old =
            |connection: &&Connection| self.any_advertised && now - connection.since > ADVERTISED_VALID;
        self.connections.iter().filter(is_old).map(|connection| connection.server.0).collect()
    }

    /// Estimates the utilisation of all listed render nodes from a valid aggregator's report or, without one, of the render nodes
    /// that serve a connection of this proxy.
    fn utilisations(&self, now: Micros) -> BTreeMap<u32, Utilisation> {
        match self.fleet.as_ref().filter(|fleet| fleet.is_valid(now)) {
            Some(fleet) => self.nodes.keys().map(|number| (*number, fleet.of(ServerId(*number)))).collect(),
            None => self.estimated_utilisations(now),
        }
    }

    fn estimated_utilisations(&self, now: Micros) -> BTreeMap<u32, Utilisation> {
        let mean = self.connections.mean_load();
        let sums = self.connections.sums(mean);
        let estimate = |(number, own): (u32, NodeConnections)| {
            let spreads = own.groups.iter().filter_map(|group| sums.by_group.get(group));
            // The expected number of this proxy's connections here, if its groups were distributed by size.
            let expected: f64 =
                spreads.map(|spread| self.expected_connections(number, spread)).sum::<f64>() + own.ungrouped;
            (number, self.estimate(now, number, &own, expected, mean))
        };
        sums.by_server.into_iter().map(estimate).collect()
    }

    /// Estimates one render node's utilisation from this proxy's connections to the node and the peers' reports.
    fn estimate(
        &self,
        now: Micros,
        number: u32,
        own: &NodeConnections,
        expected: f64,
        mean: f64,
    ) -> Utilisation {
        let guess = OWN_SAMPLE_WEIGHT * own.load + (1.0 - OWN_SAMPLE_WEIGHT) * expected * mean;
        let others = self.peers.others(now, ServerId(number), self.proxies - 1.0, guess);
        let own_groups = own.groups.iter().fold(0, |bits, group| bits | group_bit(*group));
        // Groups that only other proxies have there cost as much; the bits give their approximate number.
        let other_groups = (group_count(own_groups | others.groups) - group_count(own_groups)).max(0.0);
        let groups = GROUP_COST * mean * (own.groups.len() as f64 + other_groups);
        let load = own.load + others.load + groups;
        let is_known = self.has_enough_connections() || others.reported >= MIN_REPORTED_FRACTION;
        let ratio = if self.sizes_are_listed && is_known { load / self.capacity(number) } else { 0.0 };
        Utilisation { ratio, evidence: Evidence::Peers { reported: others.reported } }
    }

    /// Whether this proxy has enough connections to be a sample of the fleet's.
    fn has_enough_connections(&self) -> bool {
        self.connections.len() as f64 >= LEAST_SAMPLE * self.nodes.len() as f64
    }

    /// Returns the expected number of a group's connections at a render node; `spread` has this proxy's connections of the group, by
    /// render node.
    fn expected_connections(&self, number: u32, spread: &BTreeMap<u32, f64>) -> f64 {
        let total: f64 = spread.values().sum();
        let listed_size = |number: u32| self.nodes.get(&number).map_or(1.0, |node| node.weight);
        let size = |number: u32| if self.sizes_are_listed { listed_size(number) } else { 1.0 };
        let sizes: f64 = spread.keys().map(|number| size(*number)).sum();
        let here = spread.get(&number).copied().unwrap_or(0.0);
        total * (here + PRIOR_CONNECTIONS * size(number) / sizes) / (total + PRIOR_CONNECTIONS)
    }

    /// Returns a render node's capacity in microseconds of work per second: its listed size, reduced if its set-ups take longer than
    /// usual.
    fn capacity(&self, number: u32) -> f64 {
        let Some(node) = self.nodes.get(&number) else { return CORE_CAPACITY };
        let usual = self.setups.sum / self.setups.count.max(1e-9);
        let log_excess = (node.setups.sum - usual * node.setups.count) / (node.setups.count + PRIOR_SETUPS);
        node.weight * CORE_CAPACITY / (log_excess.max(0.0) * SETUP_EXPONENT).exp()
    }
}

/// Whether a latency is over the report threshold, which is a third of the objective.
fn is_over(latency: Micros, objective: f64) -> bool {
    latency as f64 > objective / 3.0
}

#[cfg(test)]
#[path = "latencies_tests.rs"]
mod tests;

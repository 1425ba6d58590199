//! Message latencies of all render nodes: what is known of each, and the reports that are due.

use super::connections::{Connection, Connections, NodeConnections};
use super::utilisation::{Evidence, FleetUtilisation, Utilisation};
use crate::peer_loads::{EstablishedLoad, PeerLoads, group_bit, group_count};
use cottonnotch_aggregation::GroupLoad;
use cottonnotch_decision::{Micros, RequestId, ServerId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// Between two rounds of latency reports, in microseconds.
pub const REPORT_INTERVAL: Micros = 1_000_000;
/// A measured round trip counts for this long: clients send a line every 2 s.
const MEASUREMENT_VALID: Micros = 4_000_000;
/// A render node advertises its latency once a second, while there is one to advertise; with some lateness.
const ADVERTISED_VALID: Micros = 1_200_000;
/// What a core of standard speed, a listed size of 1, does: work in microseconds a second.
const WORK_OF_A_CORE: f64 = 1e6;
/// Load that each group adds to each render node which serves any of it, in mean connection loads: the platform's figure,
/// which no setting carries.
const GROUP_COST: f64 = 3.0;
/// How far the other proxies' connections are taken to be as heavy as this one's there, and not as the mean: its few are a
/// small sample.
const OWN_SAMPLE_WEIGHT: f64 = 0.4;
/// A group's spread over its render nodes is taken from this many imagined connections by size, besides the real ones.
const PRIOR_CONNECTIONS: f64 = 5.0;
/// Weight of the past at each set-up of a render node, and of the whole fleet.
const SETUP_MEMORY: f64 = 0.85;
const FLEET_SETUP_MEMORY: f64 = 0.98;
/// So many usual set-ups are imagined beside those seen, since a single one says little.
const PRIOR_SETUPS: f64 = 3.0;
/// A set-up is at least this long, in microseconds: shorter ones are not told apart.
const SHORTEST_SETUP: Micros = 1_000;
/// How much smaller a render node is taken to be for set-ups that are longer than usual: the power of their ratio, found by
/// trials. A set-up also waits for the session store, which is the same everywhere.
const SETUP_POWER: f64 = 4.0;
/// A guess at the other proxies' load needs so many connections of this one for each render node. Guards against 300 proxies
/// that each take their one connection here for one of 300 alike, and move their clients all at once (calm day: 227 moves in
/// the first second of 1,169 clients).
const LEAST_SAMPLE: f64 = 1.0;
/// ... unless as large a fraction of it was reported.
const ENOUGH_REPORTED: f64 = 0.5;
/// A listed size is taken to be at least this.
const LEAST_WEIGHT: f64 = 0.01;

/// What estimates need of the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencySettings {
    /// How many proxies there are by the settings.
    pub proxies: u32,
    /// The shortest latency objective of a message, in microseconds; without one nothing is reported.
    pub objective: Option<Micros>,
    /// Whether lists carry sizes, so that loads can be compared with capacities.
    pub sizes_are_listed: bool,
}

impl From<&Settings> for LatencySettings {
    fn from(settings: &Settings) -> Self {
        LatencySettings {
            proxies: settings.nodes,
            objective: settings.shortest_message_objective(),
            sizes_are_listed: settings.weighted,
        }
    }
}

/// An average with exponential forgetting: the weighted sum, and the weight of what went into it.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingAverage {
    sum: f64,
    count: f64,
}

impl DecayingAverage {
    fn add(&mut self, value: f64, memory: f64) {
        self.sum = self.sum * memory + value;
        self.count = self.count * memory + 1.0;
    }
}

/// A latency, and when it was learned.
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

/// What is known of one render node.
#[derive(Debug)]
struct NodeState {
    weight: f64,
    /// Logarithms of set-up times in microseconds.
    setups: DecayingAverage,
    measured: Option<Sample>,
    advertised: Option<Sample>,
    /// The last report was over the threshold, so that one more is due when it is back under.
    is_over: bool,
}

/// A latency report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyReport {
    /// The render node.
    pub server: ServerId,
    /// The time that a message takes there, in microseconds.
    pub latency: Micros,
}

/// Message latencies of all render nodes, as far as this proxy can know them.
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
    /// The loads that the other proxies report.
    pub peers: PeerLoads,
    /// The load of all proxies together, as the aggregator reports it.
    pub fleet: Option<FleetUtilisation>,
    /// Render nodes advertise their latencies: one that is silent to a connection of this proxy has none.
    any_advertised: bool,
}

impl MessageLatencies {
    /// With no render node and no connection yet.
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

    /// A list names a render node and its size.
    pub fn endpoint_listed(&mut self, server: ServerId, weight: f64) {
        let unseen = NodeState {
            weight,
            setups: DecayingAverage::default(),
            measured: None,
            advertised: None,
            is_over: false,
        };
        self.nodes.entry(server.0).or_insert(unseen).weight = weight.max(LEAST_WEIGHT);
    }

    /// A render node's process has restarted: what the old one showed is forgotten.
    pub fn process_restarted(&mut self, server: ServerId) {
        if let Some(node) = self.nodes.get_mut(&server.0) {
            (node.setups, node.advertised) = (DecayingAverage::default(), None);
        }
    }

    /// A connection is established; `setup` is how long that took, in microseconds.
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
            let time = (setup.max(SHORTEST_SETUP) as f64).ln();
            node.setups.add(time, SETUP_MEMORY);
            self.setups.add(time, FLEET_SETUP_MEMORY);
        }
    }

    /// A connection's load has changed, in microseconds of work a second.
    pub fn load_changed(&mut self, request: RequestId, load: f64) {
        if let Some(connection) = self.connections.get_mut(request) {
            connection.load = Some(load.max(0.0));
        }
    }

    /// A client's line was answered after this long, or has waited so long by now.
    pub fn round_trip_measured(&mut self, now: Micros, server: ServerId, latency: Micros) {
        if let Some(node) = self.nodes.get_mut(&server.0) {
            node.measured = Some(Sample { at: now, latency });
        }
    }

    /// A render node has advertised how long a message takes there. The report is due at once.
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

    /// A connection is closed, if it was established.
    pub fn connection_closed(&mut self, request: RequestId) {
        self.connections.remove(request);
    }

    /// The reports that are due, once every [`REPORT_INTERVAL`].
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

    /// Connections and their load by render node, for the other proxies.
    pub fn established(&self) -> BTreeMap<ServerId, (u32, EstablishedLoad)> {
        self.connections.established()
    }

    /// Load and a one-byte digest of each group, by render node. A connection whose load is unknown counts with the fleet's
    /// mean, if that is known: where a proxy has three, its own say nothing, and new ones would weigh nothing.
    pub fn established_by_group(&self, now: Micros) -> BTreeMap<ServerId, (f64, Vec<u8>)> {
        self.connections.established_by_group(self.usual_load(now))
    }

    /// This proxy's connections and load of each group; a connection whose load is unknown counts with the mean. Takes time
    /// in proportion to the connections.
    pub fn load_by_group(&self, now: Micros) -> Vec<GroupLoad> {
        self.connections.load_by_group(self.usual_load(now))
    }

    /// The listed render nodes' capacities, in microseconds of work a second; none where sizes are not listed.
    pub fn capacities(&self) -> impl Iterator<Item = (ServerId, f64)> + '_ {
        let sized = self.nodes.iter().filter(|_| self.sizes_are_listed);
        sized.map(|(number, node)| (ServerId(*number), node.weight * WORK_OF_A_CORE))
    }

    /// The fleet's mean load of a connection, or this proxy's where none was reported.
    fn usual_load(&self, now: Micros) -> f64 {
        let fleet = self.fleet.as_ref().filter(|fleet| fleet.is_valid(now));
        fleet.and_then(FleetUtilisation::mean_load).unwrap_or_else(|| self.connections.mean_load())
    }

    /// Render nodes with a connection of this proxy that is old enough to have been sent a latency, if there were one.
    fn silent_nodes(&self, now: Micros) -> BTreeSet<u32> {
        let is_old =
            |connection: &&Connection| self.any_advertised && now - connection.since > ADVERTISED_VALID;
        self.connections.iter().filter(is_old).map(|connection| connection.server.0).collect()
    }

    /// Estimated utilisation: of each listed render node by the aggregator's report, or else of each that serves a connection
    /// of this proxy.
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
            // Connections of this proxy that one would expect here: those of its groups, spread by size.
            let expected: f64 =
                spreads.map(|spread| self.expected_connections(number, spread)).sum::<f64>() + own.ungrouped;
            (number, self.estimate(now, number, &own, expected, mean))
        };
        sums.by_server.into_iter().map(estimate).collect()
    }

    /// Estimates one render node from this proxy's connections there and the peers' reports.
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
        // Groups that only the others serve there cost as much; the bits say how many, roughly.
        let only_theirs = (group_count(own_groups | others.groups) - group_count(own_groups)).max(0.0);
        let groups = GROUP_COST * mean * (own.groups.len() as f64 + only_theirs);
        let load = own.load + others.load + groups;
        let is_known = self.has_enough_connections() || others.reported >= ENOUGH_REPORTED;
        let ratio = if self.sizes_are_listed && is_known { load / self.capacity(number) } else { 0.0 };
        Utilisation { ratio, evidence: Evidence::Peers { reported: others.reported } }
    }

    /// Whether this proxy's connections are a sample of the fleet's.
    fn has_enough_connections(&self) -> bool {
        self.connections.len() as f64 >= LEAST_SAMPLE * self.nodes.len() as f64
    }

    /// A group's connections that one would expect at a render node, of those that this proxy has by render node.
    fn expected_connections(&self, number: u32, spread: &BTreeMap<u32, f64>) -> f64 {
        let total: f64 = spread.values().sum();
        let weight = |number: u32| self.nodes.get(&number).map_or(1.0, |node| node.weight);
        let weights: f64 = spread.keys().map(|number| weight(*number)).sum();
        let here = spread.get(&number).copied().unwrap_or(0.0);
        total * (here + PRIOR_CONNECTIONS * weight(number) / weights) / (total + PRIOR_CONNECTIONS)
    }

    /// A render node's capacity in microseconds of work a second: its listed size, less for set-ups that take longer than
    /// usual.
    fn capacity(&self, number: u32) -> f64 {
        let Some(node) = self.nodes.get(&number) else { return WORK_OF_A_CORE };
        let usual = self.setups.sum / self.setups.count.max(1e-9);
        let longer = (node.setups.sum - usual * node.setups.count) / (node.setups.count + PRIOR_SETUPS);
        node.weight * WORK_OF_A_CORE / (longer.max(0.0) * SETUP_POWER).exp()
    }
}

/// Whether a latency is over the threshold of reports, a third of the objective.
fn is_over(latency: Micros, objective: f64) -> bool {
    latency as f64 > objective / 3.0
}

#[cfg(test)]
#[path = "latencies_tests.rs"]
mod tests;

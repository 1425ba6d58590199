//! This proxy's established connections and sums over them. Memory use is proportional to the number of connections.

use crate::peer_loads::{EstablishedLoad, group_bit, group_hash};
use cottonnotch_aggregation::GroupLoad;
use cottonnotch_decision::{Micros, RequestId, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Shift that leaves the highest byte of a group's hash, which is the group's digest.
const DIGEST_SHIFT: u32 = u64::BITS - u8::BITS;

/// One established connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// The render node that serves the connection.
    pub server: ServerId,
    /// The connection's group, if it has one and groups are taken into account.
    pub group: Option<u64>,
    /// The load in microseconds of work per second. `None` if the render node has not advertised a load.
    pub load: Option<f64>,
    /// When the connection was established.
    pub since: Micros,
}

/// Sums over this proxy's connections to one render node.
#[derive(Debug, Default)]
pub(super) struct NodeConnections {
    /// Sum of the loads, in microseconds of work per second.
    pub load: f64,
    /// Number of connections without a group.
    pub ungrouped: f64,
    /// The groups of the other connections.
    pub groups: BTreeSet<u64>,
}

/// Sums over all connections, from which each render node's utilisation is estimated.
#[derive(Debug, Default)]
pub(super) struct ConnectionSums {
    /// Sums by the render node's number.
    pub by_server: BTreeMap<u32, NodeConnections>,
    /// Number of connections by group, then by the render node's number.
    pub by_group: BTreeMap<u64, BTreeMap<u32, f64>>,
}

/// This proxy's established connections, by request.
#[derive(Debug, Default)]
pub(super) struct Connections(BTreeMap<RequestId, Connection>);

impl Connections {
    pub fn insert(&mut self, request: RequestId, connection: Connection) {
        self.0.insert(request, connection);
    }

    pub fn remove(&mut self, request: RequestId) {
        self.0.remove(&request);
    }

    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut Connection> {
        self.0.get_mut(&request)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Connection> {
        self.0.values()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the mean load of the connections whose load is known, or 0 if no load is known.
    pub fn mean_load(&self) -> f64 {
        let loads = self.iter().filter_map(|connection| connection.load);
        let (sum, count) = loads.fold((0.0, 0.0), |(sum, count), load| (sum + load, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the number of connections and their load, by render node. A connection whose load is unknown counts with the mean.
    pub fn established(&self) -> BTreeMap<ServerId, (u32, EstablishedLoad)> {
        let mean = self.mean_load();
        let mut all: BTreeMap<ServerId, (u32, EstablishedLoad)> = BTreeMap::new();
        for connection in self.iter() {
            let (count, established) = all.entry(connection.server).or_default();
            *count += 1;
            established.load += connection.load.unwrap_or(mean);
            established.groups |= connection.group.map_or(0, group_bit);
        }
        all
    }

    /// Returns the load and a one-byte digest of each group, by render node. A connection whose load is unknown counts with `usual_load`.
    pub fn established_by_group(&self, usual_load: f64) -> BTreeMap<ServerId, (f64, Vec<u8>)> {
        let mut all: BTreeMap<ServerId, (f64, Vec<u8>)> = BTreeMap::new();
        for connection in self.iter() {
            let (load, digests) = all.entry(connection.server).or_default();
            *load += connection.load.unwrap_or(usual_load);
            let digest = connection.group.map(|group| (group_hash(group) >> DIGEST_SHIFT) as u8);
            digests.extend(digest.filter(|digest| !digests.contains(digest)));
        }
        all
    }

    /// Returns the number of connections and the load of each group, in no particular order. A connection whose load is unknown counts with `usual_load`.
    pub fn load_by_group(&self, usual_load: f64) -> Vec<GroupLoad> {
        let mut all: HashMap<u64, GroupLoad> = HashMap::new();
        for connection in self.iter() {
            let Some(group) = connection.group else { continue };
            let sum = all.entry(group).or_insert(GroupLoad { group, connections: 0, load: 0.0 });
            sum.connections += 1;
            sum.load += connection.load.unwrap_or(usual_load);
        }
        all.into_values().collect()
    }

    /// Returns sums by render node and by group. A connection whose load is unknown counts with `mean_load`.
    pub fn sums(&self, mean_load: f64) -> ConnectionSums {
        let mut sums = ConnectionSums::default();
        for connection in self.iter() {
            let number = connection.server.0;
            let node = sums.by_server.entry(number).or_default();
            node.load += connection.load.unwrap_or(mean_load);
            match connection.group {
                Some(group) => {
                    node.groups.insert(group);
                    *sums.by_group.entry(group).or_default().entry(number).or_default() += 1.0;
                }
                None => node.ungrouped += 1.0,
            }
        }
        sums
    }
}

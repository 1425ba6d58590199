//! The synthetic connections of a hollow proxy: drawn from its seed, set up after a fixed time, none ever fails.

use crate::nodes::Nodes;
use crate::shape::{SUBSET_SIZE, Shape, mixed};
use cottonnotch_decision::{ClassId, Micros, Request, RequestId, ServerId};
use cottonnotch_proxy_core::REPORT_INTERVAL;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Load (work in microseconds a second) and groups of connections by node, by the shape's numbers.
pub type NodeLoads = BTreeMap<u32, (f64, BTreeSet<u32>)>;

/// An established connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenConnection {
    pub request: RequestId,
    pub server: ServerId,
    pub group: u32,
}

/// A request that the decision module has not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub group: u32,
    attempts: u32,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A client that connects.
    Client,
    /// A connection that the decision module migrates.
    Migration,
}

/// Established connections and pending requests, and the random draws behind them.
pub(crate) struct SyntheticConnections {
    shape: Shape,
    ordinal: u32,
    deadline: Option<Micros>,
    rng: ChaCha8Rng,
    open: Vec<OpenConnection>,
    pending: BTreeMap<RequestId, PendingRequest>,
    last_request: u64,
}

impl SyntheticConnections {
    /// No connections yet. Requests of all members and incarnations have different identifiers.
    pub fn new(shape: Shape, ordinal: u32, incarnation: u64, seed: u64, deadline: Option<Micros>) -> Self {
        SyntheticConnections {
            shape,
            ordinal,
            deadline,
            rng: ChaCha8Rng::seed_from_u64(seed),
            open: Vec::new(),
            pending: BTreeMap::new(),
            last_request: u64::from(ordinal) << 40 | (incarnation & 0xff_ffff) << 16,
        }
    }

    /// Draws the phase of the member's ticks: not all members of a joint start tick in one instant.
    pub fn draw_tick_phase(&mut self) -> Micros {
        self.rng.random_range(0..REPORT_INTERVAL)
    }

    /// Draws a group.
    pub fn draw_group(&mut self) -> u32 {
        self.rng.random_range(0..self.shape.groups())
    }

    /// Draws one of the group's nodes.
    pub fn draw_node(&mut self, group: u32) -> u32 {
        let place = self.rng.random_range(0..SUBSET_SIZE);
        self.shape.subset_node(group, place)
    }

    /// Draws the time to the next arrival; `None`: nothing arrives.
    pub fn draw_time_to_arrival(&mut self) -> Option<Micros> {
        if self.shape.setups <= 0.0 {
            return None;
        }
        // Open load: exponential times between two arrivals, whatever became of the last one.
        let unit: f64 = self.rng.random_range(1e-9..1.0);
        Some((-unit.ln() / self.shape.setups * 1e6) as Micros)
    }

    /// A new request of a group.
    pub fn new_request(&mut self, group: u32, origin: RequestOrigin) -> Request {
        self.last_request += 1;
        Request {
            id: RequestId(self.last_request),
            class: ClassId(0),
            tenant: None,
            left: self.deadline,
            load_hint: None,
            group: Some(group_digest(group)),
            again: origin == RequestOrigin::Migration,
        }
    }

    /// A new request of a group that waits for the decision module.
    pub fn new_pending_request(&mut self, group: u32, origin: RequestOrigin) -> Request {
        let request = self.new_request(group, origin);
        self.pending.insert(request.id, PendingRequest { group, attempts: 0 });
        request
    }

    /// Counts an attempt of a pending request; its number, from 0.
    pub fn next_attempt(&mut self, request: RequestId) -> Option<u32> {
        let pending = self.pending.get_mut(&request)?;
        let attempt = pending.attempts;
        pending.attempts += 1;
        Some(attempt)
    }

    /// Removes a pending request.
    pub fn take_pending(&mut self, request: RequestId) -> Option<PendingRequest> {
        self.pending.remove(&request)
    }

    /// Adds an established connection; its load, work in microseconds a second.
    pub fn add_open(&mut self, connection: OpenConnection) -> f64 {
        self.open.push(connection);
        self.load(connection.request)
    }

    /// Removes an established connection.
    pub fn take_open(&mut self, request: RequestId) -> Option<OpenConnection> {
        let index = self.open.iter().position(|open| open.request == request)?;
        Some(self.open.swap_remove(index))
    }

    /// Draws and removes the connection that an arrival replaces, once there are as many as the shape says.
    pub fn take_replaced(&mut self) -> Option<OpenConnection> {
        if self.open.is_empty() || (self.open.len() as u32) < self.shape.connections {
            return None;
        }
        let index = self.rng.random_range(0..self.open.len());
        Some(self.open.swap_remove(index))
    }

    /// Frees memory that was reserved for more connections.
    pub fn shrink_to_fit(&mut self) {
        self.open.shrink_to_fit();
    }

    /// Number of established connections and pending requests.
    pub fn count(&self) -> usize {
        self.open.len() + self.pending.len()
    }

    /// Load and groups of the established connections by node.
    pub fn node_loads(&self, nodes: &Nodes) -> NodeLoads {
        let mut all = NodeLoads::new();
        for OpenConnection { request, server, group } in &self.open {
            let Some(node) = nodes.place(*server) else { continue };
            let (load, groups) = all.entry(node).or_default();
            *load += self.load(*request);
            groups.insert(*group);
        }
        all
    }

    fn load(&self, request: RequestId) -> f64 {
        self.shape.load(self.ordinal, request.0)
    }
}

/// A group as it is named on the wire.
pub(crate) fn group_digest(group: u32) -> u64 {
    mixed(u64::from(group), 0x67)
}

//! One endpoint: a render node as listed by discovery and rated by the decision module.

use crate::maintenance::Maintenance;
use cottonnotch_decision::names::digest;
use cottonnotch_decision::{Entry, Micros, ServerHealth, ServerId, ServerState, ZoneId};
use cottonnotch_proxy_core::EndpointEntry;
use cottonnotch_records::Name;
use std::net::SocketAddr;

/// The driver's state of a render node.
#[derive(Debug)]
pub struct Endpoint {
    /// The node's id in discovery's lists.
    pub name: Name,
    /// The state in which discovery lists the node.
    pub state: ServerState,
    /// The address at which the node listens, if one was ever listed.
    pub address: Option<SocketAddr>,
    /// When the node's process started, by the event loop's clock. Converted from Unix time once, when discovery
    /// first listed the start.
    pub started: Option<Micros>,
    /// The hall that the node is in.
    pub zone: ZoneId,
    /// The node's hardware class, as discovery names it.
    pub hardware_class: Box<str>,
    /// The node's capacity relative to other endpoints.
    pub weight: f64,
    /// The decision module's latest rating.
    pub health: ServerHealth,
    /// When the node's process started, in Unix time as listed by discovery.
    started_unix: Option<Micros>,
    /// The cell: a small group of nodes that share which idempotency keys they have seen.
    cell: u32,
}

/// Whether an update shows a different process behind an endpoint than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incarnation {
    /// The listed start time is unchanged, so the process is taken to be the same.
    Same,
    /// The listed start time differs: a new process.
    New,
}

impl Endpoint {
    /// Creates an endpoint that is not listed yet.
    pub fn new(name: Name) -> Self {
        Endpoint {
            name,
            state: ServerState::Removed,
            address: None,
            started: None,
            zone: ZoneId::default(),
            hardware_class: Box::default(),
            weight: 1.0,
            health: ServerHealth::default(),
            started_unix: None,
            cell: 0,
        }
    }

    /// Applies an entry of discovery's list; `to_loop_time` converts Unix time to the event loop's clock.
    pub fn apply(
        &mut self,
        listed: EndpointEntry,
        zone: ZoneId,
        to_loop_time: impl FnOnce(Micros) -> Micros,
    ) -> Incarnation {
        (self.state, self.zone) = (listed.state, zone);
        (self.cell, self.weight) = (listed.cell, listed.weight);
        if *self.hardware_class != *listed.flavor {
            self.hardware_class = listed.flavor.into();
        }
        self.address = listed.address.or(self.address);
        if std::mem::replace(&mut self.started_unix, listed.up_since) == listed.up_since {
            return Incarnation::Same;
        }
        self.started = listed.up_since.map(to_loop_time);
        Incarnation::New
    }

    /// Whether discovery lists the endpoint.
    pub fn is_listed(&self) -> bool {
        self.state != ServerState::Removed
    }

    /// The endpoint's entry for the decision module: the listed state with the operators' overrides applied.
    pub fn entry(&self, server: ServerId, overrides: &Maintenance) -> Entry {
        let (state, started) = overrides.apply(&self.name, self.state, self.started);
        let (digest, zone, cell, weight) = (digest(&self.name), self.zone, self.cell, self.weight);
        Entry { server, digest, state, zone, cell, started, weight }
    }
}

//! One endpoint: a render node, as discovery lists it and the decision module rates it.

use crate::maintenance::Maintenance;
use cottonnotch_decision::names::digest;
use cottonnotch_decision::{Entry, Micros, ServerHealth, ServerId, ServerState, ZoneId};
use cottonnotch_proxy_core::EndpointEntry;
use cottonnotch_records::Name;
use std::net::SocketAddr;

/// A render node.
#[derive(Debug)]
pub struct Endpoint {
    /// Its id in discovery's lists.
    pub name: Name,
    /// As discovery lists it.
    pub state: ServerState,
    /// Where it listens, if that was ever listed.
    pub address: Option<SocketAddr>,
    /// When its process started, by the loop's clock: worked out when discovery first listed it.
    pub started: Option<Micros>,
    /// Its hall.
    pub zone: ZoneId,
    /// Its hardware class, as discovery names it.
    pub flavor: Box<str>,
    /// Its size beside other endpoints'.
    pub weight: f64,
    /// How the decision module last rated it.
    pub health: ServerHealth,
    /// When its process started, as discovery lists it in Unix time.
    up_since: Option<Micros>,
    cell: u32,
}

/// Whether a list shows another process behind an endpoint than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incarnation {
    /// The same process, as far as its start tells.
    Same,
    /// A new process.
    New,
}

impl Endpoint {
    /// An endpoint that is not listed yet.
    pub fn new(name: Name) -> Self {
        Endpoint {
            name,
            state: ServerState::Removed,
            address: None,
            started: None,
            zone: ZoneId::default(),
            flavor: Box::default(),
            weight: 1.0,
            health: ServerHealth::default(),
            up_since: None,
            cell: 0,
        }
    }

    /// Takes over what discovery lists; `to_loop_time` converts a start from Unix time.
    pub fn apply(
        &mut self,
        listed: EndpointEntry,
        zone: ZoneId,
        to_loop_time: impl FnOnce(Micros) -> Micros,
    ) -> Incarnation {
        (self.state, self.zone) = (listed.state, zone);
        (self.cell, self.weight) = (listed.cell, listed.weight);
        if *self.flavor != *listed.flavor {
            self.flavor = listed.flavor.into();
        }
        self.address = listed.address.or(self.address);
        if std::mem::replace(&mut self.up_since, listed.up_since) == listed.up_since {
            return Incarnation::Same;
        }
        self.started = listed.up_since.map(to_loop_time);
        Incarnation::New
    }

    /// It is in discovery's list.
    pub fn is_listed(&self) -> bool {
        self.state != ServerState::Removed
    }

    /// Its entry for the decision module: as listed, under the operators' overrides.
    pub fn entry(&self, server: ServerId, overrides: &Maintenance) -> Entry {
        let (state, started) = overrides.apply(&self.name, self.state, self.started);
        let (digest, zone, cell, weight) = (digest(&self.name), self.zone, self.cell, self.weight);
        Entry { server, digest, state, zone, cell, started, weight }
    }
}

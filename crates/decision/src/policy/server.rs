//! The servers as one node sees them: list entry, circuit breaker, set-up budget and connections.

use super::circuit_breaker::CircuitBreaker;
use super::peer_reports::PeerReports;
use super::turns::Turn;
use crate::budget::{FleetTotal, SetupBudget};
use crate::interface::*;
use crate::pending_request::Locality;

/// All servers that were ever listed, indexed by number.
#[derive(Debug, Default)]
pub(super) struct Servers {
    all: Vec<Server>,
    /// Servers that take new connections according to the list, in the order of their numbers.
    pub(super) ready: Vec<ServerId>,
    /// Total size of the ready servers.
    pub(super) ready_size: f64,
    /// Total size of the fleet, including servers that left the list recently.
    pub(super) fleet_total: FleetTotal,
}

impl Servers {
    pub(super) fn get(&self, id: ServerId) -> Option<&Server> {
        self.all.get(id.0 as usize)
    }

    pub(super) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.all.get_mut(id.0 as usize)
    }

    /// Returns the server with this number; creates the server if it does not exist.
    pub(super) fn get_or_create(&mut self, id: ServerId) -> &mut Server {
        let index = id.0 as usize;
        if index >= self.all.len() {
            self.all.resize_with(index + 1, Server::default);
        }
        &mut self.all[index]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.all.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.all.iter_mut()
    }

    /// Recomputes, after a change of the list, which servers are ready and their total size.
    pub(super) fn update_ready(&mut self, now: Micros) {
        let ids = (0..self.all.len() as u32).map(ServerId);
        self.ready = ids.filter(|id| self.get(*id).is_some_and(Server::is_ready)).collect();
        self.ready_size = self.total_ready_size();
        self.fleet_total.record(now, self.ready_size);
    }

    /// Evaluates all listed weights again after a change of what they state.
    pub(super) fn evaluate_weights(&mut self, weights: WeightMeaning) {
        self.all.iter_mut().for_each(|s| s.listing.weight_meaning = weights);
        self.ready_size = self.total_ready_size();
        self.fleet_total.restate(self.ready_size);
    }

    fn total_ready_size(&self) -> f64 {
        self.ready.iter().filter_map(|id| self.get(*id)).map(|s| s.listing.size()).sum()
    }

    /// Reports the health of each server whose health has changed.
    pub(super) fn report_health(&mut self, now: Micros, out: &mut Vec<Action>) {
        for (number, s) in self.all.iter_mut().enumerate() {
            s.report_health(now, ServerId(number as u32), out);
        }
    }
}

/// One server as this node sees it. Each field holds the state of one concern.
#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    pub(super) listing: Listing,
    pub(super) turn: Turn,
    pub(super) breaker: CircuitBreaker,
    pub(super) latency: Latency,
    /// Token bucket of new connections. It applies while the server is warming up, after it was overloaded
    /// or failed, and while this node has no news of it and most other servers are overloaded.
    pub(super) budget: SetupBudget,
    pub(super) connections: Connections,
    pub(super) peer_reports: PeerReports,
    /// The health that was reported last.
    pub(super) reported_health: ServerHealth,
}

/// The server's entry in the server list.
#[derive(Clone, Debug)]
pub(super) struct Listing {
    pub(super) state: ServerState,
    /// The server's zone and cell.
    pub(super) locality: Locality,
    /// The weight as listed, positive; 0 until the server is first listed.
    pub(super) weight: f64,
    /// What the weight states.
    pub(super) weight_meaning: WeightMeaning,
    pub(super) started: Option<Micros>,
    /// Digest of the server's name, the same on every node.
    pub(super) digest: u64,
}

impl Default for Listing {
    fn default() -> Self {
        let locality = Locality::default();
        let (state, started, digest) = (ServerState::Removed, None, 0);
        Listing { state, locality, weight: 0.0, weight_meaning: WeightMeaning::Nothing, started, digest }
    }
}

impl Listing {
    /// Returns the size relative to the other servers. Limits and shares go by it.
    pub(super) fn size(&self) -> f64 {
        self.weight_meaning.size(self.weight)
    }

    /// Returns the part of the turns relative to the other servers.
    pub(super) fn turn_weight(&self) -> f64 {
        self.weight_meaning.turn_weight(self.weight)
    }
}

/// Message latency of a server according to its latest report.
#[derive(Clone, Debug, Default)]
pub(super) struct Latency {
    pub(super) latest: Micros,
    /// When the latency was last so high that the server must have a backlog.
    pub(super) slow_at: Option<Micros>,
}

/// This node's connections to a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections {
    /// The established connections.
    pub(super) open: Vec<RequestId>,
    /// When the last connections are migrated, if the server drains; `None` if it does not.
    pub(super) drain_deadline: Option<Micros>,
}

impl Server {
    /// Whether the server takes new connections according to the list.
    pub(super) fn is_ready(&self) -> bool {
        self.listing.state == ServerState::Ready
    }

    /// Reports this server's health if it has changed.
    pub(super) fn report_health(&mut self, now: Micros, id: ServerId, out: &mut Vec<Action>) {
        let health = self.health(now);
        if std::mem::replace(&mut self.reported_health, health) != health {
            out.push(Action::HealthChanged { server: id, health });
        }
    }

    fn health(&self, now: Micros) -> ServerHealth {
        match (self.listing.state, self.breaker.paused_until) {
            (ServerState::Draining, _) => ServerHealth::Draining,
            (ServerState::Removed, _) => ServerHealth::Unlisted,
            (ServerState::Ready, Some(until)) if until > now => ServerHealth::Paused { until },
            (ServerState::Ready, Some(_)) => ServerHealth::Trial,
            (ServerState::Ready, None) if self.breaker.half_open => ServerHealth::Trial,
            (ServerState::Ready, None) => ServerHealth::Up,
        }
    }
}

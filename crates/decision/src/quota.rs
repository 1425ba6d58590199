//! A node's quota: its share of what belongs to all nodes together, be it a budget, a rate or a trial. The one place where
//! that is computed, so that what 300 nodes do at once adds up to the same as what 2 do.
//!
//! What all may do is divided evenly by the settings' number of nodes, unless a recent status of the fleet
//! ([`Event::Fleet`](crate::Event::Fleet)) gives this node's share of the demand: clients arrive unevenly, and nodes that
//! are down need nothing.

use crate::interface::{FleetStatus, Micros};

/// A status of the fleet counts for this long; after that the shares are even again.
const STATUS_VALID_FOR: Micros = 8_000_000;
/// However small a node's share of the demand was, it gets this much of an even share: clients may reach it next.
const MIN_SHARE_OF_EVEN: f64 = 0.5;
/// The budget of a warming server is used by half, and conservative shares add up to the total at most: with this, all nodes
/// together use two thirds of it, and chance has the rest. 2 earns more on the vast days (24 further seeds a kind: the worst third 0.35
/// for 0.26 with 1) and breaks no rule there, but a simulation of 100 nodes pushes warming servers over.
const IDLE_FACTOR: f64 = 4.0 / 3.0;

/// How large a node's share is, as far as it knows.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    nodes: f64,
    status: Option<(FleetStatus, Micros)>,
}

impl Default for Quota {
    fn default() -> Self {
        Quota::even(1)
    }
}

impl Quota {
    /// An even share among so many nodes; none counts as one.
    pub fn even(nodes: u32) -> Self {
        Quota { nodes: f64::from(nodes.max(1)), status: None }
    }

    /// The settings name another number of nodes. The status of the fleet stays.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = f64::from(nodes.max(1));
    }

    /// A new status of the fleet.
    pub fn update(&mut self, now: Micros, fleet: FleetStatus) {
        self.status = Some((fleet, now));
    }

    /// The status of the fleet, if it still counts.
    pub fn fleet(&self, now: Micros) -> Option<FleetStatus> {
        self.status.filter(|(_, at)| now - at < STATUS_VALID_FOR).map(|(fleet, _)| fleet)
    }

    /// Part of the latest set-ups that failed, 0 to 1: of this node's own, or of all nodes', whichever is more.
    pub fn failure_ratio(&self, now: Micros, own: f64) -> f64 {
        self.fleet(now).map_or(own, |fleet| own.max(fleet.failure_rate))
    }

    /// How many times its share of a budget a node may use in a large fleet, which is one with a status: most of the others
    /// have nobody waiting at the moment, and what they don't use is lost to all.
    pub fn idle_factor(&self, now: Micros) -> f64 {
        if self.fleet(now).is_some() { IDLE_FACTOR } else { 1.0 }
    }

    /// This node's share of a `figure` that must not be overdrawn. Without a status of the fleet it is no less than `own`,
    /// what the node has of it already. With one, shares are half by demand and half even, and add up to no more than the
    /// figure: nodes that the status leaves out are taken to be there and to use theirs. Guards against two sides of a
    /// partition, each of which would use the whole figure.
    pub fn conservative_share_of(&self, now: Micros, figure: f64, own: f64) -> f64 {
        match self.fleet(now) {
            Some(fleet) if fleet.demand_share.is_finite() && fleet.nodes.is_finite() => {
                let heard = fleet.nodes.clamp(1.0, self.nodes) / self.nodes;
                figure * (fleet.demand_share.clamp(0.0, 1.0) * heard + 1.0 / self.nodes) / 2.0
            }
            Some(_) => self.share_of(now, figure),
            None => self.share_of(now, figure).max(own),
        }
    }

    /// This node's share of a figure of the whole fleet. Over all nodes the shares add up to at most one and a half times it.
    pub fn share_of(&self, now: Micros, figure: f64) -> f64 {
        let share = match self.fleet(now) {
            Some(fleet) if fleet.demand_share.is_finite() && fleet.nodes.is_finite() => {
                let even = 1.0 / fleet.nodes.clamp(1.0, self.nodes);
                fleet.demand_share.clamp(MIN_SHARE_OF_EVEN * even, 1.0)
            }
            _ => 1.0 / self.nodes,
        };
        figure * share
    }
}

/// A token bucket whose rate may change. It holds what a second brings, or two tokens if that is less.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

/// A node whose share is less than that a second may still place two clients that come together.
const MAX_SAVED_TOKENS: f64 = 2.0;

impl TokenBucket {
    /// A full bucket.
    pub fn new(now: Micros) -> Self {
        TokenBucket { tokens: MAX_SAVED_TOKENS, refilled_at: now }
    }

    /// Adds the tokens since the last time, at `per_s` a second, and returns whether there is one to take. At an infinite
    /// rate there always is.
    pub fn refill(&mut self, now: Micros, per_s: f64) -> bool {
        if per_s.is_infinite() {
            (self.tokens, self.refilled_at) = (MAX_SAVED_TOKENS, now);
            return true;
        }
        let seconds = (now - self.refilled_at).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + per_s * seconds).min(per_s.max(MAX_SAVED_TOKENS));
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token; one that is not there is owed.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Gives back a token that was taken and not used.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
    }

    /// When there will be a token, at `per_s` a second.
    pub fn next_token_at(&self, per_s: f64) -> Micros {
        let short = (1.0 - self.tokens).max(0.0) * 1e6 / per_s.max(1e-6);
        self.refilled_at.saturating_add(short as Micros)
    }
}

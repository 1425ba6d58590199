//! The verdict of routing rules on one request: the interface between the decisions and whoever evaluates the rules. The
//! module asks at each dispatch, also of queued requests, and knows nothing else of them: a verdict counts for that moment
//! only.

use crate::interface::{Micros, Request, ServerId};
use std::fmt::Debug;
use std::sync::Arc;

/// A set of servers, as a bit set of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerSet(Vec<u64>);

impl ServerSet {
    /// Adds a server.
    pub fn insert(&mut self, ServerId(number): ServerId) {
        let (word, bit) = (number as usize / 64, number % 64);
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << bit;
    }

    /// Removes a server.
    pub fn remove(&mut self, ServerId(number): ServerId) {
        if let Some(word) = self.0.get_mut(number as usize / 64) {
            *word &= !(1 << (number % 64));
        }
    }

    /// Whether the server is in the set.
    pub fn contains(&self, ServerId(number): ServerId) -> bool {
        self.0.get(number as usize / 64).is_some_and(|word| word >> (number % 64) & 1 == 1)
    }

    /// Whether the set has no member.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Removes all members that are not in the other set.
    pub fn intersect(&mut self, other: &ServerSet) {
        for (i, word) in self.0.iter_mut().enumerate() {
            *word &= other.0.get(i).copied().unwrap_or(0);
        }
    }
}

impl FromIterator<ServerId> for ServerSet {
    fn from_iter<I: IntoIterator<Item = ServerId>>(servers: I) -> Self {
        let mut set = ServerSet::default();
        servers.into_iter().for_each(|server| set.insert(server));
        set
    }
}

/// The verdict of the rules on a request at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingVerdict {
    /// The servers that it may be sent to; `None`: all.
    pub allowed: Option<Arc<ServerSet>>,
    /// Of those that may take it now, these come first. No request waits for them.
    pub preferred: Option<Arc<ServerSet>>,
    /// Most attempts. The class's own bound holds as well.
    pub attempts: u32,
    /// It is not sent before this.
    pub not_before: Option<Micros>,
    /// It is not sent at all, and the client may retry after this time: it is uncertain whether the rules that were
    /// evaluated are still in force.
    pub refuse: Option<Micros>,
}

impl Default for RoutingVerdict {
    /// The verdict on a request that no rule concerns.
    fn default() -> Self {
        RoutingVerdict { allowed: None, preferred: None, attempts: u32::MAX, not_before: None, refuse: None }
    }
}

impl RoutingVerdict {
    /// Whether the request may be sent there.
    pub fn allows(&self, server: ServerId) -> bool {
        self.allowed.as_ref().is_none_or(|set| set.contains(server))
    }

    /// Whether others come first, if there are any.
    pub fn is_second_choice(&self, server: ServerId) -> bool {
        self.preferred.as_ref().is_some_and(|set| !set.contains(server))
    }
}

/// When an established connection may be migrated for the sake of its server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stickiness {
    /// After those without stickiness.
    MigrateLast,
    /// Not at all: only when its server drains.
    UntilDrained,
}

/// Evaluates routing rules.
pub trait RoutingRules: Debug {
    /// The verdict on a request now.
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict;

    /// The request is sent there, as the last verdict allowed.
    fn record_attempt(&mut self, now: Micros, request: &Request, server: ServerId);

    /// How its connection sticks to that server; `None`: no rule concerns it.
    fn stickiness(&mut self, _now: Micros, _request: &Request, _server: ServerId) -> Option<Stickiness> {
        None
    }
}

//! The interface between the decision module and the evaluator of routing rules. The module asks for a
//! verdict each time it dispatches a request, including queued requests, and has no other knowledge of the
//! rules. A verdict is valid only at the time of the evaluation.

use crate::interface::{Micros, Request, ServerId};
use std::fmt::Debug;
use std::sync::Arc;

/// A set of servers, stored as a bit set of their numbers.
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

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Removes all servers that are not in the other set.
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

/// The verdict of the rules on a request at the time of the evaluation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingVerdict {
    /// The servers that the request may be sent to; `None`: all servers.
    pub allowed: Option<Arc<ServerSet>>,
    /// The servers that come first among those that may take the request now; `None`: no preference. A
    /// request does not wait for a preferred server.
    pub preferred: Option<Arc<ServerSet>>,
    /// Maximum number of attempts. The limit of the request's class applies as well.
    pub attempts: u32,
    /// Time before which the request must not be sent; `None`: it may be sent now.
    pub not_before: Option<Micros>,
    /// The request must be rejected, because it is uncertain whether the evaluated rules are still in force.
    /// The client may retry after this time. `None`: the request is not rejected.
    pub reject_with_retry_after: Option<Micros>,
}

impl Default for RoutingVerdict {
    /// Returns the verdict on a request that no rule applies to.
    fn default() -> Self {
        RoutingVerdict {
            allowed: None,
            preferred: None,
            attempts: u32::MAX,
            not_before: None,
            reject_with_retry_after: None,
        }
    }
}

impl RoutingVerdict {
    /// Whether the request may be sent to `server`.
    pub fn allows(&self, server: ServerId) -> bool {
        self.allowed.as_ref().is_none_or(|set| set.contains(server))
    }

    /// Whether the verdict prefers other servers to `server`.
    pub fn is_second_choice(&self, server: ServerId) -> bool {
        self.preferred.as_ref().is_some_and(|set| !set.contains(server))
    }
}

/// Restricts the migration of an established connection off an overloaded server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stickiness {
    /// The connection is migrated after those without stickiness.
    MigrateLast,
    /// The connection is migrated only when its server drains.
    UntilDrained,
}

/// Evaluates routing rules.
pub trait RoutingRules: Debug {
    /// Returns the verdict on a request at this time.
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict;

    /// Records that the request is sent to `server`, as its last verdict allowed.
    fn record_attempt(&mut self, now: Micros, request: &Request, server: ServerId);

    /// Returns the stickiness of the request's connection to `server`; `None` if no rule applies to it.
    fn stickiness(&mut self, _now: Micros, _request: &Request, _server: ServerId) -> Option<Stickiness> {
        None
    }
}

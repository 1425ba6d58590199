//! What rules say of one request: the interface between the decisions and whoever knows the rules. The module asks
//! at each dispatch, also of what was held, and looks at nothing else of them: an answer counts for that moment only.

use crate::interface::{Micros, Request, ServerId};
use std::fmt::Debug;
use std::sync::Arc;

/// A set of servers, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerSet(Vec<u64>);

impl ServerSet {
    /// Adds one.
    pub fn insert(&mut self, ServerId(number): ServerId) {
        let (word, bit) = (number as usize / 64, number % 64);
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << bit;
    }

    /// Takes one out.
    pub fn remove(&mut self, ServerId(number): ServerId) {
        if let Some(word) = self.0.get_mut(number as usize / 64) {
            *word &= !(1 << (number % 64));
        }
    }

    /// It is one of them.
    pub fn contains(&self, ServerId(number): ServerId) -> bool {
        self.0.get(number as usize / 64).is_some_and(|word| word >> (number % 64) & 1 == 1)
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Takes out all that are not in the other one too.
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

/// What rules say of a request at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingVerdict {
    /// It may go to these only; `None`: to all.
    pub allowed: Option<Arc<ServerSet>>,
    /// Of those that may take it now, these come first. Nobody waits for them.
    pub preferred: Option<Arc<ServerSet>>,
    /// Most attempts. The class's own bound goes on.
    pub attempts: u32,
    /// It is not sent before this.
    pub not_before: Option<Micros>,
    /// It is not sent at all, and the client may come again after this time: whoever knows the rules doubts that they
    /// are still in force.
    pub refuse: Option<Micros>,
}

impl Default for RoutingVerdict {
    /// What no rule speaks of.
    fn default() -> Self {
        RoutingVerdict { allowed: None, preferred: None, attempts: u32::MAX, not_before: None, refuse: None }
    }
}

impl RoutingVerdict {
    /// The request may go there.
    pub fn allows(&self, server: ServerId) -> bool {
        self.allowed.as_ref().is_none_or(|set| set.contains(server))
    }

    /// Others come first, if there are any.
    pub fn is_second_choice(&self, server: ServerId) -> bool {
        self.preferred.as_ref().is_some_and(|set| !set.contains(server))
    }
}

/// When an established connection may be moved for the sake of its server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stickiness {
    /// After those that may be moved anyhow.
    MigrateLast,
    /// Not at all: it leaves with its server only.
    UntilDrained,
}

/// Whoever knows the rules.
pub trait RoutingRules: Debug {
    /// What they say of a request now.
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict;

    /// The request is sent there, as the last ruling allowed.
    fn record_attempt(&mut self, now: Micros, request: &Request, server: ServerId);

    /// What they say of moving its connection off that server; `None`: nothing.
    fn stickiness(&mut self, _now: Micros, _request: &Request, _server: ServerId) -> Option<Stickiness> {
        None
    }
}

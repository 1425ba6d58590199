//! The recent outcomes that an embedder observed at each endpoint, and the evidence computed from them.

use crate::{Evidence, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Observations older than this, three default periods, are not evidence of an endpoint's present state.
const LIFETIME: Micros = 3_000_000;
/// Maximum observations kept for each endpoint. Counts on the wire saturate at 255.
const MAX_PER_ENDPOINT: usize = 256;
const TENTH_OF_A_SECOND: Micros = 100_000;

/// The outcome of an attempt or a connection at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The endpoint rejected the attempt as full.
    Full,
    /// The connection could not be set up.
    Failed,
    /// The attempt got no answer, or an error.
    TimedOut,
    /// A connection was lost or went silent.
    Silent,
    /// The attempt was served.
    Served,
}

impl Observation {
    fn is_fault(self) -> bool {
        self != Observation::Served
    }

    fn count_in(self, evidence: &mut Evidence) {
        let count = match self {
            Observation::Full => &mut evidence.full,
            Observation::Failed => &mut evidence.failed,
            Observation::TimedOut => &mut evidence.timed_out,
            Observation::Silent => &mut evidence.silent,
            Observation::Served => &mut evidence.served,
        };
        *count = count.saturating_add(1);
    }
}

/// The recent observations by endpoint, with the embedder's own type of endpoint key. The size grows with the number of
/// endpoints observed in the last seconds.
#[derive(Clone, Debug)]
pub struct Observations<K> {
    by_endpoint: BTreeMap<K, VecDeque<(Micros, Observation)>>,
}

impl<K: Copy + Ord> Default for Observations<K> {
    fn default() -> Self {
        Observations { by_endpoint: BTreeMap::new() }
    }
}

impl<K: Copy + Ord> Observations<K> {
    /// Records an observation.
    pub fn record(&mut self, now: Micros, endpoint: K, observation: Observation) {
        let observed = self.by_endpoint.entry(endpoint).or_default();
        if observed.len() == MAX_PER_ENDPOINT {
            observed.pop_front();
        }
        observed.push_back((now, observation));
    }

    /// Removes observations that are too old to be reported.
    pub fn forget_old(&mut self, now: Micros) {
        self.by_endpoint.retain(|_, observed| {
            while observed.front().is_some_and(|(at, _)| now - at > LIFETIME) {
                observed.pop_front();
            }
            !observed.is_empty()
        });
    }

    /// Returns the endpoints with observations.
    pub fn endpoints(&self) -> impl Iterator<Item = K> {
        self.by_endpoint.keys().copied()
    }

    /// Counts the observations at an endpoint. Attempts served before the newest fault are left out, since they don't show the
    /// present state.
    pub fn evidence(&self, now: Micros, endpoint: K) -> Evidence {
        let mut evidence = Evidence::default();
        // The newest fault, or the newest observation if there is no fault.
        let mut decisive: Option<(Micros, Observation)> = None;
        for (at, observation) in self.by_endpoint.get(&endpoint).into_iter().flatten() {
            observation.count_in(&mut evidence);
            if observation.is_fault() {
                evidence.served = 0;
            }
            if observation.is_fault() || decisive.is_none_or(|(_, before)| !before.is_fault()) {
                decisive = Some((*at, *observation));
            }
        }
        let age = decisive.map_or(0, |(at, _)| (now - at).max(0) / TENTH_OF_A_SECOND);
        evidence.age_tenths = u8::try_from(age).unwrap_or(u8::MAX);
        evidence
    }
}

#[cfg(test)]
#[path = "observations_tests.rs"]
mod tests;

//! What an embedder observed at each endpoint lately, and the evidence that it makes.

use crate::{Evidence, Micros};
use std::collections::{BTreeMap, VecDeque};

/// An older observation is no evidence of now: three periods of a second.
const LIFETIME: Micros = 3_000_000;
/// So many are kept for each endpoint: the counts of the wire end at 255.
const MAX_PER_ENDPOINT: usize = 256;
const TENTH_OF_A_SECOND: Micros = 100_000;

/// How an attempt at an endpoint, or a connection there, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Rejected as full.
    Full,
    /// The connection could not be set up.
    Failed,
    /// There was no answer, or an error.
    TimedOut,
    /// A connection was lost or went silent.
    Silent,
    /// It was served.
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

/// The recent observations, by the embedder's own names of endpoints. Grows with the endpoints observed in the last seconds.
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
    /// Takes an observation.
    pub fn record(&mut self, now: Micros, endpoint: K, observation: Observation) {
        let observed = self.by_endpoint.entry(endpoint).or_default();
        if observed.len() == MAX_PER_ENDPOINT {
            observed.pop_front();
        }
        observed.push_back((now, observation));
    }

    /// Forgets what is too old to be reported.
    pub fn forget_old(&mut self, now: Micros) {
        self.by_endpoint.retain(|_, observed| {
            while observed.front().is_some_and(|(at, _)| now - at > LIFETIME) {
                observed.pop_front();
            }
            !observed.is_empty()
        });
    }

    /// The endpoints where anything was observed.
    pub fn endpoints(&self) -> impl Iterator<Item = K> {
        self.by_endpoint.keys().copied()
    }

    /// What was observed at an endpoint, counted. What was served before the newest fault says nothing of now and is left out.
    pub fn evidence(&self, now: Micros, endpoint: K) -> Evidence {
        let mut evidence = Evidence::default();
        // The newest fault, or without any the newest observation.
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

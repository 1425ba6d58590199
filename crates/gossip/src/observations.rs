//! What an embedder met at each endpoint lately, and the evidence that it makes.

use crate::{Evidence, Micros};
use std::collections::{BTreeMap, VecDeque};

/// What was met longer ago is no evidence of now: three periods of a second.
const TOLD_FOR: Micros = 3_000_000;
/// So much is kept for each endpoint: the counts that are told end at 255.
const MOST_MET: usize = 256;

/// How an attempt at a endpoint, or a connection there, came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Turned away as full.
    Full,
    /// It could not connect.
    Failed,
    /// It got no answer, or an error.
    TimedOut,
    /// A connection was lost or went silent.
    Silent,
    /// It was served.
    Served,
}

/// What was met lately, by the embedder's own names of endpoints.
#[derive(Clone, Debug)]
pub struct Observations<K> {
    met: BTreeMap<K, VecDeque<(Micros, Observation)>>,
}

impl<K: Copy + Ord> Default for Observations<K> {
    fn default() -> Self {
        Observations { met: BTreeMap::new() }
    }
}

impl<K: Copy + Ord> Observations<K> {
    /// This was met there.
    pub fn record(&mut self, now: Micros, at: K, met: Observation) {
        let all = self.met.entry(at).or_default();
        if all.len() == MOST_MET {
            all.pop_front();
        }
        all.push_back((now, met));
    }

    /// Forgets what is too old to be told.
    pub fn forget_old(&mut self, now: Micros) {
        self.met.retain(|_, met| {
            while met.front().is_some_and(|(at, _)| now - at > TOLD_FOR) {
                met.pop_front();
            }
            !met.is_empty()
        });
    }

    /// Where anything was met.
    pub fn endpoints(&self) -> impl Iterator<Item = K> {
        self.met.keys().copied()
    }

    /// What was met there, counted. What went well before the newest trouble says nothing of now and is left out.
    pub fn evidence(&self, now: Micros, at: K) -> Evidence {
        let mut evidence = Evidence::default();
        let mut newest: Option<(Micros, bool)> = None;
        for (at, met) in self.met.get(&at).into_iter().flatten() {
            let count = match met {
                Observation::Full => &mut evidence.full,
                Observation::Failed => &mut evidence.failed,
                Observation::TimedOut => &mut evidence.timed_out,
                Observation::Silent => &mut evidence.silent,
                Observation::Served => &mut evidence.served,
            };
            *count = count.saturating_add(1);
            let trouble = *met != Observation::Served;
            if trouble {
                evidence.served = 0;
            }
            if trouble || newest.is_none_or(|(_, before)| !before) {
                newest = Some((*at, trouble));
            }
        }
        let age = newest.map_or(0, |(at, _)| (now - at).max(0) / 100_000);
        evidence.age_tenths = u8::try_from(age).unwrap_or(u8::MAX);
        evidence
    }
}

#[cfg(test)]
#[path = "observations_tests.rs"]
mod tests;

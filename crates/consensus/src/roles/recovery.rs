//! A voter without memory: it abstains until what it may have promised is over, then learns what was agreed with its help.

use crate::clock_drift::longer;
use crate::{Config, Micros, State, StateRevision};
use std::collections::BTreeMap;

/// What a voter without memory keeps.
#[derive(Clone, Debug)]
pub(crate) struct Recovering {
    /// When to ask (again). First only after votes it may have given are counted or void, rounds it may have acknowledged
    /// are stale, and leases it may have granted are over.
    pub next_ask: Micros,
    /// Of the question, once it was asked.
    pub nonce: Option<u64>,
    pub answers: BTreeMap<u16, (u64, StateRevision, State)>,
}

impl Recovering {
    pub fn new(now: Micros, config: &Config) -> Self {
        let timing = &config.timing;
        let wait = longer(2 * timing.election_timeout_max + timing.lease, timing.drift_ppm);
        Self { next_ask: now + wait, nonce: None, answers: BTreeMap::new() }
    }
}

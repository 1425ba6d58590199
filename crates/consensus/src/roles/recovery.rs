//! The data of a voter that recovers from the loss of its durable state.

use crate::clock_drift::lengthen;
use crate::{Config, Micros, State, StateRevision};
use std::collections::BTreeMap;

/// The recovery of a voter that lost its durable state (Viewstamped Replication Revisited, section 4.3).
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// When to send the next request to the other voters. The first request is sent only after every vote that this
    /// voter may have given has been counted or become void, every heartbeat that it may have acknowledged is stale,
    /// and every lease that it may have granted has expired.
    pub next_request: Micros,
    /// The nonce of the request, once a request was sent.
    pub nonce: Option<u64>,
    /// For each voter that answered: its term, the revision of its state, and its state.
    pub answers: BTreeMap<u16, (u64, StateRevision, State)>,
}

impl Recovery {
    pub fn new(now: Micros, config: &Config) -> Self {
        let timing = &config.timing;
        let wait = lengthen(2 * timing.election_timeout_max + timing.lease, timing.drift_ppm);
        Self { next_request: now + wait, nonce: None, answers: BTreeMap::new() }
    }
}

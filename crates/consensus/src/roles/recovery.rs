//! What a voter without durable state keeps while it recovers.

use crate::clock_drift::lengthen;
use crate::{Config, Micros, State, StateRevision};
use std::collections::BTreeMap;

/// The recovery of a voter that lost its durable state (Viewstamped Replication Revisited, section 4.3).
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// When to ask the other voters (again). Not before the votes this voter may have given are counted or void, the
    /// heartbeats it may have acknowledged are stale, and the leases it may have granted have expired.
    pub next_request: Micros,
    /// Identifies the request, once it was sent.
    pub nonce: Option<u64>,
    /// By voter: its term, and its state with the revision.
    pub answers: BTreeMap<u16, (u64, StateRevision, State)>,
}

impl Recovery {
    pub fn new(now: Micros, config: &Config) -> Self {
        let timing = &config.timing;
        let wait = lengthen(2 * timing.election_timeout_max + timing.lease, timing.drift_ppm);
        Self { next_request: now + wait, nonce: None, answers: BTreeMap::new() }
    }
}

//! What a leader does: rounds to the other voters, what they acknowledged, and until when it may act as one.

use super::change::Change;
use super::lease_grants::Leases;
use crate::{ListRevision, Micros, State, StateRevision};
use std::collections::BTreeMap;

/// What a leader keeps, for one term.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub won_at: Micros,
    /// By voter: the newest round it acknowledged, and what it had then.
    pub heard: BTreeMap<u16, (Micros, StateRevision)>,
    pub next_beat: Micros,
    /// The state in memory is agreed: a majority has it.
    pub agreed: bool,
    /// The newest state agreed in this term, and its order.
    pub committed: Option<(StateRevision, State)>,
    pub leases: Leases,
    pub changes: [Change; 2],
    pub list: ListRevision,
}

impl Leader {
    pub fn new(now: Micros) -> Self {
        Self {
            won_at: now,
            heard: BTreeMap::new(),
            next_beat: now,
            agreed: false,
            committed: None,
            leases: Leases::default(),
            changes: [Change::default(), Change::default()],
            list: ListRevision::default(),
        }
    }
}

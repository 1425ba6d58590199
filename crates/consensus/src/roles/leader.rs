//! The data that a leader keeps during its term.

use super::change::TopicChange;
use super::lease_grants::LeaseGrants;
use crate::{ListRevision, Micros, State, StateRevision};
use std::collections::BTreeMap;

/// The data of a leader. It is discarded at the end of its term.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub elected_at: Micros,
    /// For each voter, when the leader sent the newest heartbeat that the voter acknowledged, and the revision of the
    /// voter's state at the acknowledgement.
    pub acks: BTreeMap<u16, (Micros, StateRevision)>,
    pub next_heartbeat: Micros,
    /// Whether a majority has the state that this leader wrote last.
    pub is_committed: bool,
    /// The newest state that was committed in this term.
    pub committed: Option<(StateRevision, State)>,
    pub grants: LeaseGrants,
    /// The change of each topic.
    pub changes: [TopicChange; 2],
    /// The newest endpoint list that members have.
    pub newest_list: ListRevision,
}

impl Leader {
    pub fn new(now: Micros) -> Self {
        Self {
            elected_at: now,
            acks: BTreeMap::new(),
            next_heartbeat: now,
            is_committed: false,
            committed: None,
            grants: LeaseGrants::default(),
            changes: [TopicChange::default(), TopicChange::default()],
            newest_list: ListRevision::default(),
        }
    }
}

//! What a leader knows during one term.

use super::change::TopicChange;
use super::lease_grants::LeaseGrants;
use crate::{ListRevision, Micros, State, StateRevision};
use std::collections::BTreeMap;

/// A leader's data, for one term.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub elected_at: Micros,
    /// By voter: the newest heartbeat it acknowledged, by the leader's clock, and the revision of the state it had then.
    pub acks: BTreeMap<u16, (Micros, StateRevision)>,
    pub next_heartbeat: Micros,
    /// A majority has the state that this leader wrote last.
    pub is_committed: bool,
    /// The newest state committed in this term.
    pub committed: Option<(StateRevision, State)>,
    pub grants: LeaseGrants,
    /// By topic.
    pub changes: [TopicChange; 2],
    /// The newest endpoint list that members have.
    pub list: ListRevision,
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
            list: ListRevision::default(),
        }
    }
}

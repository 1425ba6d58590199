//! The table of clients' requests: one entry for each that is owed an answer or is up.

use cottonnotch_decision::{Micros, Outcome, Request, RequestId, ServerId};
use cottonnotch_reactor::Key;
use std::collections::{BTreeMap, HashSet};

/// A client's request as the driver knows it.
#[derive(Debug)]
pub struct TrackedRequest {
    pub id: RequestId,
    /// Its class, by the settings' number.
    pub class: u32,
    /// Its id on the wire.
    pub wire_id: u64,
    /// Where its latest attempt went, and that attempt's number.
    pub at: Option<(ServerId, u32)>,
    /// Made so far.
    pub attempts: u32,
    /// While one is out: since when.
    pub began: Option<Micros>,
    pub group: Option<u64>,
    pub stage: Stage,
    /// How the attempt before ended, if there was one.
    pub last_outcome: Option<Outcome>,
}

impl TrackedRequest {
    /// One that nothing was done for yet.
    pub fn new(id: RequestId, class: u32, wire_id: u64, group: Option<u64>) -> Self {
        let (at, began, last_outcome) = (None, None, None);
        TrackedRequest { id, class, wire_id, at, attempts: 0, began, group, stage: Stage::Owed, last_outcome }
    }

    /// The latest attempt's number among all that were made, those that reopen a connection too.
    pub fn latest(&self) -> u32 {
        self.attempts.saturating_sub(1)
    }
}

/// How far it is.
#[derive(Debug, PartialEq)]
pub enum Stage {
    /// One final answer is owed.
    Owed,
    /// Open before the start: it goes to one endpoint, and the module hears of it when it is up.
    Reopening(Box<Request>),
    /// The connection is up.
    Up,
}

/// All of them, found by their object on the loop, by the module's number, or by their id on the wire.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_key: BTreeMap<Key, TrackedRequest>,
    keys: BTreeMap<RequestId, Key>,
    wire_ids: HashSet<u64>,
    last_id: u64,
}

impl RequestTable {
    /// A number that no request had before.
    pub fn new_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub fn insert(&mut self, key: Key, tracked: TrackedRequest) {
        self.keys.insert(tracked.id, key);
        self.wire_ids.insert(tracked.wire_id);
        self.by_key.insert(key, tracked);
    }

    pub fn remove(&mut self, key: Key) -> Option<TrackedRequest> {
        let tracked = self.by_key.remove(&key)?;
        self.keys.remove(&tracked.id);
        self.wire_ids.remove(&tracked.wire_id);
        Some(tracked)
    }

    pub fn get(&self, key: Key) -> Option<&TrackedRequest> {
        self.by_key.get(&key)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut TrackedRequest> {
        self.by_key.get_mut(&key)
    }

    /// The request's object on the loop, unless it is over.
    pub fn key(&self, request: RequestId) -> Option<Key> {
        self.keys.get(&request).copied()
    }

    /// A request has this id on the wire.
    pub fn has_wire_id(&self, wire_id: u64) -> bool {
        self.wire_ids.contains(&wire_id)
    }

    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Those whose attempt is out, and where.
    pub fn attempted(&self) -> impl Iterator<Item = (Key, ServerId)> {
        let out = self.by_key.iter().filter(|(_, tracked)| tracked.began.is_some());
        out.filter_map(|(key, tracked)| Some((*key, tracked.at?.0)))
    }

    /// Those that were open before the start and are not up again.
    pub fn reopening(&self) -> Vec<Key> {
        let reopening =
            self.by_key.iter().filter(|(_, tracked)| matches!(tracked.stage, Stage::Reopening(_)));
        reopening.map(|(key, _)| *key).collect()
    }

    /// Those that are up.
    pub fn up(&self) -> impl Iterator<Item = (Key, RequestId)> {
        let up = self.by_key.iter().filter(|(_, tracked)| tracked.stage == Stage::Up);
        up.map(|(key, tracked)| (*key, tracked.id))
    }
}

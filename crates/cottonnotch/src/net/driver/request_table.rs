//! The request table: one entry for each client's request that is owed an answer or is established.

use cottonnotch_decision::{Micros, Outcome, Request, RequestId, ServerId};
use cottonnotch_reactor::Key;
use std::collections::{BTreeMap, HashSet};

/// A client's request as the driver knows it.
#[derive(Debug)]
pub struct TrackedRequest {
    /// Its number in the decision module.
    pub id: RequestId,
    /// Its class, by the settings' number.
    pub class: u32,
    /// Its id on the wire.
    pub wire_id: u64,
    /// Where its latest attempt went, and that attempt's number.
    pub latest_attempt: Option<(ServerId, u32)>,
    /// Attempts made so far.
    pub attempts: u32,
    /// While an attempt is in flight: when it began.
    pub attempt_began: Option<Micros>,
    /// The group whose requests share endpoints.
    pub group: Option<u64>,
    /// How far it is.
    pub stage: Stage,
    /// How the attempt before ended, if there was one.
    pub last_outcome: Option<Outcome>,
}

impl TrackedRequest {
    /// A request without an attempt.
    pub fn new(id: RequestId, class: u32, wire_id: u64, group: Option<u64>) -> Self {
        let (latest_attempt, attempt_began, last_outcome) = (None, None, None);
        TrackedRequest {
            id,
            class,
            wire_id,
            latest_attempt,
            attempts: 0,
            attempt_began,
            group,
            stage: Stage::AwaitingAnswer,
            last_outcome,
        }
    }

    /// The latest attempt's number among all that were made, those that reopen a connection too.
    pub fn latest_attempt_number(&self) -> u32 {
        self.attempts.saturating_sub(1)
    }
}

/// How far it is.
#[derive(Debug, PartialEq)]
pub enum Stage {
    /// One final answer is owed.
    AwaitingAnswer,
    /// Open before the start: it goes to one endpoint, and the decision module hears of it when it is established.
    Reopening(Box<Request>),
    /// The connection is established.
    Established,
}

/// All requests, found by their object on the loop, by the module's number, or by their id on the wire.
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

    /// Adds a request; its number and its id on the wire are no other one's.
    pub fn insert(&mut self, key: Key, tracked: TrackedRequest) {
        self.keys.insert(tracked.id, key);
        self.wire_ids.insert(tracked.wire_id);
        self.by_key.insert(key, tracked);
    }

    /// Removes a request that is over.
    pub fn remove(&mut self, key: Key) -> Option<TrackedRequest> {
        let tracked = self.by_key.remove(&key)?;
        self.keys.remove(&tracked.id);
        self.wire_ids.remove(&tracked.wire_id);
        Some(tracked)
    }

    /// The request of this object.
    pub fn get(&self, key: Key) -> Option<&TrackedRequest> {
        self.by_key.get(&key)
    }

    /// The request of this object, to be changed.
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

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Those whose attempt is in flight, and where it goes.
    pub fn attempted(&self) -> impl Iterator<Item = (Key, ServerId)> {
        let in_flight = self.by_key.iter().filter(|(_, tracked)| tracked.attempt_began.is_some());
        in_flight.filter_map(|(key, tracked)| Some((*key, tracked.latest_attempt?.0)))
    }

    /// Those that were open before the start and are not established again.
    pub fn reopening(&self) -> Vec<Key> {
        let reopening =
            self.by_key.iter().filter(|(_, tracked)| matches!(tracked.stage, Stage::Reopening(_)));
        reopening.map(|(key, _)| *key).collect()
    }

    /// Those that are established.
    pub fn established(&self) -> impl Iterator<Item = (Key, RequestId)> {
        let established = self.by_key.iter().filter(|(_, tracked)| tracked.stage == Stage::Established);
        established.map(|(key, tracked)| (*key, tracked.id))
    }
}

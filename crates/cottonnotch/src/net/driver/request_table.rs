//! The request table: one entry for each client's request that is owed an answer or is established.

use cottonnotch_decision::{Micros, Outcome, Request, RequestId, ServerId};
use cottonnotch_reactor::Key;
use std::collections::BTreeMap;

/// The driver's state of a client's request.
#[derive(Debug)]
pub struct TrackedRequest {
    /// The request's id in the decision module.
    pub id: RequestId,
    /// The number that the settings assign to the request's class.
    pub class: u32,
    /// The request's id on the wire.
    pub wire_id: u64,
    /// The endpoint of the latest attempt, and the attempt's number.
    pub latest_attempt: Option<(ServerId, u32)>,
    /// The number of attempts made so far.
    pub attempts: u32,
    /// When the attempt in flight began, or `None` if no attempt is in flight.
    pub attempt_began: Option<Micros>,
    /// The group whose requests share endpoints.
    pub group: Option<u64>,
    /// The stage that the request has reached.
    pub stage: Stage,
    /// The outcome of the previous attempt, if there was one.
    pub last_outcome: Option<Outcome>,
    /// Whether the last byte of the line of the attempt in flight was written.
    pub attempt_written: bool,
    /// Whether an earlier attempt may have run, or the connection is established. An attempt to reopen a connection
    /// runs nothing: it may be repeated.
    pub has_run: bool,
}

impl TrackedRequest {
    /// Creates a request without attempts.
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
            attempt_written: false,
            has_run: false,
        }
    }

    /// Whether an endpoint may have executed the request.
    pub fn may_have_run(&self) -> bool {
        self.has_run || self.attempt_written && !self.is_reopening()
    }

    /// Whether the connection was open before this process started and is not established again yet. The decision
    /// module does not know such a request.
    pub fn is_reopening(&self) -> bool {
        matches!(self.stage, Stage::Reopening(_) | Stage::AwaitingList(_))
    }

    /// The number of the latest attempt, counting all attempts including those that reopen a connection.
    pub fn latest_attempt_number(&self) -> u32 {
        self.attempts.saturating_sub(1)
    }
}

/// The stage of a request.
#[derive(Debug, PartialEq)]
pub enum Stage {
    /// The client is owed a final answer.
    AwaitingAnswer,
    /// The connection was open before this process started and is to be reopened at the same endpoint. The decision
    /// module learns of the request once the connection is established.
    Reopening(Box<Request>),
    /// The same, but its endpoint is not listed yet.
    AwaitingList(Box<UnlistedRequest>),
    /// The connection is established.
    Established,
}

/// A request whose connection was open before this process started, at an endpoint that is not listed yet.
#[derive(Debug, PartialEq)]
pub struct UnlistedRequest {
    /// The request.
    pub request: Request,
    /// The endpoint's id, as the client named it.
    pub endpoint: String,
    /// When the request was received.
    pub since: Micros,
}

/// All requests, indexed by the key of the client's connection and by the decision module's id.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_key: BTreeMap<Key, TrackedRequest>,
    keys: BTreeMap<RequestId, Key>,
    last_id: u64,
}

impl RequestTable {
    /// Returns an id that no earlier request had.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Adds a request. No other request in the table may have the same id.
    pub fn insert(&mut self, key: Key, tracked: TrackedRequest) {
        self.keys.insert(tracked.id, key);
        self.by_key.insert(key, tracked);
    }

    /// Removes a request that is over.
    pub fn remove(&mut self, key: Key) -> Option<TrackedRequest> {
        let tracked = self.by_key.remove(&key)?;
        self.keys.remove(&tracked.id);
        Some(tracked)
    }

    /// The request of the client connection with this key.
    pub fn get(&self, key: Key) -> Option<&TrackedRequest> {
        self.by_key.get(&key)
    }

    /// Mutable access to the request of the client connection with this key.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut TrackedRequest> {
        self.by_key.get_mut(&key)
    }

    /// The key of the request's client connection, or `None` if the request is over.
    pub fn key(&self, request: RequestId) -> Option<Key> {
        self.keys.get(&request).copied()
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// The requests with an attempt in flight, and the attempts' endpoints.
    pub fn in_flight(&self) -> impl Iterator<Item = (Key, ServerId)> {
        let with_attempt = self.by_key.iter().filter(|(_, tracked)| tracked.attempt_began.is_some());
        with_attempt.filter_map(|(key, tracked)| Some((*key, tracked.latest_attempt?.0)))
    }

    /// The requests that were open before this process started and are not established again yet.
    pub fn reopening(&self) -> Vec<Key> {
        let reopening = self.by_key.iter().filter(|(_, tracked)| tracked.is_reopening());
        reopening.map(|(key, _)| *key).collect()
    }

    /// The requests whose connection is established.
    pub fn established(&self) -> impl Iterator<Item = (Key, RequestId)> {
        let established = self.by_key.iter().filter(|(_, tracked)| tracked.stage == Stage::Established);
        established.map(|(key, tracked)| (*key, tracked.id))
    }
}

//! Clients and their requests: what clients report becomes events of the decision module, and its actions on requests
//! are carried out on the clients' connections.

mod admission;
mod attempts;
mod endings;

pub use attempts::AttemptPlan;

use super::message_latency::MessageLatency;
use super::request_table::{RequestTable, TrackedRequest};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;

/// Clients that have sent a request.
#[derive(Default)]
pub struct Clients {
    requests: RequestTable,
    /// Connections from before the start that wait for another attempt to reopen them.
    reopening: Vec<Key>,
    socket_shortage_log: RateLimitedLog,
    rejection_log: RateLimitedLog,
}

impl Clients {
    /// The requests that are owed an answer or are established.
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// How many requests are in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    fn remove(&mut self, latency: &mut MessageLatency, key: Key) -> Option<TrackedRequest> {
        let tracked = self.requests.remove(key)?;
        latency.remove_request(&tracked);
        Some(tracked)
    }
}

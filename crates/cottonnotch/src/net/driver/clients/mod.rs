//! Clients and their requests: turns what clients report into events of the decision module, and carries out the
//! module's actions on the clients' connections.

mod admission;
mod attempts;
mod endings;

pub use attempts::AttemptPlan;

use super::context::Context;
use super::message_latency::MessageLatency;
use super::open_ids::OpenIds;
use super::request_table::{RequestTable, TrackedRequest};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;

/// The clients that have sent a request.
#[derive(Default)]
pub struct Clients {
    requests: RequestTable,
    open_ids: OpenIds,
    /// Connections that were open before this process started and wait for another attempt to reopen them.
    reopening: Vec<Key>,
    socket_shortage_log: RateLimitedLog,
    unverified_log: RateLimitedLog,
    rejection_log: RateLimitedLog,
}

impl Clients {
    /// The requests that are owed an answer or are established.
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// The ids of open requests.
    pub fn open_ids(&mut self) -> &mut OpenIds {
        &mut self.open_ids
    }

    /// The number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    fn remove(
        &mut self,
        context: &Context,
        latency: &mut MessageLatency,
        key: Key,
    ) -> Option<TrackedRequest> {
        let tracked = self.requests.remove(key)?;
        let idempotency = context.config.profile.settings.idempotency(tracked.class as usize);
        if tracked.may_have_run() && !idempotency.may_reject() {
            self.open_ids.retire(context.now(), tracked.wire_id);
        } else {
            self.open_ids.release(tracked.wire_id);
        }
        latency.remove_request(&tracked);
        Some(tracked)
    }
}

//! The requests of one node, and the queue of those that wait for a server.

use crate::interface::*;
use crate::pending_request::PendingRequest;
use std::collections::BTreeMap;

/// The requests that are still owed an answer, and the connections that requests became.
#[derive(Debug, Default)]
pub(super) struct Requests {
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for a server, in the order in which they were queued.
    pub(super) queued: Vec<RequestId>,
    /// When the next timer for the queue fires; `None` if none is set.
    pub(super) wake_up_at: Option<Micros>,
}

impl Requests {
    pub(super) fn set_load(&mut self, id: RequestId, load: f64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.request.load_hint = Some(load);
        }
    }
}

//! The requests of one node, and which of them are queued.

use crate::interface::*;
use crate::pending_request::PendingRequest;
use std::collections::BTreeMap;

/// The requests to which something is owed, and the connections that were made of them.
#[derive(Debug, Default)]
pub(super) struct Requests {
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    /// Those that wait for a server, in the order in which they were queued.
    pub(super) queued: Vec<RequestId>,
    /// When the soonest timer for the queue fires.
    pub(super) wake_up: Option<Micros>,
}

impl Requests {
    pub(super) fn set_load(&mut self, id: RequestId, load: f64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.request.load_hint = Some(load);
        }
    }
}

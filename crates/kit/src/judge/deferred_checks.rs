//! Checks that wait until observations up to a later time of the run have been processed.

use super::incarnation::IncarnationId;
use crate::observation::{Attempt, RequestId};
use crate::plan::ProxyId;
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A check that is evaluated on the observations up to its due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeferredCheck {
    /// Did a render node issue the receipt that the client read?
    Receipt(RequestId),
    /// Was the late answer read at about the time at which the client gave up?
    LateAnswer(RequestId),
    /// Is a request that ended without an answer excused?
    MissingAnswer(RequestId),
    /// Are an attempt (by its index) and an earlier one both still in flight?
    OverlappingAttempts(RequestId, u32),
    /// Has a client sent this request to the proxy that forwarded it? The last field is the time of the attempt.
    UnknownRequest(RequestId, Attempt, ProxyId, Micros),
    /// Had the render node ended the connection that the proxy ended?
    CutConnection(RequestId),
    /// Has the line reached the render node?
    LineToNode(RequestId, u32),
    /// Has the line reached the client?
    LineToClient(RequestId, u32),
    /// Is a connection that its render node ended still open?
    EndedConnection(RequestId),
    /// Is a connection whose line was not returned still open?
    SilentConnection(RequestId, u32),
    /// The request can be removed.
    ForgetRequest(RequestId),
    /// Was the misbehaving client answered by its deadline?
    MisbehavingClient(u32),
    /// Has the terminated proxy exited?
    ShutdownDeadline(IncarnationId),
}

/// Pending checks, ordered by due time; checks with the same due time run in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct DeferredChecks {
    heap: BinaryHeap<Reverse<(Micros, u64, DeferredCheck)>>,
    added: u64,
}

impl DeferredChecks {
    pub fn add(&mut self, due: Micros, check: DeferredCheck) {
        self.added += 1;
        self.heap.push(Reverse((due, self.added, check)));
    }

    /// Removes and returns the next check that is due before `time`. A check that is due at `time` itself stays, since
    /// it includes the observations of that time.
    pub fn next_before(&mut self, time: Micros) -> Option<(Micros, DeferredCheck)> {
        let Reverse((due, ..)) = self.heap.peek()?;
        if *due >= time {
            return None;
        }
        self.heap.pop().map(|Reverse((due, _, check))| (due, check))
    }
}

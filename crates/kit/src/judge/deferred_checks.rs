//! What is to be looked at again when its time has come.

use super::processes::IncarnationId;
use crate::observation::{Attempt, RequestId};
use crate::plan::ProxyId;
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A question that is answered by what has been seen until a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DeferredCheck {
    /// Has the render node noted the receipt that the client read?
    Receipt(RequestId),
    /// Was the late answer read in the moment in which the client gave up?
    LateAnswer(RequestId),
    /// Is a request that ended without an answer lost?
    MissingAnswer(RequestId),
    /// Are an attempt (by its place) and an earlier one both still out?
    OverlappingAttempts(RequestId, u32),
    /// Has a client put this request to the proxy that sent it on? Since when that is asked.
    UnknownRequest(RequestId, Attempt, ProxyId, Micros),
    /// Had the render node ended the connection that the proxy ended?
    CutConnection(RequestId),
    /// Has the line reached the render node?
    LineToNode(RequestId, u32),
    /// Has it reached the client?
    LineToClient(RequestId, u32),
    /// Is a connection still kept that its render node ended?
    EndedConnection(RequestId),
    /// Is one still kept whose line was not returned?
    SilentConnection(RequestId, u32),
    /// Nothing is asked of it any more.
    ForgetRequest(RequestId),
    /// Was the rude client dealt with?
    MisbehavingClient(u32),
    /// Has the proxy left?
    ShutdownDeadline(IncarnationId),
}

/// All of them, by time; those of one moment in the order in which they were added.
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

    /// The next one that is due before this time. What is seen at the very time of a check still counts for it.
    pub fn next_before(&mut self, time: Micros) -> Option<(Micros, DeferredCheck)> {
        let Reverse((due, ..)) = self.heap.peek()?;
        if *due >= time {
            return None;
        }
        self.heap.pop().map(|Reverse((due, _, check))| (due, check))
    }
}

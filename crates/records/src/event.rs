//! The events of the schema.

use crate::endpoint::{EndpointChange, EndpointState};
use crate::hex::Hex;
use crate::names::{Name, Reason};
use crate::process::{PeerState, Reload};
use crate::request::{Answer, AppliedRules, MoveReason, Outcome};
use serde::{Deserialize, Serialize};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The proxy has started; always `seq` 0.
    Start {
        /// The proxy's name, the same after a restart.
        name: Name,
        /// Tells this run of the process from any other under its name.
        incarnation: u64,
        /// Its process.
        pid: u32,
        /// The program's version.
        version: Reason,
    },
    /// Discovery's list, or a change of it, was applied.
    List {
        /// The list's version.
        revision: u64,
        /// The list names every endpoint: one that is missing has been removed.
        complete: bool,
        /// The endpoints that it names.
        changes: Vec<EndpointChange>,
    },
    /// The proxy's own view of an endpoint has changed.
    #[serde(rename = "subchannel")]
    Endpoint {
        /// The endpoint's name on discovery's list.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// The state from now on.
        #[serde(flatten)]
        state: EndpointState,
    },
    /// A request was taken: one final answer is owed.
    Request {
        /// The proxy's own number of it, never given twice in an incarnation.
        request: u64,
        /// The id that the client gave.
        wire_id: Hex,
        /// Its class.
        class: Name,
        /// Its tenant, if the client named one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<Name>,
        /// How long the client waits, if it said so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        deadline_ms: Option<u32>,
        /// The group that it shares work with, if the client named one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        group: Option<Hex>,
        /// The client came again, or marked a repeat.
        #[serde(rename = "again")]
        is_retry: bool,
    },
    /// An attempt began.
    Attempt {
        /// The request.
        request: u64,
        /// Its number, from 0 in the order sent.
        attempt: u32,
        /// The endpoint that it goes to.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// It ends as timed out after this; 0: when the client gives up.
        timeout_ms: u32,
        /// The rules by which it may go there, where there are rules.
        #[serde(rename = "ruled", default, skip_serializing_if = "Option::is_none")]
        applied_rules: Option<Box<AppliedRules>>,
    },
    /// An attempt ended without `UP`.
    AttemptEnded {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Since it began.
        took_us: u64,
    },
    /// An attempt brought `UP`: the connection is established.
    Up {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// The endpoint that it goes to.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// Since the attempt began.
        took_us: u64,
    },
    /// The final answer was given.
    Answer {
        /// The request.
        request: u64,
        /// The answer.
        #[serde(flatten)]
        answer: Answer,
    },
    /// A client was rejected before it had a request.
    #[serde(rename = "turned_away")]
    ClientRejected {
        /// What was wrong.
        #[serde(rename = "why")]
        reason: Reason,
    },
    /// A client was sent `MOVE`.
    Moved {
        /// The request of the connection.
        request: u64,
        /// The endpoint that served it.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// The reason.
        #[serde(rename = "why")]
        reason: MoveReason,
    },
    /// A connection that was up is over.
    Ended {
        /// The request.
        request: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// The client left before its final answer.
    ClientLeft {
        /// The request.
        request: u64,
    },
    /// The configuration was read again.
    Reload {
        /// The result.
        #[serde(flatten)]
        reload: Reload,
    },
    /// The believed state of another proxy has changed.
    Peer {
        /// Its number in the list of peers.
        peer: u32,
        /// The state from now on.
        state: PeerState,
        /// Tells this run of its process from any other, as it says; 0: not heard yet.
        incarnation: u64,
    },
    /// A shutdown began.
    Shutdown {},
    /// The last record of an incarnation that ended in order; written by [`Recorder::close`](crate::Recorder::close).
    Stop {},
    /// Written by the writer alone, in place of records that were dropped by a full queue or a failed write. Its `seq`
    /// is the last dropped one's: it stands for `since_seq` up to `seq`.
    Dropped {
        /// How many were dropped.
        count: u64,
        /// The first of them.
        since_seq: u64,
    },
}

impl Event {
    /// Every event's name, as lines have it.
    pub const NAMES: [&str; 17] = [
        "start",
        "list",
        "subchannel",
        "request",
        "attempt",
        "attempt_ended",
        "up",
        "answer",
        "turned_away",
        "moved",
        "ended",
        "client_left",
        "reload",
        "peer",
        "shutdown",
        "stop",
        "dropped",
    ];
}

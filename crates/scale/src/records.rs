//! The record of a run: what happened at which member and when, in plain figures, for whoever judges it.

use serde::{Deserialize, Serialize};

/// Something that happened at a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time in microseconds of a clock that all members share.
    pub at: i64,
    /// Ordinal of the member.
    pub member: u32,
    /// What happened.
    #[serde(rename = "what")]
    pub event: MemberEvent,
}

/// An event at a member. The serialized names are those of earlier records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberEvent {
    /// Its process has started.
    #[serde(rename = "Began")]
    Started,
    /// Its process has stopped, without notifying anybody.
    #[serde(rename = "Ended")]
    Stopped,
    /// It holds a lease on this version from now on, or on none.
    #[serde(rename = "May")]
    LeaseChanged {
        /// Number and content of the version; `None`: it holds no lease.
        version: Option<(u64, u32)>,
        /// Kind of the content; contents of different kinds are incompatible.
        kind: u8,
        /// Expiry, by the member's own clock.
        until: i64,
    },
    /// An operator has proposed a content at this member.
    Proposed {
        /// The content.
        content: u32,
    },
    /// Its proposal has finished.
    #[serde(rename = "Over")]
    ProposalFinished {
        /// The proposed content.
        content: u32,
        /// Whether the content is in force.
        in_force: bool,
    },
    /// It has received a fleet snapshot.
    #[serde(rename = "View")]
    SnapshotReceived {
        /// Members whose reports the snapshot sums up.
        members: u32,
    },
    /// It requests snapshots from this aggregator; `None`: no aggregator has answered.
    #[serde(rename = "Keeper")]
    AggregatorChanged(Option<u32>),
    /// Its verdict on the liveness of another member has changed.
    #[serde(rename = "Dead")]
    LivenessChanged {
        /// The other member.
        of: u32,
        /// Whether the other member is considered dead.
        #[serde(rename = "is")]
        is_dead: bool,
    },
    /// It has applied an endpoint list.
    #[serde(rename = "Listed")]
    EndpointsReceived {
        /// Revision of the list.
        revision: u64,
        /// Nodes in the list.
        nodes: u32,
    },
}

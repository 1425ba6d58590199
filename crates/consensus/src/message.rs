//! The messages of the protocol. The size of a message doesn't depend on the number of members.
//!
//! The encoding depends on the order of variants and fields. This order must not change.

use crate::list_revision::ListRevision;
use crate::state::{MAX_RESULTS, Pending, ProposalId, ProposalOutcome, State, StateRevision, Topic, Version};
use crate::{ContentHash, Micros};
use serde::{Deserialize, Serialize};

/// The content of one datagram, which is below 1,000 bytes when encoded with postcard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate requests the votes of the other voters.
    VoteRequest {
        /// The term that the candidate would lead.
        term: u64,
        /// Whether this is a pre-vote, whose answer doesn't bind the voter.
        pre_vote: bool,
        /// The revision of the candidate's state.
        revision: StateRevision,
    },
    /// A voter answers a vote request.
    VoteResponse {
        /// If the vote was granted, the term of the vote; otherwise, the current term of the voter.
        term: u64,
        /// Whether the request was for a pre-vote.
        pre_vote: bool,
        /// Whether the voter votes for the candidate.
        granted: bool,
    },
    /// The leader sends a heartbeat to the other voters.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// When the leader sent the heartbeat, by its own clock.
        round: Micros,
        /// The revision of the leader's state.
        revision: StateRevision,
        /// The state of the leader, sent until the voter has acknowledged this revision.
        state: Option<Box<State>>,
    },
    /// A voter acknowledges a heartbeat.
    HeartbeatAck {
        /// The voter's term.
        term: u64,
        /// The `round` of the heartbeat.
        round: Micros,
        /// The revision of the voter's state.
        revision: StateRevision,
    },
    /// A voter that lost its durable state asks the other voters for their state.
    RecoveryRequest {
        /// Distinguishes answers to this request from answers to earlier requests.
        nonce: u64,
    },
    /// A voter answers a recovery request.
    RecoveryResponse {
        /// The nonce of the request.
        nonce: u64,
        /// The greatest term that the answering voter knows.
        term: u64,
        /// The revision of `state`.
        revision: StateRevision,
        /// The newest state that the answering voter accepted.
        state: Box<State>,
    },
    /// A member requests leases from the leader.
    LeaseRequest(Box<LeaseRequest>),
    /// The leader grants leases to a member.
    LeaseGrant(Box<LeaseGrant>),
    /// A voter that doesn't lead answers a lease request.
    LeaderHint {
        /// The `sent_at` of the request.
        echo: Micros,
        /// The ordinal of the leader, as far as the voter knows.
        leader: Option<u16>,
    },
    /// The leader tells members that the state changed and that they should renew their leases now.
    Announce {
        /// The revision of the new state.
        revision: StateRevision,
        /// The pending version of each topic.
        pending: [Option<Pending>; 2],
    },
    /// A proposer sends a proposal to the leader, and repeats it until the outcome arrives.
    Propose {
        /// Identifies the proposal.
        id: ProposalId,
        /// The topic.
        topic: Topic,
        /// The content's hash.
        hash: ContentHash,
        /// The content's size in bytes.
        size: u32,
    },
    /// The leader tells a proposer the outcome of its proposal.
    ProposalFinished {
        /// Identifies the proposal.
        id: ProposalId,
        /// How the proposal ended.
        outcome: ProposalOutcome,
    },
}

/// A member's request for leases, with the information about the member that the leader needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The incarnation of the member.
    pub incarnation: u64,
    /// The time of sending by the member's clock, greater than in every earlier request. The lease is counted from this
    /// time.
    pub sent_at: Micros,
    /// For each topic, the number of the version that the member acts on.
    pub active: [Option<u64>; 2],
    /// For each topic, the number below which the member will never act on a version again.
    pub revoked_below: [u64; 2],
    /// For each topic, the number of the pending version if the member is ready to run it.
    pub ready: [Option<u64>; 2],
    /// For each topic, the number of the pending version if the member can't run it.
    pub unsupported: [Option<u64>; 2],
    /// The revision of the newest endpoint list that discovery sent to the member.
    pub list: ListRevision,
}

/// The leader's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The incarnation in the request.
    pub incarnation: u64,
    /// The `sent_at` of the request.
    pub echo: Micros,
    /// The revision of the state that the leases are granted from.
    pub revision: StateRevision,
    /// For each topic, the version that the member may act on.
    pub versions: [Option<Version>; 2],
    /// The pending version of each topic.
    pub pending: [Option<Pending>; 2],
    /// The revision of the newest endpoint list that discovery sent to any member.
    pub list: ListRevision,
}

/// Numbers, terms and times in received messages must be below this limit, so that sums with them can't overflow.
const MAX_VALUE: u64 = 1 << 60;

fn is_bounded(number: u64) -> bool {
    number < MAX_VALUE
}

fn is_bounded_time(time: Micros) -> bool {
    is_bounded(time.unsigned_abs())
}

impl StateRevision {
    fn bounded(&self) -> bool {
        is_bounded(self.term) && is_bounded(self.seq)
    }
}

impl Version {
    fn bounded(&self) -> bool {
        is_bounded(self.number) && self.compatible_from <= self.number
    }
}

impl State {
    fn bounded(&self) -> bool {
        self.topics.iter().all(|topic| {
            topic.results.len() <= MAX_RESULTS
                && is_bounded(topic.last_number)
                && topic.in_force.is_none_or(|version| version.bounded())
                && topic.pending.is_none_or(|pending| pending.version.bounded())
        })
    }
}

impl LeaseGrant {
    fn bounded(&self) -> bool {
        is_bounded_time(self.echo)
            && self.revision.bounded()
            && self.versions.iter().flatten().all(|version| version.bounded())
            && all_bounded(&self.pending)
            && is_bounded(self.list.epoch)
    }
}

fn all_bounded(pending: &[Option<Pending>; 2]) -> bool {
    pending.iter().flatten().all(|pending| pending.version.bounded())
}

impl Message {
    /// Checks the limits that decoding itself doesn't check. A message that exceeds a limit must be dropped;
    /// [`crate::Member::handle`] also drops it.
    pub fn bounded(&self) -> bool {
        match self {
            Message::VoteRequest { term, revision, .. } => is_bounded(*term) && revision.bounded(),
            Message::VoteResponse { term, .. } => is_bounded(*term),
            Message::Heartbeat { term, round, revision, state } => {
                is_bounded(*term)
                    && is_bounded_time(*round)
                    && revision.bounded()
                    && state.as_ref().is_none_or(|state| state.bounded())
            }
            Message::HeartbeatAck { term, round, revision } => {
                is_bounded(*term) && is_bounded_time(*round) && revision.bounded()
            }
            Message::RecoveryRequest { .. }
            | Message::LeaderHint { .. }
            | Message::Propose { .. }
            | Message::ProposalFinished { .. } => true,
            Message::RecoveryResponse { term, revision, state, .. } => {
                is_bounded(*term) && revision.bounded() && state.bounded()
            }
            Message::LeaseRequest(request) => {
                is_bounded_time(request.sent_at) && is_bounded(request.list.epoch)
            }
            Message::LeaseGrant(grant) => grant.bounded(),
            Message::Announce { revision, pending } => revision.bounded() && all_bounded(pending),
        }
    }

    /// Whether the message is sent by one voter to another.
    pub(crate) fn is_among_voters(&self) -> bool {
        matches!(
            self,
            Message::VoteRequest { .. }
                | Message::VoteResponse { .. }
                | Message::Heartbeat { .. }
                | Message::HeartbeatAck { .. }
                | Message::RecoveryRequest { .. }
                | Message::RecoveryResponse { .. }
        )
    }

    /// Whether the message may only be sent by a voter.
    pub(crate) fn is_from_voter(&self) -> bool {
        self.is_among_voters()
            || matches!(
                self,
                Message::LeaseGrant(_)
                    | Message::LeaderHint { .. }
                    | Message::Announce { .. }
                    | Message::ProposalFinished { .. }
            )
    }
}

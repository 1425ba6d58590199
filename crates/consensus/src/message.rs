//! The messages of the protocol. No message grows with the number of members.
//!
//! Encoded by the order of variants and fields: that order must not change.

use crate::list_revision::ListRevision;
use crate::state::{MAX_RESULTS, Pending, ProposalId, ProposalOutcome, State, StateRevision, Topic, Version};
use crate::{ContentHash, Micros};
use serde::{Deserialize, Serialize};

/// One datagram's content; below 1,000 bytes as postcard encodes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Candidate to voters.
    VoteRequest {
        /// The term that the candidate would lead.
        term: u64,
        /// A pre-vote: the answer binds nobody.
        pre_vote: bool,
        /// The revision of the candidate's state.
        revision: StateRevision,
    },
    /// Voter to candidate.
    VoteResponse {
        /// The term voted in; if not granted, the voter's.
        term: u64,
        /// As in the request.
        pre_vote: bool,
        /// Whether the voter votes for the candidate.
        granted: bool,
    },
    /// Leader to voters.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// When the leader sent it, by its clock.
        round: Micros,
        /// The revision of the leader's state.
        revision: StateRevision,
        /// The state, for a voter that isn't known to have it.
        state: Option<Box<State>>,
    },
    /// Voter to leader.
    HeartbeatAck {
        /// The voter's term.
        term: u64,
        /// As in the heartbeat.
        round: Micros,
        /// The revision of the voter's state.
        revision: StateRevision,
    },
    /// A voter that lost its durable state to the other voters.
    RecoveryRequest {
        /// Tells answers to this request from answers to earlier ones.
        nonce: u64,
    },
    /// The answer to a voter that recovers.
    RecoveryResponse {
        /// As in the request.
        nonce: u64,
        /// The greatest term known.
        term: u64,
        /// The revision of `state`.
        revision: StateRevision,
        /// The newest state accepted.
        state: Box<State>,
    },
    /// Member to leader.
    LeaseRequest(Box<LeaseRequest>),
    /// Leader to member.
    LeaseGrant(Box<LeaseGrant>),
    /// A voter that doesn't lead to a member that requested a lease.
    LeaderHint {
        /// The request's time, as sent.
        echo: Micros,
        /// Who leads, as far as the voter knows.
        leader: Option<u16>,
    },
    /// Leader to members, unasked: the state changed, renew now.
    Announce {
        /// The revision of the new state.
        revision: StateRevision,
        /// The pending versions, by topic.
        pending: [Option<Pending>; 2],
    },
    /// Proposer to leader; retried until the outcome arrives.
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
    /// Leader to proposer.
    ProposalFinished {
        /// Identifies the proposal.
        id: ProposalId,
        /// How it ended.
        outcome: ProposalOutcome,
    },
}

/// A member's request for leases, with what the leader must know of the member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The member's incarnation.
    pub incarnation: u64,
    /// By the member's clock, greater than in any request before. The lease counts from here.
    pub sent_at: Micros,
    /// The number that the member acts on, by topic.
    pub active: [Option<u64>; 2],
    /// The member never again acts on a number below, by topic.
    pub revoked_below: [u64; 2],
    /// The pending number that the member is ready to run, by topic.
    pub ready: [Option<u64>; 2],
    /// The pending number that the member cannot run, by topic.
    pub unsupported: [Option<u64>; 2],
    /// The newest endpoint list that discovery sent to the member.
    pub list: ListRevision,
}

/// The leader's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The request's incarnation.
    pub incarnation: u64,
    /// The request's time, as sent.
    pub echo: Micros,
    /// The revision of the state that the leases are granted from.
    pub revision: StateRevision,
    /// The version that the member may act on, by topic.
    pub versions: [Option<Version>; 2],
    /// The pending version, by topic.
    pub pending: [Option<Pending>; 2],
    /// The newest endpoint list that discovery sent to any member.
    pub list: ListRevision,
}

/// Numbers, terms and times from outside must be below this, so that sums with them can't overflow.
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
    /// Whether a decoded message keeps the bounds that decoding itself doesn't check. A message that doesn't must be
    /// dropped; [`crate::Member::handle`] does so too.
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

    /// Whether one voter sends it to another.
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

    /// Whether only voters send it.
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

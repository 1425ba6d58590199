//! What members tell one another. Nothing here grows with the number of members.

use crate::list_revision::ListRevision;
use crate::state::{MAX_RESULTS, ProposalId, ProposalOutcome, State, StateRevision};
use crate::{ContentHash, Micros, Pending, Topic, Version};
use serde::{Deserialize, Serialize};

/// One datagram's worth; postcard makes less than 1,000 bytes of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Candidate to voters: vote for me.
    VoteRequest {
        /// The term it would lead.
        term: u64,
        /// Only asked, not begun: the answer binds nobody.
        pre_vote: bool,
        /// How new its state is.
        revision: StateRevision,
    },
    /// Voter to candidate.
    VoteResponse {
        /// The term voted in; if not granted, the voter's.
        term: u64,
        /// As asked.
        pre_vote: bool,
        /// Whether it votes for it.
        granted: bool,
    },
    /// Leader to voters: the round.
    Heartbeat {
        /// The leader's.
        term: u64,
        /// When the leader sent it, by its clock.
        round: Micros,
        /// Order of its state.
        revision: StateRevision,
        /// The state, for a voter that isn't known to have it.
        state: Option<Box<State>>,
    },
    /// Voter to leader: heard that round.
    HeartbeatAck {
        /// The voter's.
        term: u64,
        /// As in the round.
        round: Micros,
        /// Order of the newest state it has kept.
        revision: StateRevision,
    },
    /// A voter that lost its memory to the others: what do you know?
    RecoveryRequest {
        /// Tells answers to this question from earlier ones.
        nonce: u64,
    },
    /// The answer.
    RecoveryResponse {
        /// As asked.
        nonce: u64,
        /// The greatest term known.
        term: u64,
        /// Order of `state`.
        revision: StateRevision,
        /// The newest state accepted.
        state: Box<State>,
    },
    /// Member to leader: a lease, please.
    LeaseRequest(Box<LeaseRequest>),
    /// Leader to member.
    LeaseGrant(Box<LeaseGrant>),
    /// A voter that can't grant: ask that one.
    LeaderHint {
        /// The asking's time, as sent.
        echo: Micros,
        /// Who leads, as far as it knows.
        leader: Option<u16>,
    },
    /// Leader to members, unasked: something changed, renew now.
    Announce {
        /// Order of the state it tells of.
        revision: StateRevision,
        /// What is pending, by topic.
        pending: [Option<Pending>; 2],
    },
    /// Proposer to leader; again and again until it is over.
    Propose {
        /// Which.
        id: ProposalId,
        /// Of what.
        topic: Topic,
        /// The content.
        hash: ContentHash,
        /// Bytes of it.
        size: u32,
    },
    /// Leader to proposer.
    ProposalFinished {
        /// Which.
        id: ProposalId,
        /// How it ended.
        outcome: ProposalOutcome,
    },
}

/// A member's asking for leases, and what the leader has to know of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Which life of the member.
    pub incarnation: u64,
    /// Its own clock; always greater than in the one before. The lease counts from here.
    pub sent_at: Micros,
    /// The number it acts on, by topic.
    pub active: [Option<u64>; 2],
    /// It never again acts on anything below, by topic.
    pub revoked_below: [u64; 2],
    /// The pending number it is ready to run, by topic.
    pub ready: [Option<u64>; 2],
    /// The pending number it cannot run, by topic.
    pub unsupported: [Option<u64>; 2],
    /// The newest list of members it was told of.
    pub list: ListRevision,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The asking's.
    pub incarnation: u64,
    /// The asking's time, as sent.
    pub echo: Micros,
    /// Order of the state granted from.
    pub revision: StateRevision,
    /// What the member may act on, by topic.
    pub versions: [Option<Version>; 2],
    /// What is pending, by topic.
    pub pending: [Option<Pending>; 2],
    /// The newest list any member told of.
    pub list: ListRevision,
}

/// Numbers, terms and times from outside are below this, so that what is counted on from them can't overflow.
const MOST: u64 = 1 << 60;

fn small(number: u64) -> bool {
    number < MOST
}

fn near(time: Micros) -> bool {
    time.unsigned_abs() < MOST
}

impl StateRevision {
    fn bounded(&self) -> bool {
        small(self.term) && small(self.seq)
    }
}

impl Version {
    fn bounded(&self) -> bool {
        small(self.number) && self.compatible_from <= self.number
    }
}

impl State {
    fn bounded(&self) -> bool {
        self.topics.iter().all(|topic| {
            topic.results.len() <= MAX_RESULTS
                && small(topic.last_number)
                && topic.in_force.is_none_or(|version| version.bounded())
                && topic.pending.is_none_or(|pending| pending.version.bounded())
        })
    }
}

impl Message {
    /// Whether what was decoded keeps to the bounds that decoding itself doesn't check. A message that doesn't is to be
    /// dropped; [`crate::Member::handle`] does so too.
    pub fn bounded(&self) -> bool {
        let pending_bounded = |pending: &[Option<Pending>; 2]| {
            pending.iter().flatten().all(|pending| pending.version.bounded())
        };
        match self {
            Message::VoteRequest { term, revision, .. } => small(*term) && revision.bounded(),
            Message::VoteResponse { term, .. } => small(*term),
            Message::Heartbeat { term, round, revision, state } => {
                let state = state.as_ref().is_none_or(|state| state.bounded());
                small(*term) && near(*round) && revision.bounded() && state
            }
            Message::HeartbeatAck { term, round, revision } => {
                small(*term) && near(*round) && revision.bounded()
            }
            Message::RecoveryRequest { .. }
            | Message::LeaderHint { .. }
            | Message::Propose { .. }
            | Message::ProposalFinished { .. } => true,
            Message::RecoveryResponse { term, revision, state, .. } => {
                small(*term) && revision.bounded() && state.bounded()
            }
            Message::LeaseRequest(renew) => near(renew.sent_at) && small(renew.list.epoch),
            Message::LeaseGrant(grant) => {
                let versions = grant.versions.iter().flatten().all(|version| version.bounded());
                let list = small(grant.list.epoch);
                near(grant.echo)
                    && grant.revision.bounded()
                    && versions
                    && pending_bounded(&grant.pending)
                    && list
            }
            Message::Announce { revision, pending } => revision.bounded() && pending_bounded(pending),
        }
    }
}

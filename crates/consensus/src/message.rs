//! What members tell one another. Nothing here grows with the number of members.

use crate::lists::ListMark;
use crate::state::{ANSWERED, ProposalId, Stamp, State, Why};
use crate::{Hash, Micros, Pending, Topic, Version};
use serde::{Deserialize, Serialize};

/// One datagram's worth; postcard makes less than 1,000 bytes of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Candidate to voters: vote for me.
    Canvass {
        /// The term it would lead.
        term: u64,
        /// Only asked, not begun: the answer binds nobody.
        only_asked: bool,
        /// How new its state is.
        stamp: Stamp,
    },
    /// Voter to candidate.
    Vote {
        /// The term voted in; if not granted, the voter's.
        term: u64,
        /// As asked.
        only_asked: bool,
        /// Whether it votes for it.
        granted: bool,
    },
    /// Leader to voters: the round.
    Beat {
        /// The leader's.
        term: u64,
        /// When the leader sent it, by its clock.
        round: Micros,
        /// Order of its state.
        stamp: Stamp,
        /// The state, for a voter that isn't known to have it.
        state: Option<Box<State>>,
    },
    /// Voter to leader: heard that round.
    Heard {
        /// The voter's.
        term: u64,
        /// As in the round.
        round: Micros,
        /// Order of the newest state it has kept.
        stamp: Stamp,
    },
    /// A voter that lost its memory to the others: what do you know?
    Recover {
        /// Tells answers to this question from earlier ones.
        nonce: u64,
    },
    /// The answer.
    Recovered {
        /// As asked.
        nonce: u64,
        /// The greatest term known.
        term: u64,
        /// Order of `state`.
        stamp: Stamp,
        /// The newest state accepted.
        state: Box<State>,
    },
    /// Member to leader: a lease, please.
    Renew(Box<Renew>),
    /// Leader to member.
    Grant(Box<Grant>),
    /// A voter that can't grant: ask that one.
    Hint {
        /// The asking's time, as sent.
        echo: Micros,
        /// Who leads, as far as it knows.
        leader: Option<u16>,
    },
    /// Leader to members, unasked: something changed, renew now.
    Announce {
        /// Order of the state it tells of.
        stamp: Stamp,
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
        hash: Hash,
        /// Bytes of it.
        size: u32,
    },
    /// Leader to proposer.
    Over {
        /// Which.
        id: ProposalId,
        /// How it ended.
        why: Why,
    },
}

/// A member's asking for leases, and what the leader has to know of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renew {
    /// Which life of the member.
    pub incarnation: u64,
    /// Its own clock; always greater than in the one before. The lease counts from here.
    pub sent_at: Micros,
    /// The number it acts on, by topic.
    pub holds: [Option<u64>; 2],
    /// It never again acts on anything below, by topic.
    pub released_below: [u64; 2],
    /// The pending number it is ready to run, by topic.
    pub ready: [Option<u64>; 2],
    /// The pending number it cannot run, by topic.
    pub cannot: [Option<u64>; 2],
    /// The newest list of members it was told of.
    pub list: ListMark,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The asking's.
    pub incarnation: u64,
    /// The asking's time, as sent.
    pub echo: Micros,
    /// Order of the state granted from.
    pub stamp: Stamp,
    /// What the member may act on, by topic.
    pub versions: [Option<Version>; 2],
    /// What is pending, by topic.
    pub pending: [Option<Pending>; 2],
    /// The newest list any member told of.
    pub list: ListMark,
}

/// Numbers, terms and times from outside are below this, so that what is counted on from them can't overflow.
const MOST: u64 = 1 << 60;

fn small(number: u64) -> bool {
    number < MOST
}

fn near(time: Micros) -> bool {
    time.unsigned_abs() < MOST
}

impl Stamp {
    fn bounded(&self) -> bool {
        small(self.term) && small(self.seq)
    }
}

impl Version {
    fn bounded(&self) -> bool {
        small(self.number) && self.agrees_from <= self.number
    }
}

impl State {
    fn bounded(&self) -> bool {
        self.topics.iter().all(|topic| {
            topic.answered.len() <= ANSWERED
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
            Message::Canvass { term, stamp, .. } => small(*term) && stamp.bounded(),
            Message::Vote { term, .. } => small(*term),
            Message::Beat { term, round, stamp, state } => {
                let state = state.as_ref().is_none_or(|state| state.bounded());
                small(*term) && near(*round) && stamp.bounded() && state
            }
            Message::Heard { term, round, stamp } => small(*term) && near(*round) && stamp.bounded(),
            Message::Recover { .. }
            | Message::Hint { .. }
            | Message::Propose { .. }
            | Message::Over { .. } => true,
            Message::Recovered { term, stamp, state, .. } => {
                small(*term) && stamp.bounded() && state.bounded()
            }
            Message::Renew(renew) => near(renew.sent_at) && small(renew.list.epoch),
            Message::Grant(grant) => {
                let versions = grant.versions.iter().flatten().all(|version| version.bounded());
                let list = small(grant.list.epoch);
                near(grant.echo)
                    && grant.stamp.bounded()
                    && versions
                    && pending_bounded(&grant.pending)
                    && list
            }
            Message::Announce { stamp, pending } => stamp.bounded() && pending_bounded(pending),
        }
    }
}

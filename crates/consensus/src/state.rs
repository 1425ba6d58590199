//! What the voters replicate, and what one of them keeps across restarts.

use crate::{Hash, Micros};
use serde::{Deserialize, Serialize};

/// Outcomes of proposals the state remembers, a topic; so many proposers at one time are told apart from their echoes.
pub(crate) const ANSWERED: usize = 6;

/// What versions are of; each topic goes its own way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The rulebook.
    Rules,
    /// The settings.
    Settings,
}

impl Topic {
    /// All, in order.
    pub const ALL: [Topic; 2] = [Topic::Rules, Topic::Settings];

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// A version: content by its hash, with its place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Its place; never given twice.
    pub number: u64,
    /// What it contains.
    pub hash: Hash,
    /// Bytes of the content.
    pub size: u32,
    /// It agrees with all versions from this number on that were before it; its own number: with none.
    pub agrees_from: u64,
}

/// How far a pending version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Members get it and say whether they can run it; it may still be dropped.
    Prepare,
    /// Members let go of what it contradicts; it will be in force.
    Release,
}

/// One proposal, told from its echoes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// Whose.
    pub member: u16,
    /// Which life of it.
    pub incarnation: u64,
    /// Which one of that life; counts up.
    pub serial: u32,
}

/// A version on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pending {
    /// Which.
    pub version: Version,
    /// How far it is.
    pub phase: Phase,
    /// Who asked for it, and so has the content.
    pub proposal: ProposalId,
}

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Why {
    /// It is in force.
    InForce,
    /// A live member cannot run it.
    CannotRun,
    /// The embedder of the leader refused it, or said nothing of it.
    Refused,
    /// The leader, or most voters, couldn't get the content.
    Unfetched,
    /// The same process proposed another one since, before this one was asked for or before its answer came.
    Superseded,
}

/// What became of the newest proposal of one life of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answered {
    /// Which.
    pub proposal: ProposalId,
    /// How it ended.
    pub why: Why,
}

/// One topic's part of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicState {
    /// What leases are granted on.
    pub in_force: Option<Version>,
    /// What is to be in force next.
    pub pending: Option<Pending>,
    /// The greatest number given so far.
    pub last_number: u64,
    /// Outcomes, the newest last; at most a few.
    pub answered: Vec<Answered>,
}

impl TopicState {
    /// Notes how a proposal ended; one entry a life of a member.
    pub(crate) fn answer(&mut self, proposal: ProposalId, why: Why) {
        self.answered.retain(|answered| {
            (answered.proposal.member, answered.proposal.incarnation)
                != (proposal.member, proposal.incarnation)
        });
        if self.answered.len() >= ANSWERED {
            self.answered.remove(0);
        }
        self.answered.push(Answered { proposal, why });
    }

    /// How this proposal ended, if the state still knows.
    pub(crate) fn answer_to(&self, proposal: &ProposalId) -> Option<Why> {
        let newest = self.answered.iter().find(|answered| {
            (answered.proposal.member, answered.proposal.incarnation)
                == (proposal.member, proposal.incarnation)
        })?;
        match newest.proposal.serial.cmp(&proposal.serial) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(newest.why),
            std::cmp::Ordering::Greater => Some(Why::Superseded),
        }
    }
}

/// All that the voters agree on. Replicated as a whole: a log compacted into its last entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// By [`Topic`], in order.
    pub topics: [TopicState; 2],
}

impl State {
    /// One topic's part.
    pub fn topic(&self, topic: Topic) -> &TopicState {
        &self.topics[topic.index()]
    }

    pub(crate) fn topic_mut(&mut self, topic: Topic) -> &mut TopicState {
        &mut self.topics[topic.index()]
    }

    /// Whether this may follow `earlier`: numbers don't go back, and one number names one version.
    pub(crate) fn may_follow(&self, earlier: &State) -> bool {
        self.topics.iter().zip(&earlier.topics).all(|(new, old)| {
            let forward = match (&new.in_force, &old.in_force) {
                (Some(new), Some(old)) => new.number > old.number || new == old,
                (None, Some(_)) => false,
                (_, None) => true,
            };
            let within = new.in_force.is_none_or(|version| version.number <= new.last_number);
            let ahead = new.pending.is_none_or(|pending| {
                pending.version.number <= new.last_number
                    && new.in_force.is_none_or(|version| version.number < pending.version.number)
            });
            forward && within && ahead && new.last_number >= old.last_number
        })
    }
}

/// Orders states: the term of the leader that wrote it, then its count in that term and before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Counts up with each state written.
    pub seq: u64,
}

/// What a voter must not forget. Without it, see [`crate::Member::new`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    /// The greatest term known; votes go to candidates of this one only.
    pub term: u64,
    /// Whom this one voted for in `term`.
    pub voted: Option<u16>,
    /// Order of `state`.
    pub stamp: Stamp,
    /// The newest state accepted.
    pub state: State,
}

impl Memory {
    /// For the very first start of a cluster, by the operator's word. Never after a loss: with it, a voter that forgot
    /// may vote anew in a term, or for one that doesn't know what is in force. If all voters begin so a second time, all
    /// members have to start anew: those that live take no number below what they had.
    pub fn first() -> Self {
        Self { term: 0, voted: None, stamp: Stamp::default(), state: State::default() }
    }
}

/// A span by a clock that may run fast: no shorter than `span` in true time.
pub(crate) fn longer(span: Micros, drift_ppm: u32) -> Micros {
    span + span * Micros::from(drift_ppm) / 1_000_000 + 1
}

/// A span by a clock that may run slow: no longer than `span` in true time.
pub(crate) fn shorter(span: Micros, drift_ppm: u32) -> Micros {
    span - span * Micros::from(drift_ppm) / 1_000_000 - 1
}

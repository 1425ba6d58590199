//! What the voters replicate, and what one of them keeps across restarts.

use crate::ContentHash;
use serde::{Deserialize, Serialize};

/// Outcomes of proposals the state remembers, a topic; so many proposers at one time are told apart from their echoes.
pub(crate) const MAX_RESULTS: usize = 6;

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
    pub hash: ContentHash,
    /// Bytes of the content.
    pub size: u32,
    /// It agrees with all versions from this number on that were before it; its own number: with none.
    pub compatible_from: u64,
}

/// How far a pending version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Members get it and say whether they can run it; it may still be dropped.
    Prepare,
    /// Members let go of what it contradicts; it will be in force.
    Revoke,
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
pub enum ProposalOutcome {
    /// It is in force.
    InForce,
    /// A live member cannot run it.
    Unsupported,
    /// The embedder of the leader refused it, or said nothing of it.
    Rejected,
    /// The leader, or most voters, couldn't get the content.
    ContentUnavailable,
    /// The same process proposed another one since, before this one was asked for or before its answer came.
    Superseded,
}

/// What became of the newest proposal of one life of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalResult {
    /// Which.
    pub proposal: ProposalId,
    /// How it ended.
    pub outcome: ProposalOutcome,
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
    pub results: Vec<ProposalResult>,
}

impl TopicState {
    /// Notes how a proposal ended; one entry a life of a member.
    pub(crate) fn answer(&mut self, proposal: ProposalId, outcome: ProposalOutcome) {
        self.results.retain(|results| {
            (results.proposal.member, results.proposal.incarnation) != (proposal.member, proposal.incarnation)
        });
        if self.results.len() >= MAX_RESULTS {
            self.results.remove(0);
        }
        self.results.push(ProposalResult { proposal, outcome });
    }

    /// How this proposal ended, if the state still knows.
    pub(crate) fn answer_to(&self, proposal: &ProposalId) -> Option<ProposalOutcome> {
        let newest = self.results.iter().find(|results| {
            (results.proposal.member, results.proposal.incarnation) == (proposal.member, proposal.incarnation)
        })?;
        match newest.proposal.serial.cmp(&proposal.serial) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(newest.outcome),
            std::cmp::Ordering::Greater => Some(ProposalOutcome::Superseded),
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
pub struct StateRevision {
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Counts up with each state written.
    pub seq: u64,
}

/// What a voter must not forget. Without it, see [`crate::Member::new`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The greatest term known; votes go to candidates of this one only.
    pub term: u64,
    /// Whom this one voted for in `term`.
    pub voted: Option<u16>,
    /// Order of `state`.
    pub revision: StateRevision,
    /// The newest state accepted.
    pub state: State,
}

impl DurableState {
    /// For the very first start of a cluster, by the operator's word. Never after a loss: with it, a voter that forgot
    /// may vote anew in a term, or for one that doesn't know what is in force. If all voters begin so a second time, all
    /// members have to start anew: those that live take no number below what they had.
    pub fn initial() -> Self {
        Self { term: 0, voted: None, revision: StateRevision::default(), state: State::default() }
    }
}

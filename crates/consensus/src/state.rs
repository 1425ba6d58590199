//! The state that the voters replicate, and what a voter must keep across restarts.
//!
//! Encoded by the order of fields and variants, on the wire and on disk: that order must not change.

use crate::ContentHash;
use serde::{Deserialize, Serialize};

/// Outcomes of proposals that the state keeps, a topic: so many proposers at one time can be told apart from retries.
pub(crate) const MAX_RESULTS: usize = 6;

/// What a version is of. Topics are independent of one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The routing rules.
    Rules,
    /// The settings.
    Settings,
}

impl Topic {
    /// All topics, in order.
    pub const ALL: [Topic; 2] = [Topic::Rules, Topic::Settings];

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// A version: a content, named by its hash, with its place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Its place in the topic's order; never given twice.
    pub number: u64,
    /// The hash of its content.
    pub hash: ContentHash,
    /// The content's size in bytes.
    pub size: u32,
    /// It is compatible with all earlier versions from this number on; with none, if this is its own number.
    pub compatible_from: u64,
}

/// The progress of a pending version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Members fetch the content and report whether they can run it. The version may still be dropped.
    Prepare,
    /// Members give up leases on incompatible versions. The version will be in force.
    Revoke,
}

/// Identifies a proposal, so that retries of it are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The proposer's ordinal.
    pub member: u16,
    /// The proposer's incarnation.
    pub incarnation: u64,
    /// Counts the proposals of that incarnation.
    pub serial: u32,
}

/// A version that has a number and is not in force yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pending {
    /// The version.
    pub version: Version,
    /// Its progress.
    pub phase: Phase,
    /// The proposal it came from; that proposer has the content.
    pub proposal: ProposalId,
}

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// Its content is in force.
    InForce,
    /// A live member cannot run the content.
    Unsupported,
    /// The leader's embedder rejected it, or didn't answer.
    Rejected,
    /// The leader, or most of the voters, couldn't get the content.
    ContentMissing,
    /// The same process made another proposal before this one was sent, or before its outcome arrived.
    Superseded,
}

/// The outcome of the newest finished proposal of one incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalResult {
    /// The proposal.
    pub proposal: ProposalId,
    /// How it ended.
    pub outcome: ProposalOutcome,
}

impl ProposalResult {
    fn is_of_proposer(&self, proposal: &ProposalId) -> bool {
        (self.proposal.member, self.proposal.incarnation) == (proposal.member, proposal.incarnation)
    }
}

/// The state of one topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicState {
    /// The version that leases are granted on.
    pub in_force: Option<Version>,
    /// The version that is to be in force next.
    pub pending: Option<Pending>,
    /// The greatest number given so far.
    pub last_number: u64,
    /// Outcomes of proposals, the newest last; one an incarnation, at most `MAX_RESULTS`.
    pub results: Vec<ProposalResult>,
}

impl TopicState {
    /// Records how a proposal ended, in place of an earlier one of the same incarnation.
    pub(crate) fn record_outcome(&mut self, proposal: ProposalId, outcome: ProposalOutcome) {
        self.results.retain(|result| !result.is_of_proposer(&proposal));
        if self.results.len() >= MAX_RESULTS {
            self.results.remove(0);
        }
        self.results.push(ProposalResult { proposal, outcome });
    }

    /// How the proposal ended; `None`: it is unfinished, or its outcome was dropped for newer ones.
    pub(crate) fn outcome_of(&self, proposal: &ProposalId) -> Option<ProposalOutcome> {
        let newest = self.results.iter().find(|result| result.is_of_proposer(proposal))?;
        match newest.proposal.serial.cmp(&proposal.serial) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(newest.outcome),
            std::cmp::Ordering::Greater => Some(ProposalOutcome::Superseded),
        }
    }

    /// Whether this may replace `earlier`: numbers don't go back, and one number names one version.
    fn may_follow(&self, earlier: &TopicState) -> bool {
        let in_force_follows = match (&self.in_force, &earlier.in_force) {
            (Some(new), Some(old)) => new.number > old.number || new == old,
            (None, Some(_)) => false,
            (_, None) => true,
        };
        let in_force_is_numbered = self.in_force.is_none_or(|version| version.number <= self.last_number);
        let pending_is_next = self.pending.is_none_or(|pending| {
            pending.version.number <= self.last_number
                && self.in_force.is_none_or(|version| version.number < pending.version.number)
        });
        in_force_follows && in_force_is_numbered && pending_is_next && self.last_number >= earlier.last_number
    }
}

/// Everything the voters agree on. Replicated complete: a log compacted into its last entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// By [`Topic`], in order.
    pub topics: [TopicState; 2],
}

impl State {
    /// The state of one topic.
    pub fn topic(&self, topic: Topic) -> &TopicState {
        &self.topics[topic.index()]
    }

    pub(crate) fn topic_mut(&mut self, topic: Topic) -> &mut TopicState {
        &mut self.topics[topic.index()]
    }

    /// The pending versions, by topic.
    pub(crate) fn pending(&self) -> [Option<Pending>; 2] {
        self.topics.each_ref().map(|topic| topic.pending)
    }

    /// Whether this may replace `earlier`.
    pub(crate) fn may_follow(&self, earlier: &State) -> bool {
        self.topics.iter().zip(&earlier.topics).all(|(new, old)| new.may_follow(old))
    }
}

/// Orders states: by the term of the leader that wrote a state, then by a count that goes on from term to term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateRevision {
    /// The term of the leader that wrote the state.
    pub term: u64,
    /// Counts the states written.
    pub seq: u64,
}

/// What a voter must keep across restarts. [`crate::Member::new`] says what a voter does that lost it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The greatest term known. The voter votes for candidates of this one only.
    pub term: u64,
    /// The ordinal it voted for in `term`.
    pub voted: Option<u16>,
    /// The revision of `state`.
    pub revision: StateRevision,
    /// The newest state accepted.
    pub state: State,
}

impl DurableState {
    /// For the very first start of a cluster, on an operator's word. Never after a loss: a voter that starts with it may vote
    /// a second time in a term, or for a candidate that doesn't know what is in force. If all voters start with it a second
    /// time, all members must restart: those that run on accept no number below what they had.
    pub fn initial() -> Self {
        Self { term: 0, voted: None, revision: StateRevision::default(), state: State::default() }
    }
}

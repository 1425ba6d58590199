//! The state that the voters replicate, and the state that a voter must keep across restarts.
//!
//! The encoding, both in messages and on disk, depends on the order of fields and variants. This order must not change.

use crate::ContentHash;
use serde::{Deserialize, Serialize};

/// The number of proposal outcomes that the state keeps for each topic. Retries of that many concurrent proposers are
/// recognized.
pub(crate) const MAX_RESULTS: usize = 6;

/// The kind of content that a version belongs to. Topics are independent of one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The routing rules.
    Rules,
    /// The settings.
    Settings,
}

impl Topic {
    /// All topics, in the order of their index.
    pub const ALL: [Topic; 2] = [Topic::Rules, Topic::Settings];

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// A version: a content, identified by its hash, with a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The position in the topic's sequence of versions. A number is never reused.
    pub number: u64,
    /// The hash of the content.
    pub hash: ContentHash,
    /// The content's size in bytes.
    pub size: u32,
    /// The version is compatible with the earlier versions from this number on. If this equals `number`, the version is
    /// compatible with no earlier version.
    pub compatible_from: u64,
}

/// The phase of a pending version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Members fetch the content and report whether they can run it. The change can still be abandoned.
    Prepare,
    /// Members give up their leases on incompatible versions. The change can no longer be abandoned.
    Revoke,
}

/// Identifies a proposal, so that its retries are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The ordinal of the proposer.
    pub member: u16,
    /// The incarnation of the proposer.
    pub incarnation: u64,
    /// The number of the proposal among those of the incarnation.
    pub serial: u32,
}

/// A version that has a number and is not in force yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pending {
    /// The version.
    pub version: Version,
    /// The phase of the change.
    pub phase: Phase,
    /// The proposal that the version came from. Its proposer has the content.
    pub proposal: ProposalId,
}

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The content of the proposal is in force.
    InForce,
    /// A live member can't run the content.
    Unsupported,
    /// The leader's embedder rejected the proposal or didn't answer.
    Rejected,
    /// The leader or a majority of the voters couldn't get the content.
    ContentMissing,
    /// The same process made a newer proposal, before this one was sent or before its outcome arrived.
    Superseded,
}

/// The outcome of the newest finished proposal of one incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalResult {
    /// The proposal.
    pub proposal: ProposalId,
    /// How the proposal ended.
    pub outcome: ProposalOutcome,
}

impl ProposalResult {
    fn is_of_proposer(&self, proposal: &ProposalId) -> bool {
        (self.proposal.member, self.proposal.incarnation) == (proposal.member, proposal.incarnation)
    }
}

/// The versions and proposal outcomes of one topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicState {
    /// The version that leases are granted on.
    pub in_force: Option<Version>,
    /// The version that is to be in force next.
    pub pending: Option<Pending>,
    /// The greatest number assigned so far.
    pub last_number: u64,
    /// The outcomes of proposals, the newest last: one for each incarnation, at most `MAX_RESULTS`.
    pub results: Vec<ProposalResult>,
}

impl TopicState {
    /// Records how a proposal ended, and removes the earlier outcome of the same incarnation.
    pub(crate) fn record_outcome(&mut self, proposal: ProposalId, outcome: ProposalOutcome) {
        self.results.retain(|result| !result.is_of_proposer(&proposal));
        if self.results.len() >= MAX_RESULTS {
            self.results.remove(0);
        }
        self.results.push(ProposalResult { proposal, outcome });
    }

    /// Returns how the proposal ended. `None` means that the proposal is unfinished, or that newer outcomes displaced
    /// its outcome.
    pub(crate) fn outcome_of(&self, proposal: &ProposalId) -> Option<ProposalOutcome> {
        let newest = self.results.iter().find(|result| result.is_of_proposer(proposal))?;
        match newest.proposal.serial.cmp(&proposal.serial) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(newest.outcome),
            std::cmp::Ordering::Greater => Some(ProposalOutcome::Superseded),
        }
    }

    /// Whether this state may replace `earlier`: numbers don't decrease, and one number identifies one version.
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

/// The state that the voters agree on. Instead of a log, the voters replicate the complete state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// The state of each [`Topic`], in the order of [`Topic::ALL`].
    pub topics: [TopicState; 2],
}

impl State {
    /// Returns the state of one topic.
    pub fn topic(&self, topic: Topic) -> &TopicState {
        &self.topics[topic.index()]
    }

    pub(crate) fn topic_mut(&mut self, topic: Topic) -> &mut TopicState {
        &mut self.topics[topic.index()]
    }

    /// Returns the pending version of each topic.
    pub(crate) fn pending(&self) -> [Option<Pending>; 2] {
        self.topics.each_ref().map(|topic| topic.pending)
    }

    /// Whether this state may replace `earlier`.
    pub(crate) fn may_follow(&self, earlier: &State) -> bool {
        self.topics.iter().zip(&earlier.topics).all(|(new, old)| new.may_follow(old))
    }
}

/// The revision of a state. Revisions are ordered by the term of the leader that wrote the state, then by `seq`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateRevision {
    /// The term of the leader that wrote the state.
    pub term: u64,
    /// The number of states written so far. The count continues across terms.
    pub seq: u64,
}

/// The state that a voter must keep across restarts. [`crate::Member::new`] describes what a voter does if this state
/// was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The greatest known term. The voter votes only for candidates of this term.
    pub term: u64,
    /// The ordinal of the candidate that the voter voted for in `term`.
    pub voted: Option<u16>,
    /// The revision of `state`.
    pub revision: StateRevision,
    /// The newest accepted state.
    pub state: State,
}

impl DurableState {
    /// Returns the state for the very first start of a cluster, which an operator must request. A voter that lost its
    /// state must not start with this one: it could vote a second time in a term, or vote for a candidate that doesn't
    /// know the version in force. If all voters start with the initial state a second time, all members must restart,
    /// because running members accept no number below their current one.
    pub fn initial() -> Self {
        Self { term: 0, voted: None, revision: StateRevision::default(), state: State::default() }
    }
}

//! The unfinished proposals of this process.

use crate::state::ProposalId;
use crate::{ContentHash, Micros, Topic};

/// A proposal of this process.
#[derive(Clone, Debug)]
pub(crate) struct OwnProposal {
    pub id: ProposalId,
    pub topic: Topic,
    pub hash: ContentHash,
    pub size: u32,
    /// When the proposal is next sent to the leader.
    pub next_send: Micros,
}

/// The unfinished proposals. For each topic, the first proposal is being sent, and at most one more waits for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposer {
    /// The serial number of the last proposal of this incarnation.
    pub serial: u32,
    pub proposals: Vec<OwnProposal>,
}

impl Proposer {
    pub fn len(&self) -> u32 {
        self.proposals.len() as u32
    }

    /// Returns the index of this topic's first proposal, which is being sent.
    pub fn first_index(&self, topic: Topic) -> Option<usize> {
        self.proposals.iter().position(|proposal| proposal.topic == topic)
    }

    pub fn next_timeout(&self) -> Micros {
        let firsts =
            Topic::ALL.iter().filter_map(|&topic| Some(self.proposals[self.first_index(topic)?].next_send));
        firsts.min().unwrap_or(Micros::MAX)
    }
}

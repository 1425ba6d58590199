//! The proposals of this process that aren't finished.

use crate::state::ProposalId;
use crate::{ContentHash, Micros, Topic};

/// A proposal of this process.
#[derive(Clone, Debug)]
pub(crate) struct OwnProposal {
    pub id: ProposalId,
    pub topic: Topic,
    pub hash: ContentHash,
    pub size: u32,
    /// When it is sent to the leader (again).
    pub next_send: Micros,
}

/// The unfinished proposals: of each topic the first is sent, and at most one more waits for it.
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

    /// The place of the proposal of this topic that is being sent.
    pub fn first(&self, topic: Topic) -> Option<usize> {
        self.proposals.iter().position(|proposal| proposal.topic == topic)
    }

    pub fn next_timeout(&self) -> Micros {
        let firsts =
            Topic::ALL.iter().filter_map(|&topic| Some(self.proposals[self.first(topic)?].next_send));
        firsts.min().unwrap_or(Micros::MAX)
    }
}

//! Proposals: at the proposer, asked again until they are over; at the leader, one at a time.

use crate::state::ProposalId;
use crate::{ContentHash, Micros, Topic};

#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub id: ProposalId,
    pub topic: Topic,
    pub hash: ContentHash,
    pub size: u32,
    pub next_ask: Micros,
}

/// A proposer's.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposer {
    pub serial: u32,
    /// Of each topic the first is asked for; the one after it, if any, waits for it.
    pub waiting: Vec<Waiting>,
}

impl Proposer {
    pub fn len(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub fn first(&self, topic: Topic) -> Option<usize> {
        self.waiting.iter().position(|waiting| waiting.topic == topic)
    }

    pub fn next_timeout(&self) -> Micros {
        let firsts = Topic::ALL.iter().filter_map(|&topic| Some(self.waiting[self.first(topic)?].next_ask));
        firsts.min().unwrap_or(Micros::MAX)
    }
}

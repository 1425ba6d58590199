//! The leader's progress with the change of one topic.

use crate::state::ProposalId;
use crate::{ContentHash, Micros, Verdict};
use std::collections::VecDeque;

/// A proposal that the leader knows of and that has no number yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedProposal {
    pub id: ProposalId,
    pub hash: ContentHash,
    pub size: u32,
    /// When its proposer sent it last.
    pub last_sent_at: Micros,
}

/// The compatibility check of a proposal: the leader fetches the content, then asks the embedder for a verdict.
#[derive(Clone, Debug)]
pub(crate) struct CompatibilityCheck {
    pub proposal: QueuedProposal,
    pub started_at: Micros,
    /// The versions that the embedder was asked to compare with; `None` before it was asked.
    pub against: Option<Vec<(u64, ContentHash)>>,
    /// The embedder's answer.
    pub verdict: Option<Verdict>,
}

/// The change of one topic, as the leader drives it. Lost with the leadership: what must last is in the replicated state.
#[derive(Clone, Debug, Default)]
pub(crate) struct TopicChange {
    pub check: Option<CompatibilityCheck>,
    pub queue: VecDeque<QueuedProposal>,
    /// The pending version's number, and when this leader first saw it committed.
    pub preparing_since: Option<(u64, Micros)>,
}

impl TopicChange {
    /// The proposal with this id, whether it is being checked or still queued.
    pub fn find_proposal(&mut self, id: ProposalId) -> Option<&mut QueuedProposal> {
        let checked = self.check.as_mut().map(|check| &mut check.proposal);
        checked.into_iter().chain(&mut self.queue).find(|proposal| proposal.id == id)
    }

    /// When the version of this number was first seen pending; now, if it is seen for the first time.
    pub fn prepare_start(&mut self, number: u64, now: Micros) -> Micros {
        match self.preparing_since {
            Some((of, since)) if of == number => since,
            _ => {
                self.preparing_since = Some((number, now));
                now
            }
        }
    }
}

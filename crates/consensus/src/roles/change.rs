//! The data that a leader keeps about the change of one topic.

use crate::state::ProposalId;
use crate::{ContentHash, Micros, Verdict};
use std::collections::VecDeque;

/// A proposal that the leader has received and that has no version number yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedProposal {
    pub id: ProposalId,
    pub hash: ContentHash,
    pub size: u32,
    /// When the leader last received the proposal.
    pub last_sent_at: Micros,
}

/// The compatibility check of a proposal: the leader fetches the content, then asks the embedder for a verdict.
#[derive(Clone, Debug)]
pub(crate) struct CompatibilityCheck {
    pub proposal: QueuedProposal,
    pub started_at: Micros,
    /// The versions that the embedder was asked to compare the content with. `None` means that the embedder hasn't been
    /// asked yet.
    pub against: Option<Vec<(u64, ContentHash)>>,
    /// The verdict of the embedder, once it has arrived.
    pub verdict: Option<Verdict>,
}

/// The change of one topic under the current leader. This data is lost when the leader loses its leadership; data that
/// must survive is in the replicated state.
#[derive(Clone, Debug, Default)]
pub(crate) struct TopicChange {
    pub check: Option<CompatibilityCheck>,
    pub queue: VecDeque<QueuedProposal>,
    /// The number of the pending version, and when this leader first saw the version committed.
    pub preparing_since: Option<(u64, Micros)>,
}

impl TopicChange {
    /// Returns the proposal with this id, whether it is being checked or still queued.
    pub fn find_proposal(&mut self, id: ProposalId) -> Option<&mut QueuedProposal> {
        let checked = self.check.as_mut().map(|check| &mut check.proposal);
        checked.into_iter().chain(&mut self.queue).find(|proposal| proposal.id == id)
    }

    /// Returns when this leader first saw the version pending. The first call for a number records the current time.
    pub fn prepare_started_at(&mut self, number: u64, now: Micros) -> Micros {
        match self.preparing_since {
            Some((of, since)) if of == number => since,
            _ => {
                self.preparing_since = Some((number, now));
                now
            }
        }
    }
}

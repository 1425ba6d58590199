//! How a proposal comes in force: checked, prepared, whatever it contradicts released, then granted.

use crate::state::ProposalId;
use crate::{ContentHash, Micros, Verdict};
use std::collections::VecDeque;

/// What a proposer asked for.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub id: ProposalId,
    pub hash: ContentHash,
    pub size: u32,
    /// When its proposer asked for it last.
    pub asked_at: Micros,
}

/// A proposal that the leader gets and lets be checked.
#[derive(Clone, Debug)]
pub(crate) struct Checking {
    pub proposal: Proposal,
    pub since: Micros,
    /// What the embedder was asked to check it against, once it was.
    pub against: Option<Vec<(u64, ContentHash)>>,
    pub verdict: Option<Verdict>,
}

/// One topic's change, as the leader drives it. Lost with the leader: what is to last is in the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Change {
    pub checking: Option<Checking>,
    pub queue: VecDeque<Proposal>,
    /// Number of the pending version and when this leader first saw it agreed.
    pub prepared: Option<(u64, Micros)>,
}

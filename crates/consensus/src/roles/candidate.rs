//! A candidate's count of votes.

use std::collections::BTreeSet;

/// An election in which this voter is the candidate.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    /// The term that the candidate would lead.
    pub term: u64,
    /// A pre-vote: it changes no term, and the answers bind nobody.
    pub pre_vote: bool,
    /// Voters that granted their vote, the candidate included.
    pub votes: BTreeSet<u16>,
}

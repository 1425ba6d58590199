//! The votes that a candidate has received.

use std::collections::BTreeSet;

/// An election in which this voter is the candidate.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    /// The term that the candidate would lead.
    pub term: u64,
    /// Whether this is a pre-vote, which changes no term and whose answers don't bind the voters.
    pub pre_vote: bool,
    /// The voters that granted their vote, including the candidate itself.
    pub votes: BTreeSet<u16>,
}

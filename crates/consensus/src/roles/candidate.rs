//! What a candidate counts.

use std::collections::BTreeSet;

/// What a candidate counts.
#[derive(Clone, Debug)]
pub(crate) struct Candidacy {
    pub term: u64,
    /// Only asked so far.
    pub pre_vote: bool,
    pub votes: BTreeSet<u16>,
}

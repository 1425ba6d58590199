//! Affinity subsets: the servers over which the connections of one group rotate. A subset consists of the
//! first servers in an order of the group's own that is the same on all nodes (rendezvous hashing, Thaler
//! and Ravishankar 1998; weighted as by Efraimidis and Spirakis 2006). Enlarging a subset only adds servers
//! to it. The embedder states the sizes of the subsets
//! ([`Event::AffinitySubsets`](crate::Event::AffinitySubsets)) and thereby bounds how many sizes are
//! stored.

use crate::names::hash_to_unit;
use std::collections::BTreeMap;

/// The smallest size of a subset, and the size for groups whose size the embedder did not state.
pub const MIN_SUBSET_SIZE: usize = 5;

/// The sizes of the affinity subsets that the embedder stated, by group.
#[derive(Debug, Default)]
pub(crate) struct AffinitySubsets {
    sizes: BTreeMap<u64, u32>,
}

impl AffinitySubsets {
    /// Replaces all stated sizes. Groups that `sizes` does not name get [`MIN_SUBSET_SIZE`].
    pub(crate) fn set(&mut self, sizes: Vec<(u64, u32)>) {
        self.sizes = sizes.into_iter().collect();
    }

    fn size(&self, group: u64) -> usize {
        self.sizes.get(&group).map_or(MIN_SUBSET_SIZE, |size| MIN_SUBSET_SIZE.max(*size as usize))
    }

    /// Returns the lowest [`score`] in a group's subset, given the scores of all candidate servers; 0 if
    /// there are fewer candidates than the subset may have.
    pub(crate) fn min_score(&self, group: u64, scores: impl Iterator<Item = f64>) -> f64 {
        let (mut scores, size) = (scores.collect::<Vec<f64>>(), self.size(group));
        if scores.len() < size {
            return 0.0;
        }
        *scores.select_nth_unstable_by(size - 1, |a, b| b.total_cmp(a)).1
    }
}

/// Returns a server's score in a group's order, from 0 to 1. The servers with the highest scores form the
/// subset.
pub(crate) fn score(group: u64, digest: u64, weight: f64) -> f64 {
    hash_to_unit(digest ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15)).powf(1.0 / weight)
}

//! The affinity subset of a group: the servers over which its connections rotate, the first ones in an order of its own
//! that is common to all nodes (rendezvous hashing, Thaler and Ravishankar 1998; by weight, Efraimidis and Spirakis 2006).
//! A larger subset only adds to the smaller one. Holds the sizes that the embedder stated
//! ([`Event::AffinitySubsets`](crate::Event::AffinitySubsets)), which bounds their number.

use crate::names::unit;
use std::collections::BTreeMap;

/// The size of the subset of a group for which none was stated; no group has fewer.
pub const MIN_SUBSET_SIZE: usize = 5;

/// How large the subsets of groups are.
#[derive(Debug, Default)]
pub(crate) struct AffinitySubsets {
    sizes: BTreeMap<u64, u32>,
}

impl AffinitySubsets {
    /// These groups have subsets of so many servers, and all others [`MIN_SUBSET_SIZE`].
    pub(crate) fn set(&mut self, sizes: Vec<(u64, u32)>) {
        self.sizes = sizes.into_iter().collect();
    }

    fn size(&self, group: u64) -> usize {
        self.sizes.get(&group).map_or(MIN_SUBSET_SIZE, |size| MIN_SUBSET_SIZE.max(*size as usize))
    }

    /// The [`score`] of the last member of a group's subset among servers with these scores; 0 if all of them belong to it.
    pub(crate) fn least_score(&self, group: u64, scores: impl Iterator<Item = f64>) -> f64 {
        let (mut scores, size) = (scores.collect::<Vec<f64>>(), self.size(group));
        if scores.len() < size {
            return 0.0;
        }
        *scores.select_nth_unstable_by(size - 1, |a, b| b.total_cmp(a)).1
    }
}

/// A server's score in a group's order, 0 to 1: the subset is those with the highest.
pub(crate) fn score(group: u64, digest: u64, weight: f64) -> f64 {
    unit(digest ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15)).powf(1.0 / weight)
}

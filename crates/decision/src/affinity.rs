//! A group's homes: the servers over which its connections rotate, the first ones in an order of its own that is common to all
//! nodes (rendezvous hashing, Thaler and Ravishankar 1998; by weight, Efraimidis and Spirakis 2006). More homes only add to
//! those that were. Holds the groups that somebody told of ([`Event::AffinitySubsets`](crate::Event::AffinitySubsets)), who bounds them.

use crate::names::unit;
use std::collections::BTreeMap;

/// A group of which nothing was told has so many, and no group has fewer.
pub const MIN_SUBSET_SIZE: usize = 5;

/// How many homes groups have.
#[derive(Debug, Default)]
pub(crate) struct AffinitySubsets {
    told: BTreeMap<u64, u32>,
}

impl AffinitySubsets {
    /// These groups have so many homes, and all others [`MIN_SUBSET_SIZE`].
    pub(crate) fn set(&mut self, told: Vec<(u64, u32)>) {
        self.told = told.into_iter().collect();
    }

    /// How many a group has.
    fn of(&self, group: u64) -> usize {
        self.told.get(&group).map_or(MIN_SUBSET_SIZE, |homes| MIN_SUBSET_SIZE.max(*homes as usize))
    }

    /// The [`score`] of the last of a group's homes among servers with these scores; 0 if all of them are homes.
    pub(crate) fn least(&self, group: u64, scores: impl Iterator<Item = f64>) -> f64 {
        let (mut scores, homes) = (scores.collect::<Vec<f64>>(), self.of(group));
        if scores.len() < homes {
            return 0.0;
        }
        *scores.select_nth_unstable_by(homes - 1, |a, b| b.total_cmp(a)).1
    }
}

/// A server's score in a group's order, 0 to 1: the homes are those with the highest.
pub(crate) fn score(group: u64, digest: u64, weight: f64) -> f64 {
    unit(digest ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15)).powf(1.0 / weight)
}

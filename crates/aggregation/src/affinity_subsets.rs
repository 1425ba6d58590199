//! Sizes of the groups' affinity subsets: how many endpoints a load needs, and the sizes that this proxy acts on
//! ([`AffinitySubsets`]).
//!
//! The side that errs: a subset that is too large costs the group's own work once more at each endpoint; one that is too small
//! overloads endpoints. A member that isn't heard may be dead or only cut off, its connections still there. So subsets grow at once
//! and shrink slowly.
//!
//! Invariants, asserted in debug builds and counted or clamped in release: no subset is smaller than [`MIN_SUBSET_SIZE`]; it
//! shrinks by half at most within a hold; no more groups are held than twice those of one answer.

use crate::fleet_sums::GROUP_COST;
use crate::{AffinitySettings, Micros};
use std::collections::BTreeMap;

/// The endpoints that every group has.
pub const MIN_SUBSET_SIZE: u32 = 5;
/// What a group costs at an endpoint takes no more than this share of its target, or no number of endpoints would do.
const MAX_COST_SHARE: f64 = 0.5;

/// The endpoints that subsets are sized for, as a proxy has them in its list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointPool {
    /// How many there are.
    pub count: u32,
    /// Their mean capacity, microseconds of work a second; 0 where that isn't listed.
    pub mean_capacity: f64,
}

/// The load of one group's connections that one endpoint may take: its target less what the group costs there.
pub fn load_per_endpoint(pool: EndpointPool, target_utilization: f64, mean_load: f64) -> f64 {
    let target = target_utilization * pool.mean_capacity;
    target - (GROUP_COST * mean_load).min(MAX_COST_SHARE * target)
}

/// The endpoints that a group of this load needs: five at least; no more than there are, unless those are fewer. Five where
/// capacities are not known.
pub fn required_size(load: f64, mean_load: f64, pool: EndpointPool, target_utilization: f64) -> u32 {
    let size = (load / load_per_endpoint(pool, target_utilization, mean_load)).ceil();
    // Of what is not a number the cast makes 0.
    let size = if pool.mean_capacity > 0.0 { size as u32 } else { 0 };
    size.min(pool.count).max(MIN_SUBSET_SIZE)
}

/// The size of one group's subset, and what decides when it shrinks.
#[derive(Clone, Copy, Debug)]
struct SubsetSize {
    size: u32,
    /// When this size was last asked for; from then on it may be too large.
    held_since: Micros,
    /// The largest size that was asked for since then.
    largest_since: u32,
}

impl SubsetSize {
    fn new(size: u32, now: Micros) -> Self {
        SubsetSize { size, held_since: now, largest_since: 0 }
    }
}

/// The sizes that a proxy acts on, of the groups whose subset has more than five endpoints.
#[derive(Debug, Default)]
pub struct AffinitySubsets {
    sizes: BTreeMap<u64, SubsetSize>,
    max_groups: usize,
    hold: Micros,
    /// Groups that found no room.
    pub truncated: u64,
}

impl AffinitySubsets {
    /// No group yet. Holds twice as many groups as one answer names: those that are named now, and those that shrink.
    pub fn new(settings: &AffinitySettings) -> Self {
        AffinitySubsets {
            sizes: BTreeMap::new(),
            max_groups: 2 * settings.max_groups,
            hold: settings.shrink_hold,
            truncated: 0,
        }
    }

    /// Takes the size that somebody says a group needs. Whether that changed the size in force.
    pub fn require(&mut self, now: Micros, group: u64, size: u32) -> bool {
        if let Some(subset) = self.sizes.get_mut(&group) {
            if size < subset.size {
                subset.largest_since = subset.largest_since.max(size);
                return false;
            }
            let grew = size > subset.size;
            *subset = SubsetSize::new(size, now);
            return grew;
        }
        if size <= MIN_SUBSET_SIZE {
            return false;
        }
        if self.sizes.len() >= self.max_groups {
            // Groups that are here stay until they have shrunk, whatever else is asked for.
            self.truncated += 1;
            return false;
        }
        self.sizes.insert(group, SubsetSize::new(size, now));
        true
    }

    /// Shrinks the subsets for which less was asked during a whole hold. Only to be called when sizes were just received:
    /// silence says nothing of a group. Whether that changed anything.
    pub fn shrink(&mut self, now: Micros) -> bool {
        let mut changed = false;
        for subset in self.sizes.values_mut().filter(|subset| now - subset.held_since >= self.hold) {
            let size = subset.largest_since.max(subset.size.div_ceil(2));
            changed |= size != subset.size;
            *subset = SubsetSize::new(size, now);
        }
        // A group that isn't held has five.
        self.sizes.retain(|_, subset| subset.size > MIN_SUBSET_SIZE);
        debug_assert!(self.sizes.len() <= self.max_groups);
        changed
    }

    /// The groups whose subset has more than five endpoints, and how many.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> {
        self.sizes.iter().map(|(group, subset)| (*group, subset.size))
    }

    /// The size of a group's subset.
    pub fn size_of(&self, group: u64) -> u32 {
        self.sizes.get(&group).map_or(MIN_SUBSET_SIZE, |subset| subset.size)
    }
}

#[cfg(test)]
#[path = "affinity_subsets_tests.rs"]
mod tests;

//! Sizes of the groups' affinity subsets: the number of endpoints that a load needs, and the sizes in force at this proxy
//! ([`AffinitySubsets`]).
//!
//! Subsets grow at once and shrink slowly, because the two errors differ in cost. A subset that is too large repeats the
//! group's fixed cost at every additional endpoint; a subset that is too small overloads its endpoints. A member whose reports
//! stop may be dead, or only partitioned off with its connections still open.
//!
//! Invariants, asserted in debug builds and counted or clamped in release builds: no subset is smaller than
//! [`MIN_SUBSET_SIZE`]; a subset shrinks by at most half within the hold time; at most twice as many groups are stored as one
//! answer names.

use crate::fleet_sums::GROUP_COST;
use crate::{AffinitySettings, Micros};
use std::collections::BTreeMap;

/// The number of endpoints that every group has at least.
pub const MIN_SUBSET_SIZE: u32 = 5;
/// Upper limit for the fixed cost of a group at an endpoint, as a share of the group's target load there. Without the limit the
/// cost could use up the whole target, and no number of endpoints would be enough.
const MAX_COST_SHARE: f64 = 0.5;

/// The listed endpoints for which subsets are sized.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointPool {
    /// Number of listed endpoints.
    pub count: u32,
    /// Mean capacity of an endpoint, in microseconds of work per second; 0 if the list has no capacities.
    pub mean_capacity: f64,
}

/// The load of a group's connections that one endpoint may take: the target load less the fixed cost of the group there.
pub fn load_per_endpoint(pool: EndpointPool, target_utilization: f64, mean_load: f64) -> f64 {
    let target = target_utilization * pool.mean_capacity;
    target - (GROUP_COST * mean_load).min(MAX_COST_SHARE * target)
}

/// The number of endpoints that a group of this load needs: at least [`MIN_SUBSET_SIZE`], even in a smaller pool, and otherwise
/// at most the size of the pool. The result is [`MIN_SUBSET_SIZE`] where capacities are unknown.
pub fn required_size(load: f64, mean_load: f64, pool: EndpointPool, target_utilization: f64) -> u32 {
    let size = (load / load_per_endpoint(pool, target_utilization, mean_load)).ceil();
    // The cast turns NaN into 0.
    let size = if pool.mean_capacity > 0.0 { size as u32 } else { 0 };
    size.min(pool.count).max(MIN_SUBSET_SIZE)
}

/// The size of one group's subset, and the state that determines when the subset shrinks.
#[derive(Clone, Copy, Debug)]
struct SubsetSize {
    size: u32,
    /// When this size was last required; the subset may be larger than necessary since then.
    held_since: Micros,
    /// The largest size that was required since `held_since`.
    max_required_since: u32,
}

impl SubsetSize {
    fn new(size: u32, now: Micros) -> Self {
        SubsetSize { size, held_since: now, max_required_since: 0 }
    }
}

/// The subset sizes in force at a proxy, for the groups whose subset has more than five endpoints.
#[derive(Debug, Default)]
pub struct AffinitySubsets {
    sizes: BTreeMap<u64, SubsetSize>,
    max_groups: usize,
    shrink_hold: Micros,
    /// Number of times that a group was left out because `max_groups` was reached.
    pub truncated: u64,
}

impl AffinitySubsets {
    /// Creates an empty table. Its limit is twice the number of groups in one answer: the groups of the current answer, and
    /// those whose subsets are still shrinking.
    pub fn new(settings: &AffinitySettings) -> Self {
        AffinitySubsets {
            sizes: BTreeMap::new(),
            max_groups: 2 * settings.max_groups,
            shrink_hold: settings.shrink_hold,
            truncated: 0,
        }
    }

    /// Records that a group needs a subset of this size, and returns whether the size in force changed.
    pub fn require(&mut self, now: Micros, group: u64, size: u32) -> bool {
        if let Some(subset) = self.sizes.get_mut(&group) {
            if size < subset.size {
                subset.max_required_since = subset.max_required_since.max(size);
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
            // Stored groups are not evicted for new ones: they stay until their subsets have shrunk.
            self.truncated += 1;
            return false;
        }
        self.sizes.insert(group, SubsetSize::new(size, now));
        true
    }

    /// Shrinks the subsets for which only smaller sizes were required during the whole hold time, and returns whether a size
    /// changed. To be called only when sizes have just been received: without an answer nothing is known about a group's load.
    pub fn shrink(&mut self, now: Micros) -> bool {
        let mut changed = false;
        for subset in self.sizes.values_mut().filter(|subset| now - subset.held_since >= self.shrink_hold) {
            let size = subset.max_required_since.max(subset.size.div_ceil(2));
            changed |= size != subset.size;
            *subset = SubsetSize::new(size, now);
        }
        // A group without a stored size has five endpoints.
        self.sizes.retain(|_, subset| subset.size > MIN_SUBSET_SIZE);
        debug_assert!(self.sizes.len() <= self.max_groups);
        changed
    }

    /// The groups whose subset has more than five endpoints, with the size of the subset.
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

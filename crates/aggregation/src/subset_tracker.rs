//! The affinity subset sizes in force at a member, taken from the aggregator's answers and from the member's own groups.

use crate::affinity_subsets::{
    AffinitySubsets, EndpointPool, MIN_SUBSET_SIZE, load_per_endpoint, required_size,
};
use crate::groups::{GroupLoad, heaviest};
use crate::{AffinitySettings, Micros};

/// A member reports a group if its load reaches an even share of the load that five endpoints can take, divided by this number.
/// A smaller load is not worth the bytes in the report.
const MIN_REPORTED_LOAD_DIVISOR: f64 = 4.0;
/// Minimum number of own connections from which a member without answers estimates a group's total load. The estimate is off by
/// about a fifth.
const MIN_SAMPLE_CONNECTIONS: u32 = 30;

/// What a member knows about the fleet when it computes subset sizes itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetEstimate {
    /// Number of configured members.
    pub(crate) members: u32,
    /// The number and the mean capacity of the listed endpoints.
    pub(crate) endpoints: EndpointPool,
    /// Mean load of a connection, in microseconds of work per second.
    pub(crate) mean_load: f64,
    /// This member's share of all connections.
    pub(crate) connection_share: f64,
}

/// A member's own groups, and the subset sizes in force.
#[derive(Debug)]
pub(crate) struct SubsetTracker {
    own_groups: Vec<GroupLoad>,
    subsets: AffinitySubsets,
    /// When the last answer arrived; before the first one, when this member was created.
    answered_at: Micros,
    /// Number of times that an own group was left out of a report because the limit was reached.
    truncated: u64,
}

impl SubsetTracker {
    pub(crate) fn new(settings: Option<&AffinitySettings>, now: Micros) -> Self {
        SubsetTracker {
            own_groups: Vec::new(),
            subsets: settings.map_or_else(AffinitySubsets::default, AffinitySubsets::new),
            answered_at: now,
            truncated: 0,
        }
    }

    /// Replaces this member's own groups, of which those with the most load are kept, and returns whether a subset size
    /// changed.
    pub(crate) fn set_own_groups(
        &mut self,
        settings: &AffinitySettings,
        now: Micros,
        groups: Vec<GroupLoad>,
        fleet: &FleetEstimate,
    ) -> bool {
        let (groups, truncated) = heaviest(groups, settings.max_groups, min_reported_load(settings, fleet));
        self.own_groups = groups;
        self.truncated += truncated as u64;
        self.require_own_groups(settings, now, fleet)
    }

    /// Requires the sizes that this member's own groups need, independently of the aggregator's answers. Returns whether a
    /// subset size changed.
    fn require_own_groups(
        &mut self,
        settings: &AffinitySettings,
        now: Micros,
        fleet: &FleetEstimate,
    ) -> bool {
        let unanswered = now - self.answered_at > settings.retention;
        let mut changed = false;
        for own in &self.own_groups {
            let extrapolate = unanswered && own.connections >= MIN_SAMPLE_CONNECTIONS;
            let load = if extrapolate { own.load / fleet.connection_share } else { own.load };
            let size = required_size(load, fleet.mean_load, fleet.endpoints, settings.target_utilization);
            changed |= self.subsets.require(now, own.group, size);
        }
        changed |= unanswered && self.subsets.shrink(now);
        changed
    }

    /// Applies one datagram of the aggregator's answer, with sizes limited to the number of endpoints, and returns whether a
    /// subset size changed.
    pub(crate) fn apply_answer(
        &mut self,
        now: Micros,
        sizes: Vec<(u64, u32)>,
        max_size: u32,
        is_last_fragment: bool,
    ) -> bool {
        self.answered_at = now;
        let mut changed = false;
        for (group, size) in sizes {
            changed |= self.subsets.require(now, group, size.min(max_size));
        }
        changed |= is_last_fragment && self.subsets.shrink(now);
        changed
    }

    /// The groups of this member's next group report, as digest and load.
    pub(crate) fn reported_groups(&self) -> Vec<(u64, f64)> {
        self.own_groups.iter().map(|own| (own.group, own.load)).collect()
    }

    /// The groups whose subset has more than five endpoints, with the size of the subset.
    pub(crate) fn subsets(&self) -> impl Iterator<Item = (u64, u32)> {
        self.subsets.iter()
    }

    /// Number of times that a group was left out of a report or of the subset sizes in force because a limit was reached.
    pub(crate) fn groups_truncated(&self) -> u64 {
        self.truncated + self.subsets.truncated
    }
}

fn min_reported_load(settings: &AffinitySettings, fleet: &FleetEstimate) -> f64 {
    let per_endpoint = load_per_endpoint(fleet.endpoints, settings.target_utilization, fleet.mean_load);
    f64::from(MIN_SUBSET_SIZE) * per_endpoint / f64::from(fleet.members.max(1)) / MIN_REPORTED_LOAD_DIVISOR
}

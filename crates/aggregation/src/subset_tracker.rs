//! The affinity subsets that a member acts on: from the aggregator's answers, and without these from its own groups.

use crate::affinity_subsets::{
    AffinitySubsets, EndpointPool, MIN_SUBSET_SIZE, load_per_endpoint, required_size,
};
use crate::groups::{GroupLoad, heaviest};
use crate::{AffinitySettings, Micros};

/// A member reports a group from this fraction of an even share on of the load that needs five endpoints: one in four. Less is
/// not worth its bytes.
const WORTH_REPORTING: f64 = 4.0;
/// Connections of its own from which a member without answers estimates a group's load: off by a fifth or so.
const MIN_SAMPLE: u32 = 30;

/// What a member knows of the fleet when it sizes subsets itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetEstimate {
    /// Members by configuration.
    pub(crate) members: u32,
    /// The listed endpoints.
    pub(crate) endpoints: EndpointPool,
    /// Mean load of a connection.
    pub(crate) mean_load: f64,
    /// This member's share of all connections.
    pub(crate) connection_share: f64,
}

/// A member's own groups, and the subset sizes in force.
#[derive(Debug)]
pub(crate) struct SubsetTracker {
    own_groups: Vec<GroupLoad>,
    subsets: AffinitySubsets,
    /// When an answer arrived last, or this member began.
    answered_at: Micros,
    /// Own groups that found no room in a report.
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

    /// Takes what this member has of each group, of which it keeps the heaviest. Whether that changed a size.
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

    /// What is here needs its endpoints, whatever others have.
    fn require_own_groups(
        &mut self,
        settings: &AffinitySettings,
        now: Micros,
        fleet: &FleetEstimate,
    ) -> bool {
        let unanswered = now - self.answered_at > settings.retention;
        let mut changed = false;
        for own in &self.own_groups {
            let estimates = unanswered && own.connections >= MIN_SAMPLE;
            let load = if estimates { own.load / fleet.connection_share } else { own.load };
            let size = required_size(load, fleet.mean_load, fleet.endpoints, settings.target_utilization);
            changed |= self.subsets.require(now, own.group, size);
        }
        changed |= unanswered && self.subsets.shrink(now);
        changed
    }

    /// Takes one datagram of the aggregator's answer; no size counts for more than there are endpoints. Whether that changed a size.
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

    /// The groups of this member's next group report: digest and load.
    pub(crate) fn reported_groups(&self) -> Vec<(u64, f64)> {
        self.own_groups.iter().map(|own| (own.group, own.load)).collect()
    }

    /// The groups whose subset has more than five endpoints, and how many.
    pub(crate) fn subsets(&self) -> impl Iterator<Item = (u64, u32)> {
        self.subsets.iter()
    }

    /// Groups that found no room so far, in a report or among the sizes in force.
    pub(crate) fn groups_truncated(&self) -> u64 {
        self.truncated + self.subsets.truncated
    }
}

fn min_reported_load(settings: &AffinitySettings, fleet: &FleetEstimate) -> f64 {
    let per_endpoint = load_per_endpoint(fleet.endpoints, settings.target_utilization, fleet.mean_load);
    f64::from(MIN_SUBSET_SIZE) * per_endpoint / f64::from(fleet.members.max(1)) / WORTH_REPORTING
}

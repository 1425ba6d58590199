//! SubsetSizes by a group's size: how many a load needs, and how many this proxy acts on ([`AffinitySubsets`]).
//!
//! The side that errs: too many homes cost the group's own work once more at each; too few push nodes over. A member that
//! isn't heard may be dead or only cut off, its connections still there. So homes rise at once and fall slowly.
//!
//! Invariants, asserted in debug and counted or clamped in release: no group has fewer than [`LEAST_HOMES`]; homes fall by half
//! at most within a hold; no more groups are held than twice those of a table.

use crate::aggregation::GROUP_COST;
use crate::{AffinitySettings, Micros};
use std::collections::BTreeMap;

/// Every group has so many.
pub const LEAST_HOMES: u32 = 5;
/// What a home costs is no more of it than this, or no number of homes would do.
const MOST_COST: f64 = 0.5;

/// The nodes that homes are counted for, as a proxy has them in its list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Nodes {
    /// How many there are.
    pub count: u32,
    /// Their mean capacity, microseconds of work a second; 0 where that isn't listed.
    pub size: f64,
}

/// What one home may take of a group's connections: its used part less what the group costs there.
pub fn room(nodes: Nodes, home_use: f64, mean_load: f64) -> f64 {
    let used = home_use * nodes.size;
    used - (GROUP_COST * mean_load).min(MOST_COST * used)
}

/// The homes that a group of this load needs: five at least; no more than there are nodes, unless that is fewer. Five where
/// sizes are not known.
pub fn needed(load: f64, mean_load: f64, nodes: Nodes, home_use: f64) -> u32 {
    let homes = (load / room(nodes, home_use, mean_load)).ceil();
    // Of what is not a number the cast makes 0.
    let homes = if nodes.size > 0.0 { homes as u32 } else { 0 };
    homes.min(nodes.count).max(LEAST_HOMES)
}

#[derive(Clone, Copy, Debug)]
struct Held {
    homes: u32,
    /// Since when it may have been too many: it was last told as many.
    since: Micros,
    /// The most that was told since then.
    highest: u32,
}

/// The homes that a proxy acts on, of the groups that have more than five.
#[derive(Debug, Default)]
pub struct AffinitySubsets {
    held: BTreeMap<u64, Held>,
    most: usize,
    hold: Micros,
    /// GroupReport that found no room.
    pub dropped: u64,
}

impl AffinitySubsets {
    /// None yet. Holds twice as many groups as a table names: those that are named now, and those that fall.
    pub fn new(settings: &AffinitySettings) -> Self {
        AffinitySubsets { held: BTreeMap::new(), most: 2 * settings.groups, hold: settings.hold, dropped: 0 }
    }

    /// A group needs so many, as somebody says. Whether that changed anything.
    pub fn told(&mut self, now: Micros, group: u64, homes: u32) -> bool {
        if let Some(held) = self.held.get_mut(&group) {
            if homes < held.homes {
                held.highest = held.highest.max(homes);
                return false;
            }
            let more = homes > held.homes;
            *held = Held { homes, since: now, highest: 0 };
            return more;
        }
        if homes <= LEAST_HOMES {
            return false;
        }
        if self.held.len() >= self.most {
            // Those that are here fall in their time, whatever else is told.
            self.dropped += 1;
            return false;
        }
        self.held.insert(group, Held { homes, since: now, highest: 0 });
        true
    }

    /// Lets those fall that were told to have fewer for a whole hold. Only to be asked when somebody has just told: silence says
    /// nothing of a group. Whether that changed anything.
    pub fn settle(&mut self, now: Micros) -> bool {
        let mut fell = false;
        for held in self.held.values_mut().filter(|held| now - held.since >= self.hold) {
            let homes = held.highest.max(held.homes.div_ceil(2));
            fell |= homes != held.homes;
            *held = Held { homes, since: now, highest: 0 };
        }
        // Whoever isn't held has five.
        self.held.retain(|_, held| held.homes > LEAST_HOMES);
        debug_assert!(self.held.len() <= self.most);
        fell
    }

    /// The groups that have more than five, and how many.
    pub fn all(&self) -> impl Iterator<Item = (u64, u32)> {
        self.held.iter().map(|(group, held)| (*group, held.homes))
    }

    /// How many a group has.
    pub fn of(&self, group: u64) -> u32 {
        self.held.get(&group).map_or(LEAST_HOMES, |held| held.homes)
    }
}

#[cfg(test)]
#[path = "affinity_subsets_tests.rs"]
mod tests;

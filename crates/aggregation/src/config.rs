//! The section `[fleet]` of the operator's file.

use serde::{Deserialize, Serialize};

const DATAGRAMS_PER_REQUEST: f64 = 3.0;
const PERIOD_MS: u32 = 1_000;
const LONGEST_PERIOD_MS: u32 = 6_000;
const DATAGRAMS_WITHIN: (f64, f64) = (0.01, 1_000.0);
/// Below, answers cross the next question; above, nothing told is worth its datagram.
const PERIOD_WITHIN: (u32, u32) = (200, 60_000);
/// Heaviest groups that a proxy reports, and groups that a table names: what 16 datagrams hold, with room for long figures.
const GROUPS_WITHIN: (u32, u32) = (1, 320);
/// Under a quarter of a node, a group shares each of its homes with others.
const HOME_USE: f64 = 0.25;
const HOME_USE_WITHIN: (f64, f64) = (0.05, 0.9);
const HOMES_HOLD_S: u32 = 600;
const HOMES_KEEP_S: u32 = 180;
/// Under 10 s, two tables that are lost would count as silence.
const SECONDS_WITHIN: (u32, u32) = (10, 86_400);
/// With fewer, everybody can tell everybody.
const MEMBERS_WITHIN: (u32, u32) = (4, 65_535);

/// The section as it is written. Off unless `members_from` is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// A tier of so many proxies or more has a fleet snapshot, in place of gossip.
    pub members_from: Option<u32>,
    /// Ceiling of the whole tier: full datagrams (256 bytes) sent for each request that comes to any of its proxies.
    pub datagrams_per_request: f64,
    /// Milliseconds between two reports of a proxy at least.
    pub period_ms: u32,
    /// ... and at most, however few requests come.
    pub longest_period_ms: u32,
    /// So many of its heaviest groups a proxy reports, and so many groups a table gives more than five homes. Off unless set.
    pub group_homes: Option<u32>,
    /// Part of a node's size that one group is to use at each of its homes, what a home costs included.
    pub home_use: f64,
    /// Seconds within which a group's homes fall by half at most.
    pub homes_hold_s: u32,
    /// Seconds for which the last table's homes count when none comes any more.
    pub homes_keep_s: u32,
}

impl Default for FleetSection {
    fn default() -> Self {
        FleetSection {
            members_from: None,
            datagrams_per_request: DATAGRAMS_PER_REQUEST,
            period_ms: PERIOD_MS,
            longest_period_ms: LONGEST_PERIOD_MS,
            group_homes: None,
            home_use: HOME_USE,
            homes_hold_s: HOMES_HOLD_S,
            homes_keep_s: HOMES_KEEP_S,
        }
    }
}

/// SubsetSizes by a group's size, checked and on. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AffinitySettings {
    /// GroupReport of one report, or of one table, at most.
    pub groups: usize,
    /// Part of a node's size for one group at each of its homes.
    pub home_use: f64,
    /// Within this time homes fall by half at most.
    pub hold: i64,
    /// The last table counts for so long.
    pub keep: i64,
}

/// A checked section that is on. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The tier's size from which on it counts.
    pub members_from: u32,
    /// Full datagrams for each request of the tier.
    pub datagrams_per_request: f64,
    /// Between two reports at least.
    pub period: i64,
    /// Between two reports at most.
    pub longest_period: i64,
    /// SubsetSizes by a group's size; `None`: five, whatever its size.
    pub affinity: Option<AffinitySettings>,
}

/// What is wrong with the section; the message begins with the key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FleetSectionError {
    /// Out of bounds.
    #[error("fleet.{key} is not within {least} to {most}: '{value}'")]
    OutOfBounds {
        /// The key.
        key: &'static str,
        /// The least allowed.
        least: f64,
        /// The most allowed.
        most: f64,
        /// What was given.
        value: f64,
    },
    /// The longest period is under the shortest.
    #[error("fleet.longest_period_ms is less than period_ms: '{longest}' and '{least}'")]
    Order {
        /// The longest.
        longest: u32,
        /// The shortest.
        least: u32,
    },
}

impl FleetSection {
    /// The settings, if the section is sound; `None` if it is off. Bounds are checked even then.
    pub fn check(&self) -> Result<Option<Settings>, FleetSectionError> {
        let within = |key, value: f64, least: f64, most: f64| match value {
            _ if (least..=most).contains(&value) => Ok(()),
            _ => Err(FleetSectionError::OutOfBounds { key, least, most, value }),
        };
        let (least, most) = (f64::from(MEMBERS_WITHIN.0), f64::from(MEMBERS_WITHIN.1));
        within("members_from", self.members_from.map_or(least, f64::from), least, most)?;
        let (least, most) = DATAGRAMS_WITHIN;
        within("datagrams_per_request", self.datagrams_per_request, least, most)?;
        let (least, most) = (f64::from(PERIOD_WITHIN.0), f64::from(PERIOD_WITHIN.1));
        within("period_ms", f64::from(self.period_ms), least, most)?;
        within("longest_period_ms", f64::from(self.longest_period_ms), least, most)?;
        let (least, most) = (f64::from(GROUPS_WITHIN.0), f64::from(GROUPS_WITHIN.1));
        within("group_homes", self.group_homes.map_or(least, f64::from), least, most)?;
        within("home_use", self.home_use, HOME_USE_WITHIN.0, HOME_USE_WITHIN.1)?;
        let (least, most) = (f64::from(SECONDS_WITHIN.0), f64::from(SECONDS_WITHIN.1));
        within("homes_hold_s", f64::from(self.homes_hold_s), least, most)?;
        within("homes_keep_s", f64::from(self.homes_keep_s), least, most)?;
        if self.longest_period_ms < self.period_ms {
            return Err(FleetSectionError::Order { longest: self.longest_period_ms, least: self.period_ms });
        }
        Ok(self.members_from.map(|members_from| Settings {
            members_from,
            datagrams_per_request: self.datagrams_per_request,
            period: i64::from(self.period_ms) * 1_000,
            longest_period: i64::from(self.longest_period_ms) * 1_000,
            affinity: self.group_homes.map(|groups| AffinitySettings {
                groups: groups as usize,
                home_use: self.home_use,
                hold: i64::from(self.homes_hold_s) * 1_000_000,
                keep: i64::from(self.homes_keep_s) * 1_000_000,
            }),
        }))
    }
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;

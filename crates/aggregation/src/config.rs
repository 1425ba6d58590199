//! The section `[fleet]` of the operator's file.

use serde::{Deserialize, Serialize};

const DATAGRAMS_PER_REQUEST: f64 = 3.0;
const PERIOD_MS: u32 = 1_000;
const LONGEST_PERIOD_MS: u32 = 6_000;
const DATAGRAMS_WITHIN: (f64, f64) = (0.01, 1_000.0);
/// Milliseconds. Below, answers cross the next report; above, no summary is worth its datagram.
const PERIOD_WITHIN: (u32, u32) = (200, 60_000);
/// Groups of one report, and of one answer: what 16 datagrams hold, with room for long numbers.
const GROUPS_WITHIN: (u32, u32) = (1, 320);
/// Up to a quarter of a node, a group shares each endpoint of its subset with others.
const TARGET_UTILIZATION: f64 = 0.25;
const TARGET_UTILIZATION_WITHIN: (f64, f64) = (0.05, 0.9);
const SHRINK_HOLD_S: u32 = 600;
const RETENTION_S: u32 = 180;
/// Under 10 s, two answers that are lost would count as silence.
const SECONDS_WITHIN: (u32, u32) = (10, 86_400);
/// With fewer members each can send to every other.
const MEMBERS_WITHIN: (u32, u32) = (4, 65_535);

/// The section as it is written. Off unless `members_from` is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// The number of proxies from which on a fleet aggregates reports, in place of gossip.
    pub members_from: Option<u32>,
    /// Bandwidth limit of the fleet: full datagrams (256 bytes) sent for each request that arrives at any of its proxies.
    pub datagrams_per_request: f64,
    /// The least time between two reports of a proxy, in milliseconds.
    pub period_ms: u32,
    /// The most, however few requests arrive, in milliseconds.
    pub longest_period_ms: u32,
    /// Groups that a proxy reports, the heaviest, and groups that one answer gives more than five endpoints. Off unless set.
    pub group_homes: Option<u32>,
    /// Share of a node's capacity that one group is to use at each endpoint of its subset, what it costs there included.
    pub home_use: f64,
    /// Seconds within which a group's subset shrinks by half at most.
    pub homes_hold_s: u32,
    /// Seconds for which the last answer's sizes count when no other arrives.
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
            home_use: TARGET_UTILIZATION,
            homes_hold_s: SHRINK_HOLD_S,
            homes_keep_s: RETENTION_S,
        }
    }
}

/// Settings of affinity subsets that follow a group's load, checked. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AffinitySettings {
    /// Groups of one report, or of one answer, at most.
    pub max_groups: usize,
    /// Share of a node's capacity for one group at each endpoint of its subset.
    pub target_utilization: f64,
    /// Within this time a subset shrinks by half at most.
    pub shrink_hold: i64,
    /// How long the last answer counts.
    pub retention: i64,
}

/// A checked section that is on. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The least number of members that aggregate.
    pub members_from: u32,
    /// Full datagrams for each request of the fleet.
    pub datagrams_per_request: f64,
    /// The least time between two reports.
    pub min_report_interval: i64,
    /// The most.
    pub max_report_interval: i64,
    /// Affinity subsets that follow a group's load; `None`: five endpoints, whatever its load.
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
        within("home_use", self.home_use, TARGET_UTILIZATION_WITHIN.0, TARGET_UTILIZATION_WITHIN.1)?;
        let (least, most) = (f64::from(SECONDS_WITHIN.0), f64::from(SECONDS_WITHIN.1));
        within("homes_hold_s", f64::from(self.homes_hold_s), least, most)?;
        within("homes_keep_s", f64::from(self.homes_keep_s), least, most)?;
        if self.longest_period_ms < self.period_ms {
            return Err(FleetSectionError::Order { longest: self.longest_period_ms, least: self.period_ms });
        }
        Ok(self.members_from.map(|members_from| Settings {
            members_from,
            datagrams_per_request: self.datagrams_per_request,
            min_report_interval: i64::from(self.period_ms) * 1_000,
            max_report_interval: i64::from(self.longest_period_ms) * 1_000,
            affinity: self.group_homes.map(|groups| AffinitySettings {
                max_groups: groups as usize,
                target_utilization: self.home_use,
                shrink_hold: i64::from(self.homes_hold_s) * 1_000_000,
                retention: i64::from(self.homes_keep_s) * 1_000_000,
            }),
        }))
    }
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;

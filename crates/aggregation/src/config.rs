//! The section `[fleet]` of the operator's configuration file.

use serde::{Deserialize, Serialize};

const DEFAULT_DATAGRAMS_PER_REQUEST: f64 = 3.0;
const DEFAULT_PERIOD_MS: u32 = 1_000;
const DEFAULT_LONGEST_PERIOD_MS: u32 = 6_000;
const DATAGRAMS_PER_REQUEST_RANGE: (f64, f64) = (0.01, 1_000.0);
/// In milliseconds. With a shorter interval the next report is sent before the answer arrives; with a longer one a summary is
/// too old to be worth its datagram.
const PERIOD_MS_RANGE: (u32, u32) = (200, 60_000);
/// Number of groups in one report or one answer. 320 fit into 16 datagrams even when their numbers are long.
const GROUPS_RANGE: (u32, u32) = (1, 320);
/// At a quarter of a node's capacity, a group shares each endpoint of its subset with other groups.
const DEFAULT_TARGET_UTILIZATION: f64 = 0.25;
const TARGET_UTILIZATION_RANGE: (f64, f64) = (0.05, 0.9);
const DEFAULT_SHRINK_HOLD_S: u32 = 600;
const DEFAULT_RETENTION_S: u32 = 180;
/// In seconds. Below 10 s, the loss of two answers would be taken for a silent aggregator.
const SECONDS_RANGE: (u32, u32) = (10, 86_400);
/// With fewer than four members, each one can send its load to every other directly.
const MEMBERS_RANGE: (u32, u32) = (4, 65_535);

/// The section as written in the file. Aggregation is off unless `members_from` is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// The number of proxies from which a fleet aggregates load reports instead of using gossip.
    pub members_from: Option<u32>,
    /// Bandwidth limit of the fleet: full datagrams (256 bytes) per request that arrives at any of its proxies.
    pub datagrams_per_request: f64,
    /// The minimum time between two reports of a proxy, in milliseconds.
    pub period_ms: u32,
    /// The maximum time between two reports of a proxy, in milliseconds, even when few requests arrive.
    pub longest_period_ms: u32,
    /// The maximum number of groups in a proxy's report, which names those with the most load, and the maximum number of groups
    /// to which one answer gives more than five endpoints. Without this key, affinity subsets do not follow the load.
    pub group_homes: Option<u32>,
    /// Share of a node's capacity that one group is to use at each endpoint of its subset, including the fixed cost of the
    /// group at the endpoint.
    pub home_use: f64,
    /// Time in seconds within which a group's subset shrinks by at most half.
    pub homes_hold_s: u32,
    /// Time in seconds for which the sizes of the last answer stay in force when no further answer arrives.
    pub homes_keep_s: u32,
}

impl Default for FleetSection {
    fn default() -> Self {
        FleetSection {
            members_from: None,
            datagrams_per_request: DEFAULT_DATAGRAMS_PER_REQUEST,
            period_ms: DEFAULT_PERIOD_MS,
            longest_period_ms: DEFAULT_LONGEST_PERIOD_MS,
            group_homes: None,
            home_use: DEFAULT_TARGET_UTILIZATION,
            homes_hold_s: DEFAULT_SHRINK_HOLD_S,
            homes_keep_s: DEFAULT_RETENTION_S,
        }
    }
}

/// Validated settings of affinity subsets that follow a group's load. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AffinitySettings {
    /// Maximum number of groups in one report or one answer.
    pub max_groups: usize,
    /// Share of a node's capacity that one group is to use at each endpoint of its subset.
    pub target_utilization: f64,
    /// Time within which a subset shrinks by at most half.
    pub shrink_hold: i64,
    /// Time for which the sizes of the last answer stay in force when no further answer arrives.
    pub retention: i64,
}

/// The validated section of a fleet with aggregation. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of members from which the fleet aggregates load reports.
    pub members_from: u32,
    /// Bandwidth limit: full datagrams per request that arrives at the fleet.
    pub datagrams_per_request: f64,
    /// The minimum time between two reports of a member.
    pub min_report_interval: i64,
    /// The maximum time between two reports of a member.
    pub max_report_interval: i64,
    /// Settings of affinity subsets that follow a group's load; `None` if every group has five endpoints.
    pub affinity: Option<AffinitySettings>,
}

/// An invalid section; the message begins with the key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FleetSectionError {
    /// A value is outside its range.
    #[error("fleet.{key} is not within {min} to {max}: '{value}'")]
    OutOfBounds {
        /// The name of the key in the section.
        key: &'static str,
        /// The smallest valid value.
        min: f64,
        /// The largest valid value.
        max: f64,
        /// The configured value.
        value: f64,
    },
    /// `longest_period_ms` is less than `period_ms`.
    #[error("fleet.longest_period_ms is less than period_ms: '{longest_period_ms}' and '{period_ms}'")]
    PeriodOrder {
        /// The value of `longest_period_ms`.
        longest_period_ms: u32,
        /// The value of `period_ms`.
        period_ms: u32,
    },
}

impl FleetSection {
    /// Validates the section and returns its settings, or `None` if aggregation is off. Ranges are checked in both cases.
    pub fn check(&self) -> Result<Option<Settings>, FleetSectionError> {
        let check_range = |key, value: f64, min: f64, max: f64| match value {
            _ if (min..=max).contains(&value) => Ok(()),
            _ => Err(FleetSectionError::OutOfBounds { key, min, max, value }),
        };
        let (min, max) = (f64::from(MEMBERS_RANGE.0), f64::from(MEMBERS_RANGE.1));
        check_range("members_from", self.members_from.map_or(min, f64::from), min, max)?;
        let (min, max) = DATAGRAMS_PER_REQUEST_RANGE;
        check_range("datagrams_per_request", self.datagrams_per_request, min, max)?;
        let (min, max) = (f64::from(PERIOD_MS_RANGE.0), f64::from(PERIOD_MS_RANGE.1));
        check_range("period_ms", f64::from(self.period_ms), min, max)?;
        check_range("longest_period_ms", f64::from(self.longest_period_ms), min, max)?;
        let (min, max) = (f64::from(GROUPS_RANGE.0), f64::from(GROUPS_RANGE.1));
        check_range("group_homes", self.group_homes.map_or(min, f64::from), min, max)?;
        check_range("home_use", self.home_use, TARGET_UTILIZATION_RANGE.0, TARGET_UTILIZATION_RANGE.1)?;
        let (min, max) = (f64::from(SECONDS_RANGE.0), f64::from(SECONDS_RANGE.1));
        check_range("homes_hold_s", f64::from(self.homes_hold_s), min, max)?;
        check_range("homes_keep_s", f64::from(self.homes_keep_s), min, max)?;
        if self.longest_period_ms < self.period_ms {
            return Err(FleetSectionError::PeriodOrder {
                longest_period_ms: self.longest_period_ms,
                period_ms: self.period_ms,
            });
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

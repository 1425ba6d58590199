//! The section `[fleet]` of the operator's file.

use serde::{Deserialize, Serialize};

const DATAGRAMS_PER_REQUEST: f64 = 3.0;
const PERIOD_MS: u32 = 1_000;
const LONGEST_PERIOD_MS: u32 = 6_000;
const DATAGRAMS_WITHIN: (f64, f64) = (0.01, 1_000.0);
/// Below, answers cross the next question; above, nothing told is worth its datagram.
const PERIOD_WITHIN: (u32, u32) = (200, 60_000);
/// With fewer, everybody can tell everybody.
const MEMBERS_WITHIN: (u32, u32) = (4, 65_535);

/// The section as it is written. Off unless `members_from` is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSection {
    /// A tier of so many proxies or more has a fleet view, in place of gossip.
    pub members_from: Option<u32>,
    /// Ceiling of the whole tier: full datagrams (256 bytes) sent for each request that comes to any of its proxies.
    pub datagrams_per_request: f64,
    /// Milliseconds between two reports of a proxy at least.
    pub period_ms: u32,
    /// ... and at most, however few requests come.
    pub longest_period_ms: u32,
}

impl Default for FleetSection {
    fn default() -> Self {
        FleetSection {
            members_from: None,
            datagrams_per_request: DATAGRAMS_PER_REQUEST,
            period_ms: PERIOD_MS,
            longest_period_ms: LONGEST_PERIOD_MS,
        }
    }
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
}

/// What is wrong with the section; the message begins with the key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BadFleet {
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
    pub fn check(&self) -> Result<Option<Settings>, BadFleet> {
        let within = |key, value: f64, least: f64, most: f64| match value {
            _ if (least..=most).contains(&value) => Ok(()),
            _ => Err(BadFleet::OutOfBounds { key, least, most, value }),
        };
        let (least, most) = (f64::from(MEMBERS_WITHIN.0), f64::from(MEMBERS_WITHIN.1));
        within("members_from", self.members_from.map_or(least, f64::from), least, most)?;
        let (least, most) = DATAGRAMS_WITHIN;
        within("datagrams_per_request", self.datagrams_per_request, least, most)?;
        let (least, most) = (f64::from(PERIOD_WITHIN.0), f64::from(PERIOD_WITHIN.1));
        within("period_ms", f64::from(self.period_ms), least, most)?;
        within("longest_period_ms", f64::from(self.longest_period_ms), least, most)?;
        if self.longest_period_ms < self.period_ms {
            return Err(BadFleet::Order { longest: self.longest_period_ms, least: self.period_ms });
        }
        Ok(self.members_from.map(|members_from| Settings {
            members_from,
            datagrams_per_request: self.datagrams_per_request,
            period: i64::from(self.period_ms) * 1_000,
            longest_period: i64::from(self.longest_period_ms) * 1_000,
        }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn off_unless_said_and_every_fault_names_its_key() {
        let check = |text: &str| {
            let section: FleetSection = toml::from_str(text).map_err(|e| e.message().to_owned())?;
            section.check().map_err(|e| e.to_string())
        };
        assert_eq!(check(""), Ok(None));
        assert_eq!(check("members_from = 24").unwrap().unwrap().period, 1_000_000);
        for (text, named) in [
            ("members = 3", "unknown field"),
            ("members_from = 2", "fleet.members_from is not within"),
            ("datagrams_per_request = 0", "fleet.datagrams_per_request is not within"),
            ("datagrams_per_request = nan", "fleet.datagrams_per_request is not within"),
            ("period_ms = 10", "fleet.period_ms is not within"),
            ("longest_period_ms = 900", "fleet.longest_period_ms is less"),
        ] {
            let error = check(text).unwrap_err();
            assert!(error.contains(named), "{text}: {error}");
        }
    }
}

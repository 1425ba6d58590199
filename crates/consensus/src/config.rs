//! The configuration of a member: the cluster's members and voters, and the durations that the protocol uses.

use crate::Micros;
use crate::clock_drift::lengthen;
use serde::{Deserialize, Serialize};

/// The largest number of voters. More voters would only make each change slower.
const MAX_VOTERS: usize = 9;
/// The upper limit of each configured duration.
const MAX_DURATION: Micros = 3_600_000_000;
/// The configured drift must be below this: with more drift, leases would not be useful.
const MAX_DRIFT_PPM: u32 = 200_000;

/// The configuration of one member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The ordinal of this member.
    pub ordinal: u16,
    /// The number of members; their ordinals are 0 to `members - 1`.
    pub members: u16,
    /// The ordinals of the voters. Their count is odd, and all members must be configured with the same voters.
    pub voters: Vec<u16>,
    /// The durations of the protocol. All members must be configured with the same values.
    pub timing: Timing,
    /// Identifies this run of the process. A member must use a new value at each start.
    pub incarnation: u64,
}

/// The durations of the protocol in microseconds, and the limit on clock drift. All members must be configured with the
/// same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a lease lasts, counted from when the member sent the request.
    pub lease: Micros,
    /// The interval between two heartbeats of the leader.
    pub heartbeat: Micros,
    /// After a heartbeat, a voter votes for no other candidate for this long.
    #[serde(rename = "election_least")]
    pub election_timeout_min: Micros,
    /// The longest time that a voter waits for a heartbeat before it starts an election, or for votes before it starts
    /// the next one.
    #[serde(rename = "election_most")]
    pub election_timeout_max: Micros,
    /// The largest error of a clock's rate, in parts per million.
    pub drift_ppm: u32,
    /// The longest time between a check of the lease and the end of the action that relies on the check.
    pub act: Micros,
    /// How long members may take to prepare a pending version. After that, the change continues without the members
    /// that aren't ready.
    pub prepare: Micros,
    /// The guarantee to operators: two members act on incompatible versions for at most this long.
    pub contradiction: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: 1_200_000,
            heartbeat: 150_000,
            election_timeout_min: 500_000,
            election_timeout_max: 900_000,
            drift_ppm: 1_000,
            act: 300_000,
            prepare: 3_000_000,
            contradiction: 2_000_000,
        }
    }
}

/// The reason why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A lease and an action together may take longer than [`Timing::contradiction`].
    #[error(
        "lease {lease} us lasts up to {lease_with_drift} us with drift {drift_ppm} ppm; with act {act} us, the sum is \
         {sum} us, more than contradiction {contradiction} us"
    )]
    Contradiction {
        /// The configured [`Timing::lease`].
        lease: Micros,
        /// The configured [`Timing::drift_ppm`].
        drift_ppm: u32,
        /// The duration of the lease in true time, counted by the slowest clock.
        lease_with_drift: Micros,
        /// The configured [`Timing::act`].
        act: Micros,
        /// The sum of `lease_with_drift` and `act`.
        sum: Micros,
        /// The configured [`Timing::contradiction`].
        contradiction: Micros,
    },
    /// The heartbeat interval and the election time-outs don't fit together.
    #[error(
        "heartbeat {heartbeat} us, election_least {min} us, election_most {max} us: each must be above zero, election_least \
         must be at least three heartbeats, and election_most must exceed election_least by a tenth plus the clock drift"
    )]
    Election {
        /// The configured [`Timing::heartbeat`].
        heartbeat: Micros,
        /// The configured [`Timing::election_timeout_min`].
        min: Micros,
        /// The configured [`Timing::election_timeout_max`].
        max: Micros,
    },
    /// A duration is too short, or longer than an hour.
    #[error("{name} is {value} us; it must be from {min} to 3,600,000,000 us")]
    OutOfRange {
        /// The name of the setting.
        name: &'static str,
        /// The configured value.
        value: Micros,
        /// The smallest value that is accepted.
        min: Micros,
    },
    /// The configured drift is too large for leases to be useful.
    #[error("drift is {0} ppm; it must be below 200,000 ppm")]
    Drift(u32),
    /// The number of voters is even, zero or above the limit, or a voter is listed twice.
    #[error(
        "voters {0:?}: the number of voters must be odd and at most {MAX_VOTERS}, and no voter may be listed twice"
    )]
    Voters(Vec<u16>),
    /// The ordinal of this member or of a voter is not below the number of members.
    #[error("member {ordinal} does not exist: the cluster has {members} members, with ordinals from 0")]
    UnknownMember {
        /// The unknown ordinal.
        ordinal: u16,
        /// The number of members.
        members: u16,
    },
}

impl Timing {
    /// Checks that every value is in its range, and that the values together keep [`Timing::contradiction`].
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_ranges()?;
        self.check_election()?;
        self.check_contradiction()
    }

    fn check_ranges(&self) -> Result<(), ConfigError> {
        // These are the names of the settings, which differ from the names of some fields.
        let durations = [
            ("lease", self.lease, 1_000),
            ("heartbeat", self.heartbeat, 1),
            ("election_least", self.election_timeout_min, 1),
            ("election_most", self.election_timeout_max, 1),
            ("act", self.act, 0),
            ("prepare", self.prepare, 1),
            ("contradiction", self.contradiction, 1),
        ];
        for (name, value, min) in durations {
            if value < min || value > MAX_DURATION {
                return Err(ConfigError::OutOfRange { name, value, min });
            }
        }
        if self.drift_ppm >= MAX_DRIFT_PPM { Err(ConfigError::Drift(self.drift_ppm)) } else { Ok(()) }
    }

    fn check_election(&self) -> Result<(), ConfigError> {
        let (min, max) = (self.election_timeout_min, self.election_timeout_max);
        let longest_promise = lengthen(min, self.drift_ppm);
        if min < 3 * self.heartbeat || max < longest_promise + min / 10 {
            return Err(ConfigError::Election { heartbeat: self.heartbeat, min, max });
        }
        Ok(())
    }

    fn check_contradiction(&self) -> Result<(), ConfigError> {
        let lease_with_drift = lengthen(self.lease, self.drift_ppm);
        let sum = lease_with_drift + self.act;
        if sum <= self.contradiction {
            return Ok(());
        }
        Err(ConfigError::Contradiction {
            lease: self.lease,
            drift_ppm: self.drift_ppm,
            lease_with_drift,
            act: self.act,
            sum,
            contradiction: self.contradiction,
        })
    }
}

impl Config {
    /// Checks the timing, and that the voters are an odd number of distinct members.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.timing.check()?;
        let count = self.voters.len();
        let mut distinct = self.voters.clone();
        distinct.sort_unstable();
        distinct.dedup();
        if count == 0 || count > MAX_VOTERS || count.is_multiple_of(2) || distinct.len() != count {
            return Err(ConfigError::Voters(self.voters.clone()));
        }
        let members = self.members;
        match distinct.into_iter().chain([self.ordinal]).find(|&ordinal| ordinal >= members) {
            Some(ordinal) => Err(ConfigError::UnknownMember { ordinal, members }),
            None => Ok(()),
        }
    }

    pub(crate) fn is_voter(&self, ordinal: u16) -> bool {
        self.voters.contains(&ordinal)
    }

    /// Returns the smallest number of voters that is a majority.
    pub(crate) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

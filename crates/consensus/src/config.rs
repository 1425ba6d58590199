//! The cluster's members and voters, and the spans of the protocol.

use crate::Micros;
use crate::clock_drift::lengthen;
use serde::{Deserialize, Serialize};

/// The most voters: more would only make each change slower.
const MAX_VOTERS: usize = 9;
/// The longest span that can be configured.
const HOUR: Micros = 3_600_000_000;
/// Drift that is too large for a lease to be worth anything.
const MAX_DRIFT_PPM: u32 = 200_000;

/// This process's place in the cluster.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member's ordinal.
    pub ordinal: u16,
    /// The number of members; ordinals are below it.
    pub members: u16,
    /// The voters' ordinals: an odd number of them, the same at all members.
    pub voters: Vec<u16>,
    /// The same at all members.
    pub timing: Timing,
    /// Identifies this start of the process; never used twice by this member.
    pub incarnation: u64,
}

/// The spans of the protocol, in microseconds. The same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a member may act on a version after it requested the lease.
    pub lease: Micros,
    /// Between two heartbeats of the leader.
    pub heartbeat: Micros,
    /// For so long after a heartbeat a voter votes for no other candidate.
    #[serde(rename = "election_least")]
    pub election_timeout_min: Micros,
    /// The longest that a voter waits for a leader, or for votes.
    #[serde(rename = "election_most")]
    pub election_timeout_max: Micros,
    /// How far clocks' rates may be off, in millionths.
    pub drift_ppm: u32,
    /// The longest from a look at the lease to the act under it.
    pub act: Micros,
    /// How long members may take to prepare a new version before the change goes on without them.
    pub prepare: Micros,
    /// What operators are promised: no two members act on incompatible versions for longer.
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

/// Why a configuration can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The spans don't keep [`Timing::contradiction`].
    #[error(
        "lease {lease} us with drift {drift_ppm} ppm is {leased} us, and act {act} us: {sum} us in all, more than \
         contradiction {contradiction} us"
    )]
    Contradiction {
        /// As configured.
        lease: Micros,
        /// As configured.
        drift_ppm: u32,
        /// The lease by the slowest clock.
        leased: Micros,
        /// As configured.
        act: Micros,
        /// `leased` and `act` together.
        sum: Micros,
        /// As configured.
        contradiction: Micros,
    },
    /// The spans leave no room for elections.
    #[error(
        "heartbeat {heartbeat} us, election_least {min} us, election_most {max} us: each must be above zero, least at least three heartbeats, most above least by a tenth"
    )]
    Election {
        /// As configured.
        heartbeat: Micros,
        /// [`Timing::election_timeout_min`], as configured.
        min: Micros,
        /// [`Timing::election_timeout_max`], as configured.
        max: Micros,
    },
    /// A span is too short, or longer than an hour.
    #[error("{name} is {value} us; it must be from {min} to 3,600,000,000")]
    Span {
        /// The span's key.
        name: &'static str,
        /// As configured.
        value: Micros,
        /// The shortest it can be.
        min: Micros,
    },
    /// The clocks are too bad for leases.
    #[error("drift {0} ppm; it must be below 200,000")]
    Drift(u32),
    /// These voters can't be a majority of one another.
    #[error("voters {0:?}: an odd number of different ones is needed, at most {MAX_VOTERS}")]
    Voters(Vec<u16>),
    /// This member, or a voter, isn't a member of the cluster.
    #[error("member {ordinal} of {members} there are")]
    UnknownMember {
        /// Its ordinal.
        ordinal: u16,
        /// The number of members.
        members: u16,
    },
}

impl Timing {
    /// Whether every span is in its range and together they keep [`Timing::contradiction`].
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_ranges()?;
        self.check_election()?;
        self.check_contradiction()
    }

    fn check_ranges(&self) -> Result<(), ConfigError> {
        // Operators' keys, whatever the fields are called.
        let spans = [
            ("lease", self.lease, 1_000),
            ("heartbeat", self.heartbeat, 1),
            ("election_least", self.election_timeout_min, 1),
            ("election_most", self.election_timeout_max, 1),
            ("act", self.act, 0),
            ("prepare", self.prepare, 1),
            ("contradiction", self.contradiction, 1),
        ];
        for (name, value, min) in spans {
            if value < min || value > HOUR {
                return Err(ConfigError::Span { name, value, min });
            }
        }
        if self.drift_ppm >= MAX_DRIFT_PPM { Err(ConfigError::Drift(self.drift_ppm)) } else { Ok(()) }
    }

    fn check_election(&self) -> Result<(), ConfigError> {
        let (min, max) = (self.election_timeout_min, self.election_timeout_max);
        let promised = lengthen(min, self.drift_ppm);
        if min < 3 * self.heartbeat || max < promised + min / 10 {
            return Err(ConfigError::Election { heartbeat: self.heartbeat, min, max });
        }
        Ok(())
    }

    fn check_contradiction(&self) -> Result<(), ConfigError> {
        let leased = lengthen(self.lease, self.drift_ppm);
        let sum = leased + self.act;
        if sum <= self.contradiction {
            return Ok(());
        }
        Err(ConfigError::Contradiction {
            lease: self.lease,
            drift_ppm: self.drift_ppm,
            leased,
            act: self.act,
            sum,
            contradiction: self.contradiction,
        })
    }
}

impl Config {
    /// Whether the spans can be used, and the voters are an odd number of different members.
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

    /// The number of voters that makes a majority.
    pub(crate) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

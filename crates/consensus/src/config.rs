//! How many there are, who votes, and the spans all follow from.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Voters at most; more of them only make each change dearer.
const MOST_VOTERS: usize = 9;

/// Who this process is, among whom.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member's ordinal.
    pub ordinal: u16,
    /// Members there are; ordinals are below this.
    pub members: u16,
    /// Ordinals of those that vote: an odd number of them, the same at all members.
    pub voters: Vec<u16>,
    /// The same at all members.
    pub timing: Timing,
    /// This life of the process; never used twice by this member.
    pub incarnation: u64,
}

/// The spans. The same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a member may act on a version after it asked for the lease.
    pub lease: Micros,
    /// Time from one round of the leader to the next.
    pub heartbeat: Micros,
    /// A voter that heard from a leader votes for no other for so long.
    #[serde(rename = "election_least")]
    pub election_timeout_min: Micros,
    /// The longest a voter waits for a leader, or for votes.
    #[serde(rename = "election_most")]
    pub election_timeout_max: Micros,
    /// How far clocks' rates may be off, in millionths.
    pub drift_ppm: u32,
    /// The longest from a look at the right to the act under it.
    pub act: Micros,
    /// How long members have to get a new version before it goes on without them.
    pub prepare: Micros,
    /// The promise to the operator: nobody acts on contradicting versions longer than this.
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

/// What can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The promise isn't kept by these spans.
    #[error(
        "lease {lease} us with drift {drift_ppm} ppm is {leased} us, and act {act} us: {sum} us in all, more than \
         contradiction {contradiction} us"
    )]
    Contradiction {
        /// As configured.
        lease: Micros,
        /// As configured.
        drift_ppm: u32,
        /// The lease at the slowest clock.
        leased: Micros,
        /// As configured.
        act: Micros,
        /// What it comes to.
        sum: Micros,
        /// What was promised.
        contradiction: Micros,
    },
    /// Spans that leave no room for elections.
    #[error(
        "heartbeat {heartbeat} us, election_least {least} us, election_most {most} us: each must be above zero, least at least three heartbeats, most above least by a tenth"
    )]
    Election {
        /// As configured.
        heartbeat: Micros,
        /// As configured.
        least: Micros,
        /// As configured.
        most: Micros,
    },
    /// A span that must be above zero, or not below, isn't; or is over an hour.
    #[error("{name} is {value} us; it must be from {least} to 3,600,000,000")]
    Span {
        /// Which.
        name: &'static str,
        /// As configured.
        value: Micros,
        /// The least that can be.
        least: Micros,
    },
    /// Clocks so bad that no lease holds.
    #[error("drift {0} ppm; it must be below 200,000")]
    Drift(u32),
    /// Voters that can't vote.
    #[error("{0}")]
    Voters(String),
}

impl Timing {
    /// Whether the spans keep the promise.
    pub fn check(&self) -> Result<(), ConfigError> {
        const HOUR: Micros = 3_600_000_000;
        let spans = [
            ("lease", self.lease, 1_000),
            ("heartbeat", self.heartbeat, 1),
            ("election_least", self.election_timeout_min, 1),
            ("election_most", self.election_timeout_max, 1),
            ("act", self.act, 0),
            ("prepare", self.prepare, 1),
            ("contradiction", self.contradiction, 1),
        ];
        for (name, value, least) in spans {
            if value < least || value > HOUR {
                return Err(ConfigError::Span { name, value, least });
            }
        }
        if self.drift_ppm >= 200_000 {
            return Err(ConfigError::Drift(self.drift_ppm));
        }
        let least = crate::clock_drift::longer(self.election_timeout_min, self.drift_ppm);
        if self.election_timeout_min < 3 * self.heartbeat
            || self.election_timeout_max < least + self.election_timeout_min / 10
        {
            return Err(ConfigError::Election {
                heartbeat: self.heartbeat,
                least: self.election_timeout_min,
                most: self.election_timeout_max,
            });
        }
        let leased = crate::clock_drift::longer(self.lease, self.drift_ppm);
        let sum = leased + self.act;
        if sum > self.contradiction {
            return Err(ConfigError::Contradiction {
                lease: self.lease,
                drift_ppm: self.drift_ppm,
                leased,
                act: self.act,
                sum,
                contradiction: self.contradiction,
            });
        }
        Ok(())
    }
}

impl Config {
    /// Whether the spans keep the promise and the voters can vote.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.timing.check()?;
        let count = self.voters.len();
        let mut distinct = self.voters.clone();
        distinct.sort_unstable();
        distinct.dedup();
        if count == 0 || count > MOST_VOTERS || count.is_multiple_of(2) || distinct.len() != count {
            return Err(ConfigError::Voters(format!(
                "voters {:?}: an odd number of different ones is needed, at most {MOST_VOTERS}",
                self.voters
            )));
        }
        if let Some(stranger) =
            distinct.iter().chain([&self.ordinal]).find(|&&ordinal| ordinal >= self.members)
        {
            return Err(ConfigError::Voters(format!("member {stranger} of {} there are", self.members)));
        }
        Ok(())
    }

    pub(crate) fn votes(&self, ordinal: u16) -> bool {
        self.voters.contains(&ordinal)
    }

    /// Voters that make a majority.
    pub(crate) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

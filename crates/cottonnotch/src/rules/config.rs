//! The sections `[rules]`, `[[hardware]]` and `[accord]` of the operator's file. All are off unless set. Their keys are the
//! operators': `[accord]` configures consensus.

use cottonnotch_consensus::{Config, ConfigError, Timing};
use cottonnotch_rule_compiler::{Budgets, Features, Profile, Profiles};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Where this proxy's rules come from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RulesSection {
    /// The folder with the namespaces' files, `*.toml`. They are read at the start and on SIGHUP.
    pub folder: Option<PathBuf>,
    /// The path of the namespace that owns everything, and delegates to the others.
    pub root: String,
    /// The connections of the whole fleet, of which namespaces have quotas. 0: what the settings' tenants may hold open.
    pub connections: u64,
}

impl Default for RulesSection {
    fn default() -> Self {
        RulesSection { folder: None, root: "consortium".into(), connections: 0 }
    }
}

/// What the render nodes of one hardware class can run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardwareSection {
    /// The class, as discovery's `flavor` names it.
    pub name: String,
    /// What its nodes can do.
    #[serde(default)]
    pub features: Features,
    /// How many rules they can hold.
    #[serde(default)]
    pub budgets: Budgets,
}

/// What happens to a request while this process knows of no rule to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownRules {
    /// It is rejected, with a Retry-After.
    Refuse,
    /// It is served as without rules.
    Serve,
}

/// How this proxy and the others agree on which rules are in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// The text that `check` shows of a value that is no table, word for word.
#[serde(deny_unknown_fields, default, expecting = "struct AccordSection")]
pub struct ConsensusSection {
    /// The address for datagrams, and for contents over TCP. Consensus is off unless it is set.
    pub listen: Option<SocketAddr>,
    /// The cluster's name, the same at all members.
    pub cluster: Option<String>,
    /// The file with the key that authenticates members: 64 hexadecimal digits.
    pub key_file: Option<PathBuf>,
    /// This member's ordinal, from 0.
    pub me: Option<u16>,
    /// The ordinals of the members that vote: an odd number of them.
    pub voters: Vec<u16>,
    /// The address by which this proxy reaches each member, this one included, by ordinal.
    pub members: Vec<SocketAddr>,
    /// The folder for the state that outlives the process.
    pub state_folder: Option<PathBuf>,
    /// The cluster starts for the first time: a voter without durable state never had any.
    pub first_start: bool,
    /// No two processes act on incompatible rules for longer.
    pub contradiction_ms: u32,
    /// How long a process may act on a version after it requested the lease.
    pub lease_ms: u32,
    /// Between two heartbeats of the leader.
    pub heartbeat_ms: u32,
    /// How long a voter waits for a leader at least ...
    pub election_least_ms: u32,
    /// ... and at most.
    pub election_most_ms: u32,
    /// How far clocks' rates may be off, in millionths.
    pub drift_ppm: u32,
    /// The longest from a look at the lease to the act under it.
    pub act_ms: u32,
    /// How long members may take to prepare new rules.
    pub prepare_ms: u32,
    /// For requests before this process knows which rules are in force.
    pub before_first: UnknownRules,
    /// While the lease is expired: for requests that no requirement selects.
    pub unruled_on_doubt: UnknownRules,
    /// The Retry-After of requests rejected for either.
    pub retry_ms: u32,
}

impl Default for ConsensusSection {
    fn default() -> Self {
        ConsensusSection {
            listen: None,
            cluster: None,
            key_file: None,
            me: None,
            voters: Vec::new(),
            members: Vec::new(),
            state_folder: None,
            first_start: false,
            contradiction_ms: 2_000,
            lease_ms: 1_200,
            heartbeat_ms: 150,
            election_least_ms: 500,
            election_most_ms: 900,
            drift_ppm: 1_000,
            act_ms: 300,
            prepare_ms: 3_000,
            before_first: UnknownRules::Refuse,
            unruled_on_doubt: UnknownRules::Serve,
            retry_ms: 500,
        }
    }
}

/// What consensus needs of the configuration, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// The address for datagrams, and for contents over TCP.
    pub listen: SocketAddr,
    /// The cluster's name.
    pub cluster: String,
    /// The file with the key that authenticates members.
    pub key_file: PathBuf,
    /// This member's ordinal.
    pub ordinal: u16,
    /// The voters' ordinals.
    pub voters: Vec<u16>,
    /// The members' addresses, by ordinal.
    pub members: Vec<SocketAddr>,
    /// The folder for the state that outlives the process.
    pub state_folder: Option<PathBuf>,
    /// The cluster starts for the first time.
    pub first_start: bool,
    /// The spans of the protocol.
    pub timing: Timing,
    /// For requests before any version is known.
    pub before_first: UnknownRules,
    /// For requests that no requirement selects, while the lease is expired.
    pub unruled_on_doubt: UnknownRules,
    /// The Retry-After of requests rejected for either.
    pub retry: Duration,
}

/// Why a section can't be used. Each message begins with the key's full path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SectionError {
    /// Keys of `[accord]` are set, and consensus is off.
    #[error("accord.listen is missing, and other keys of the section are set")]
    ListenMissing,
    /// Consensus is on, and this key is missing.
    #[error("accord.{0} is missing, and accord.listen is set")]
    KeyMissing(&'static str),
    /// The port was left to the system.
    #[error("accord.listen needs a port: datagrams and contents go to the same number")]
    NoPort,
    /// Ordinals have 16 bits.
    #[error("accord.members names {0} proxies, which is too many")]
    TooManyMembers(usize),
    /// This member isn't one of the members.
    #[error("accord.me is {me}, and accord.members names {members} proxies")]
    NotAMember {
        /// This member's ordinal.
        me: u16,
        /// The number of members.
        members: u16,
    },
    /// The spans add up to more than was promised.
    #[error("accord.contradiction_ms cannot be kept: {sum}")]
    Contradiction {
        /// The spans, as a sum.
        sum: String,
    },
    /// A key has a value that consensus can't use.
    #[error("accord.{key} cannot be used: {source}")]
    Unusable {
        /// The key.
        key: String,
        /// Why.
        source: ConfigError,
    },
    /// A hardware class has two sections.
    #[error("hardware.{index}.name is there twice: '{name}'")]
    ClassTwice {
        /// The second section's place.
        index: usize,
        /// The class.
        name: String,
    },
}

impl ConsensusSection {
    /// The settings of consensus; `None`: it is off.
    pub fn check(&self) -> Result<Option<ConsensusSettings>, SectionError> {
        let timing = self.timing();
        timing.check().map_err(|error| self.timing_error(error))?;
        let Some(listen) = self.listen else {
            return match self.cluster.is_some() || self.me.is_some() || !self.members.is_empty() {
                true => Err(SectionError::ListenMissing),
                false => Ok(None),
            };
        };
        let settings = self.settings(listen, timing)?;
        if listen.port() == 0 {
            return Err(SectionError::NoPort);
        }
        self.check_members(settings.ordinal, timing)?;
        Ok(Some(settings))
    }

    fn settings(&self, listen: SocketAddr, timing: Timing) -> Result<ConsensusSettings, SectionError> {
        let ordinal = self.me.ok_or(SectionError::KeyMissing("me"))?;
        let cluster = self.cluster.clone().filter(|name| !name.is_empty());
        Ok(ConsensusSettings {
            listen,
            cluster: cluster.ok_or(SectionError::KeyMissing("cluster"))?,
            key_file: self.key_file.clone().ok_or(SectionError::KeyMissing("key_file"))?,
            ordinal,
            voters: self.voters.clone(),
            members: self.members.clone(),
            state_folder: self.state_folder.clone(),
            first_start: self.first_start,
            timing,
            before_first: self.before_first,
            unruled_on_doubt: self.unruled_on_doubt,
            retry: Duration::from_millis(self.retry_ms.into()),
        })
    }

    fn check_members(&self, ordinal: u16, timing: Timing) -> Result<(), SectionError> {
        let count = self.members.len();
        let members = u16::try_from(count).map_err(|_| SectionError::TooManyMembers(count))?;
        if ordinal >= members {
            return Err(SectionError::NotAMember { me: ordinal, members });
        }
        let config = Config { ordinal, members, voters: self.voters.clone(), timing, incarnation: 0 };
        config.check().map_err(|source| SectionError::Unusable { key: "voters".into(), source })
    }

    /// The spans of the protocol, in microseconds.
    pub fn timing(&self) -> Timing {
        let us = |ms: u32| i64::from(ms) * 1_000;
        Timing {
            lease: us(self.lease_ms),
            heartbeat: us(self.heartbeat_ms),
            election_timeout_min: us(self.election_least_ms),
            election_timeout_max: us(self.election_most_ms),
            drift_ppm: self.drift_ppm,
            act: us(self.act_ms),
            prepare: us(self.prepare_ms),
            contradiction: us(self.contradiction_ms),
        }
    }

    /// Names the key by which a fault of the spans is best corrected.
    fn timing_error(&self, source: ConfigError) -> SectionError {
        let key = match &source {
            ConfigError::Contradiction { .. } => return SectionError::Contradiction { sum: self.sum() },
            ConfigError::Election { .. } => "election_least_ms".to_owned(),
            ConfigError::OutOfRange { name, .. } => format!("{name}_ms"),
            ConfigError::Drift(_) => "drift_ppm".to_owned(),
            ConfigError::Voters(_) | ConfigError::UnknownMember { .. } => "voters".to_owned(),
        };
        SectionError::Unusable { key, source }
    }

    /// How long two processes may act on incompatible rules, as a sum.
    pub fn sum(&self) -> String {
        let (lease, act, drift) = (self.lease_ms, self.act_ms, self.drift_ppm);
        let slow = (u64::from(lease) * u64::from(drift)).div_ceil(1_000_000);
        let (sum, most) = (u64::from(lease) + slow + u64::from(act), self.contradiction_ms);
        format!(
            "lease_ms {lease} + {slow} (drift_ppm {drift}) + act_ms {act} = {sum} ms of contradiction_ms {most}"
        )
    }
}

/// The profiles by class; a class that is named twice is an error.
pub fn profiles(hardware: &[HardwareSection]) -> Result<Profiles, SectionError> {
    let mut profiles = Profiles::new();
    for (index, HardwareSection { name, features, budgets }) in hardware.iter().enumerate() {
        let profile = Profile { features: *features, budgets: *budgets };
        if profiles.insert(name.clone(), profile).is_some() {
            return Err(SectionError::ClassTwice { index, name: name.clone() });
        }
    }
    Ok(profiles)
}

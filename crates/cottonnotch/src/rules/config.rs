//! The sections `[rules]`, `[[hardware]]` and `[accord]` of the operator's file. Each is inactive unless it is configured.
//! `[accord]` configures consensus; operators' files use that name, so it cannot change.

use cottonnotch_consensus::{Config, ConfigError, Timing};
use cottonnotch_rule_compiler::{Budgets, Features, Profile, Profiles};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The section `[rules]`: the source of this proxy's rule files, and fleet-wide values that rules refer to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RulesSection {
    /// The folder with the namespaces' files, `*.toml`. The files are read at the start and on SIGHUP.
    pub folder: Option<PathBuf>,
    /// The path of the root namespace, which owns everything and delegates to other namespaces.
    pub root: String,
    /// The total number of connections of the fleet, from which namespaces get their quotas. 0 means the sum of the tenants'
    /// connection allowances in the settings.
    pub connections: u64,
}

impl Default for RulesSection {
    fn default() -> Self {
        RulesSection { folder: None, root: "consortium".into(), connections: 0 }
    }
}

/// A section `[[hardware]]`: the capabilities of the render nodes of one hardware class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardwareSection {
    /// The class, as in the field `flavor` of discovery.
    pub name: String,
    /// The features that its render nodes support.
    #[serde(default)]
    pub features: Features,
    /// How many rules its render nodes can hold.
    #[serde(default)]
    pub budgets: Budgets,
}

/// The handling of a request for which this process knows no rule that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownRules {
    /// Reject the request with a Retry-After.
    Refuse,
    /// Serve the request without restrictions.
    Serve,
}

/// The section `[accord]`: how the proxies agree on the rules that are in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// `check` shows this text, word for word, if the value is not a table.
#[serde(deny_unknown_fields, default, expecting = "struct AccordSection")]
pub struct ConsensusSection {
    /// The address for datagrams (UDP) and for contents (TCP). Consensus is off unless this key is set.
    pub listen: Option<SocketAddr>,
    /// The name of the cluster, equal at all members.
    pub cluster: Option<String>,
    /// The file with the key that authenticates members, as 64 hexadecimal digits.
    pub key_file: Option<PathBuf>,
    /// This member's ordinal, from 0.
    pub me: Option<u16>,
    /// The ordinals of the voters. Their number must be odd.
    pub voters: Vec<u16>,
    /// The addresses of all members, including this one, by ordinal.
    pub members: Vec<SocketAddr>,
    /// The folder for durable state.
    pub state_folder: Option<PathBuf>,
    /// Whether the cluster starts for the first time. A voter without durable state then starts with the initial state, instead
    /// of recovering its state from other voters.
    pub first_start: bool,
    /// The longest time for which two processes may act on incompatible rules.
    pub contradiction_ms: u32,
    /// How long a process may act on a version, from the time at which it requested the lease.
    pub lease_ms: u32,
    /// The interval between two heartbeats of the leader.
    pub heartbeat_ms: u32,
    /// The minimum election timeout.
    pub election_least_ms: u32,
    /// The maximum election timeout.
    pub election_most_ms: u32,
    /// The maximum clock drift, in parts per million.
    pub drift_ppm: u32,
    /// The longest time between the check of the lease and the action that depends on it.
    pub act_ms: u32,
    /// How long members may take to prepare a new version.
    pub prepare_ms: u32,
    /// The handling of requests until this process knows any version of the rules.
    pub before_first: UnknownRules,
    /// The handling of requests that no requirement selects, while the lease is expired.
    pub unruled_on_doubt: UnknownRules,
    /// The Retry-After of requests that `before_first` or `unruled_on_doubt` rejects.
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

/// The validated settings of consensus.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// The address for datagrams (UDP) and for contents (TCP).
    pub listen: SocketAddr,
    /// The name of the cluster.
    pub cluster: String,
    /// The file with the key that authenticates members.
    pub key_file: PathBuf,
    /// This member's ordinal.
    pub ordinal: u16,
    /// The voters' ordinals.
    pub voters: Vec<u16>,
    /// The members' addresses, by ordinal.
    pub members: Vec<SocketAddr>,
    /// The folder for durable state.
    pub state_folder: Option<PathBuf>,
    /// Whether the cluster starts for the first time.
    pub first_start: bool,
    /// The time limits of the protocol.
    pub timing: Timing,
    /// The handling of requests until any version is known.
    pub before_first: UnknownRules,
    /// The handling of requests that no requirement selects, while the lease is expired.
    pub unruled_on_doubt: UnknownRules,
    /// The Retry-After of requests that `before_first` or `unruled_on_doubt` rejects.
    pub retry: Duration,
}

/// Why a section is invalid. Each message begins with the full path of the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SectionError {
    /// `listen` is missing although other keys of `[accord]` are set.
    #[error("accord.listen is missing, but other keys of the section are set")]
    ListenMissing,
    /// A key that consensus requires is missing.
    #[error("accord.{0} is missing, but accord.listen is set")]
    KeyMissing(&'static str),
    /// `listen` has port 0. The datagrams' and the contents' sockets would get different ports from the system.
    #[error("accord.listen needs a fixed port: datagrams and contents use the same port number")]
    PortMissing,
    /// There are more members than 16-bit ordinals.
    #[error("accord.members names {0} proxies, the maximum is 65535")]
    TooManyMembers(usize),
    /// This member's ordinal is not below the number of members.
    #[error("accord.me is {ordinal}, and accord.members names {members} proxies")]
    NotAMember {
        /// This member's ordinal.
        ordinal: u16,
        /// The number of members.
        members: u16,
    },
    /// The configured times add up to more than `contradiction_ms`.
    #[error("accord.contradiction_ms cannot be kept: {sum}")]
    Contradiction {
        /// The sum that exceeds `contradiction_ms`, written out.
        sum: String,
    },
    /// A key has an invalid value.
    #[error("accord.{key} cannot be used: {source}")]
    InvalidValue {
        /// The name of the key.
        key: String,
        /// The reason.
        source: ConfigError,
    },
    /// Two sections describe the same hardware class.
    #[error("hardware.{index}.name is there twice: '{name}'")]
    DuplicateClass {
        /// The index of the second section.
        index: usize,
        /// The name of the class.
        name: String,
    },
}

impl ConsensusSection {
    /// Validates the section. Returns `None` if consensus is off.
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
            return Err(SectionError::PortMissing);
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
            return Err(SectionError::NotAMember { ordinal, members });
        }
        let config = Config { ordinal, members, voters: self.voters.clone(), timing, incarnation: 0 };
        config.check().map_err(|source| SectionError::InvalidValue { key: "voters".into(), source })
    }

    /// The time limits of the protocol, in microseconds.
    pub fn timing(&self) -> Timing {
        let to_us = |ms: u32| i64::from(ms) * 1_000;
        Timing {
            lease: to_us(self.lease_ms),
            heartbeat: to_us(self.heartbeat_ms),
            election_timeout_min: to_us(self.election_least_ms),
            election_timeout_max: to_us(self.election_most_ms),
            drift_ppm: self.drift_ppm,
            act: to_us(self.act_ms),
            prepare: to_us(self.prepare_ms),
            contradiction: to_us(self.contradiction_ms),
        }
    }

    /// Converts an error of the time limits to one that names the key that the operator should correct.
    fn timing_error(&self, source: ConfigError) -> SectionError {
        let key = match &source {
            ConfigError::Contradiction { .. } => {
                return SectionError::Contradiction { sum: self.contradiction_sum() };
            }
            ConfigError::Election { .. } => "election_least_ms".to_owned(),
            ConfigError::OutOfRange { name, .. } => format!("{name}_ms"),
            ConfigError::Drift(_) => "drift_ppm".to_owned(),
            ConfigError::Voters(_) | ConfigError::UnknownMember { .. } => "voters".to_owned(),
        };
        SectionError::InvalidValue { key, source }
    }

    /// Writes out the sum that bounds how long two processes can act on incompatible rules.
    pub fn contradiction_sum(&self) -> String {
        let (lease, act, drift) = (self.lease_ms, self.act_ms, self.drift_ppm);
        let drift_ms = (u64::from(lease) * u64::from(drift)).div_ceil(1_000_000);
        let (sum, limit) = (u64::from(lease) + drift_ms + u64::from(act), self.contradiction_ms);
        format!(
            "lease_ms {lease} + {drift_ms} (drift_ppm {drift}) + act_ms {act} = {sum} ms of contradiction_ms {limit}"
        )
    }
}

/// The profiles by hardware class. Fails if two sections name the same class.
pub fn profiles(hardware: &[HardwareSection]) -> Result<Profiles, SectionError> {
    let mut profiles = Profiles::new();
    for (index, HardwareSection { name, features, budgets }) in hardware.iter().enumerate() {
        let profile = Profile { features: *features, budgets: *budgets };
        if profiles.insert(name.clone(), profile).is_some() {
            return Err(SectionError::DuplicateClass { index, name: name.clone() });
        }
    }
    Ok(profiles)
}

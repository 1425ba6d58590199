//! The sections `[rules]`, `[[hardware]]` and `[accord]` of the operator's file. All are off unless set.

use cottonnotch_consensus::{Config, Timing};
use cottonnotch_rule_compiler::{Budgets, Features, Profile, Profiles};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Where this proxy has rules from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RulesSection {
    /// The folder with the namespaces' files, `*.toml`. They are read at the start and on SIGHUP.
    pub folder: Option<PathBuf>,
    /// The path of the namespace that owns everything; files speak of what it has, or is left to them.
    pub root: String,
    /// The fleet's connections in all, of which namespaces have parts. 0: what the settings' tenants may hold open.
    pub connections: u64,
}

impl Default for RulesSection {
    fn default() -> Self {
        RulesSection { folder: None, root: "consortium".into(), connections: 0 }
    }
}

/// What one hardware class of render node can run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardwareSection {
    /// The class, as discovery's `flavor` names it.
    pub name: String,
    /// What its nodes can do.
    #[serde(default)]
    pub features: Features,
    /// How much of the rules it takes.
    #[serde(default)]
    pub budgets: Budgets,
}

/// What is done with a request while this process knows of no rule that it could go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unknown {
    /// It is refused, with a time to come again.
    Refuse,
    /// It goes the ordinary way.
    Serve,
}

/// How this proxy agrees with the others on which rules are in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConsensusSection {
    /// This member's own end: datagrams, and contents over TCP. The accord is off unless it is set.
    pub listen: Option<SocketAddr>,
    /// The cluster's name, the same at all members.
    pub cluster: Option<String>,
    /// The file with the key that proves members to one another: 64 hexadecimal digits.
    pub key_file: Option<PathBuf>,
    /// This member's number, from 0.
    pub me: Option<u16>,
    /// The members that vote, by number: an odd number of them.
    pub voters: Vec<u16>,
    /// By which address this proxy reaches each member, this one included, in the order of their numbers.
    pub members: Vec<SocketAddr>,
    /// What must outlive the process is kept here.
    pub state_folder: Option<PathBuf>,
    /// The cluster begins: a member without memory never had any.
    pub first_start: bool,
    /// No two processes act on contradicting rules for longer.
    pub contradiction_ms: u32,
    /// How long a process may act without hearing from the others.
    pub lease_ms: u32,
    /// Between two rounds of the leader.
    pub heartbeat_ms: u32,
    /// How long a voter waits for a leader at least ...
    pub election_least_ms: u32,
    /// ... and at most.
    pub election_most_ms: u32,
    /// How far clocks' rates may be off, in millionths.
    pub drift_ppm: u32,
    /// The longest from a look at the rules to the act under them.
    pub act_ms: u32,
    /// How long members have to get new rules ready.
    pub prepare_ms: u32,
    /// What is done with requests before this process has heard which rules are in force.
    pub before_first: Unknown,
    /// While the lease is over: what is done with those that no known must speaks of.
    pub unruled_on_doubt: Unknown,
    /// The time that is told to those refused for either.
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
            before_first: Unknown::Refuse,
            unruled_on_doubt: Unknown::Serve,
            retry_ms: 500,
        }
    }
}

/// What the accord needs, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// This member's own end.
    pub listen: SocketAddr,
    /// The cluster's name.
    pub cluster: String,
    /// The key's file.
    pub key_file: PathBuf,
    /// This member's number.
    pub me: u16,
    /// The voters' numbers.
    pub voters: Vec<u16>,
    /// Where each member is reached.
    pub members: Vec<SocketAddr>,
    /// Where what must outlive the process is kept.
    pub state_folder: Option<PathBuf>,
    /// The cluster begins.
    pub first_start: bool,
    /// The spans.
    pub timing: Timing,
    /// Before the first version.
    pub before_first: Unknown,
    /// Without a lease and without a must.
    pub unruled_on_doubt: Unknown,
    /// The time told then.
    pub retry: Duration,
}

impl ConsensusSection {
    /// What it comes to; `None`: off. A message begins with the key's full path.
    pub fn check(&self) -> Result<Option<ConsensusSettings>, String> {
        let timing = self.timing();
        timing.check().map_err(|bad| self.unkept(&bad))?;
        let Some(listen) = self.listen else {
            return match self.cluster.is_some() || self.me.is_some() || !self.members.is_empty() {
                true => Err("accord.listen is missing, and other keys of the section are set".into()),
                false => Ok(None),
            };
        };
        let missing = |key: &str| format!("accord.{key} is missing, and accord.listen is set");
        let me = self.me.ok_or_else(|| missing("me"))?;
        let cluster = self.cluster.clone().filter(|name| !name.is_empty());
        let settings = ConsensusSettings {
            listen,
            cluster: cluster.ok_or_else(|| missing("cluster"))?,
            key_file: self.key_file.clone().ok_or_else(|| missing("key_file"))?,
            me,
            voters: self.voters.clone(),
            members: self.members.clone(),
            state_folder: self.state_folder.clone(),
            first_start: self.first_start,
            timing,
            before_first: self.before_first,
            unruled_on_doubt: self.unruled_on_doubt,
            retry: Duration::from_millis(self.retry_ms.into()),
        };
        if listen.port() == 0 {
            return Err("accord.listen needs a port: datagrams and contents go to the same number".into());
        }
        let members = u16::try_from(self.members.len())
            .map_err(|_| format!("accord.members names {} proxies, which is too many", self.members.len()))?;
        if me >= members {
            return Err(format!("accord.me is {me}, and accord.members names {members} proxies"));
        }
        let config = Config { ordinal: me, members, voters: self.voters.clone(), timing, incarnation: 0 };
        config.check().map_err(|bad| format!("accord.voters cannot be used: {bad}"))?;
        Ok(Some(settings))
    }

    /// The spans in the accord's terms.
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

    /// Names the key that a fault of the spans is best mended at, and shows the sum that was to be kept.
    fn unkept(&self, bad: &cottonnotch_consensus::ConfigError) -> String {
        use cottonnotch_consensus::ConfigError as Bad;
        match bad {
            Bad::Contradiction { .. } => {
                format!("accord.contradiction_ms cannot be kept: {}", self.sum())
            }
            Bad::Election { .. } => format!("accord.election_least_ms cannot be used: {bad}"),
            Bad::Span { name, .. } => format!("accord.{name}_ms cannot be used: {bad}"),
            Bad::Drift(_) => format!("accord.drift_ppm cannot be used: {bad}"),
            Bad::Voters(_) | Bad::UnknownMember { .. } => format!("accord.voters cannot be used: {bad}"),
        }
    }

    /// How long two processes may act on contradicting rules, as a sum.
    pub fn sum(&self) -> String {
        let (lease, act, drift) = (self.lease_ms, self.act_ms, self.drift_ppm);
        let slow = (u64::from(lease) * u64::from(drift)).div_ceil(1_000_000);
        let (sum, most) = (u64::from(lease) + slow + u64::from(act), self.contradiction_ms);
        format!(
            "lease_ms {lease} + {slow} (drift_ppm {drift}) + act_ms {act} = {sum} ms of contradiction_ms {most}"
        )
    }
}

/// The profiles by class; a class that is named twice is a fault.
pub fn profiles(hardware: &[HardwareSection]) -> Result<Profiles, String> {
    let mut profiles = Profiles::new();
    for (i, HardwareSection { name, features, budgets }) in hardware.iter().enumerate() {
        let profile = Profile { features: *features, budgets: *budgets };
        if profiles.insert(name.clone(), profile).is_some() {
            return Err(format!("hardware.{i}.name is there twice: '{name}'"));
        }
    }
    Ok(profiles)
}

//! The one place where configuration is read, checked and given defaults. There are three sources: the platform's
//! environment, the JSON file that its `GW_CONFIG` names, and the operator's TOML file. All are read whole before
//! anything is taken.
//!
//! The platform's and the operator's keys never overlap, with one exception: `RUST_LOG` wins over `log.filter`. At
//! the start a variable of the environment wins over the same thing in the JSON file; on SIGHUP the file wins,
//! since it is all that can have changed.

mod effective;
mod fault;
mod json_file;
mod operator;
mod operator_file;
mod platform;
mod present_keys;

pub use effective::Effective;
pub use fault::ConfigError;
use fault::ValueError;
pub use operator::OperatorConfig;
pub use operator_file::near_miss;
pub use present_keys::PresentKeys;

use crate::rules::RulesSettings;
use cottonnotch_decision::settings::Profile;
use cottonnotch_gossip::Keys;
use cottonnotch_proxy_core::EndpointUpdate;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::path::Path;

/// What the proxy is told.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that each direction of a connection may hold, from the memory limit.
    pub buffer_bound: usize,
    /// Where the other proxies are, if there are any.
    pub peer_addresses: PeerAddresses,
    /// How it speaks with them, if it does.
    pub gossip: Option<GossipConfig>,
    /// The rules, if there are any.
    pub rules: Option<RulesSettings>,
    /// The list as the proxy last had it.
    pub initial_endpoints: EndpointUpdate,
    /// The settings, in the module's terms.
    pub profile: Profile,
    /// The operator's file.
    pub operator: OperatorConfig,
    /// Keys that the JSON file has.
    pub present_keys: PresentKeys,
}

/// The other proxies, as the platform tells of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerAddresses {
    /// This proxy's own end for datagrams.
    pub listen: Option<SocketAddr>,
    /// An address for each proxy, this one included, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// What is sent here reaches all others.
    pub all: Option<SocketAddr>,
}

/// What gossip needs beside the tier.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// The section's figures.
    pub settings: cottonnotch_gossip::Settings,
    /// What proves the members.
    pub keys: Keys,
    /// Tells this process from earlier ones of its name: Unix time in milliseconds when it was read.
    pub incarnation: u64,
}

impl Config {
    /// Reads what the environment and the JSON file say, once the operator's file is read.
    pub fn load(operator: OperatorConfig, effective: &mut Effective) -> Result<Self, ConfigError> {
        platform::read(operator, false, effective)
    }

    /// What `self` lacks of the configuration that counts. Guards against a file that was cut down by mistake: what it says
    /// no more would fall back to defaults, or to the environment of the start.
    pub fn check_replaces(&self, old: &Config) -> Result<(), ConfigError> {
        match self.present_keys.lacks(&old.present_keys) {
            Some(key) => Err(ConfigError::Platform {
                fault: ValueError::Dropped { key },
                place: self.present_keys.path.clone(),
            }),
            None => Ok(()),
        }
    }

    /// Reads both files again. Guards against an environment that still names what the JSON file has replaced.
    pub fn reload(operator: Option<&Path>) -> Result<Self, ConfigError> {
        let mut effective = Effective::default();
        let operator = OperatorConfig::read(operator, &mut effective)?;
        platform::read(operator, true, &mut effective)
    }
}

/// A variable of the environment; one that is no text counts as unset.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// A value as text: a text without quotes, `-` for nothing.
fn plain(value: &OwnedValue) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None if value.is_null() => "-".to_owned(),
        None => value.encode(),
    }
}

//! Configuration from the environment and from the JSON file that `GW_CONFIG` names. Only the keys that this proxy
//! needs are read; other keys are ignored.

use super::lists::List;
use crate::time::{MS, Micros, S};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// Why the proxy cannot start, or why it stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum BadProxyError {
    /// The configuration file cannot be read.
    #[error("GW_CONFIG: '{path}' cannot be read: {error}")]
    Unreadable {
        /// The path in `GW_CONFIG`.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The configuration file is not JSON, or a key has a value of the wrong type.
    #[error("GW_CONFIG: '{path}' is not a valid configuration: {error}")]
    NotJson {
        /// The path in `GW_CONFIG`.
        path: String,
        /// The parser's error.
        error: simd_json::Error,
    },
    /// A required setting is given neither by the environment nor by the file.
    #[error("required setting {0} is missing")]
    Missing(&'static str),
    /// A variable's value is not an address with a port.
    #[error("{key} is not an address and port: '{value}'")]
    NotAddress {
        /// The name of the environment variable.
        key: &'static str,
        /// The value of the variable.
        value: String,
    },
    /// The proxy cannot listen on the address: it is in use, or does not belong to this machine.
    #[error("{address} cannot be listened on: {error}")]
    Listen {
        /// The address and port.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The operating system refused a poll, a pipe or a socket.
    #[error("system call failed: {0}")]
    System(#[from] io::Error),
}

/// The configuration file as deserialized.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct File {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    known: Option<List>,
    settings: Settings,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        // The minimum that the platform grants.
        Limits { sockets: 1024 }
    }
}

/// Settings with the simulator's names and units: times are in microseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Settings {
    balancers: Option<u16>,
    ordinal: u16,
    policy_limits: PolicyLimits,
    request_classes: Vec<Class>,
    rules: Rules,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct PolicyLimits {
    most_tries: Option<u32>,
    connect_timeout: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Class {
    name: String,
    deadline: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Rules {
    warm_up: f64,
}

/// The proxy's validated configuration.
#[derive(Debug)]
pub(super) struct Configuration {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// This proxy's address for datagrams, and the address of one peer.
    pub peer: Option<(SocketAddr, SocketAddr)>,
    /// The last known endpoint list.
    pub known_list: Option<List>,
    /// Number of proxies in the tier, and this proxy's ordinal among them.
    pub tier: (u16, u16),
    pub max_attempts: u32,
    pub connect_timeout: Micros,
    pub classes: BTreeSet<String>,
    /// The longest deadline of all request classes.
    pub longest_deadline: Micros,
    pub warm_up: Micros,
}

impl Configuration {
    /// Reads the configuration at start-up. Environment variables take precedence over the file.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, BadProxyError> {
        let address = |key: &'static str| match variable(key) {
            None => Ok(None),
            Some(value) => match value.parse() {
                Ok(address) => Ok(Some(address)),
                Err(_) => Err(BadProxyError::NotAddress { key, value }),
            },
        };
        let file = read(&variable)?;
        let listen = address("GW_LISTEN")?.or(file.listen);
        let discovery = address("GW_DISCOVERY")?.or(file.discovery);
        Self::from_file(file, listen, discovery)
    }

    /// Reads the configuration again on SIGHUP. The file takes precedence, since the environment cannot have
    /// changed.
    pub fn reload(&self) -> Result<Self, BadProxyError> {
        let file = read(&|name| std::env::var(name).ok())?;
        let (listen, discovery) = (Some(self.listen), file.discovery.or(Some(self.discovery)));
        Self::from_file(file, listen, discovery)
    }

    fn from_file(
        file: File,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Self, BadProxyError> {
        let settings = file.settings;
        if settings.request_classes.is_empty() {
            return Err(BadProxyError::Missing("settings.requestClasses"));
        }
        let tier = (settings.balancers.unwrap_or(1).max(1), settings.ordinal);
        // The list of peers includes this proxy's own address.
        let next_ordinal = (usize::from(tier.1) + 1) % file.peers.len().max(1);
        let peer = file.peers.get(next_ordinal).filter(|_| file.peers.len() > 1);
        let deadlines = settings.request_classes.iter().map(|class| class.deadline as Micros);
        Ok(Configuration {
            listen: listen.ok_or(BadProxyError::Missing("GW_LISTEN"))?,
            discovery: discovery.ok_or(BadProxyError::Missing("GW_DISCOVERY"))?,
            max_descriptors: file.limits.sockets,
            peer: file.peer_listen.zip(peer.copied()),
            known_list: file.known,
            tier,
            max_attempts: settings.policy_limits.most_tries.unwrap_or(3).max(1),
            connect_timeout: settings.policy_limits.connect_timeout.map_or(250 * MS, |t| t as Micros),
            longest_deadline: deadlines.max().unwrap_or(2 * S),
            classes: settings.request_classes.into_iter().map(|class| class.name).collect(),
            warm_up: settings.rules.warm_up as Micros,
        })
    }
}

fn read(variable: &dyn Fn(&str) -> Option<String>) -> Result<File, BadProxyError> {
    let Some(path) = variable("GW_CONFIG") else { return Ok(File::default()) };
    match std::fs::read(&path) {
        Err(error) => Err(BadProxyError::Unreadable { path, error }),
        Ok(mut text) => {
            simd_json::from_slice(&mut text).map_err(|error| BadProxyError::NotJson { path, error })
        }
    }
}

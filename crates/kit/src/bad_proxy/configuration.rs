//! What the platform tells: the environment, and the JSON file that `GW_CONFIG` names. Only what a small proxy needs
//! is read; anything else may be there.

use super::lists::List;
use crate::time::{MS, Micros, S};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// Why the proxy can't serve, or no longer.
#[derive(Debug, thiserror::Error)]
pub enum BadProxyError {
    /// The file can't be read.
    #[error("GW_CONFIG: '{path}' cannot be read: {error}")]
    Unreadable {
        /// What `GW_CONFIG` names.
        path: String,
        /// As the system has it.
        error: io::Error,
    },
    /// The file is no JSON, or a key has the wrong kind of value.
    #[error("GW_CONFIG: '{path}' cannot be used: {error}")]
    NotJson {
        /// What `GW_CONFIG` names.
        path: String,
        /// What is wrong.
        error: simd_json::Error,
    },
    /// Told neither by the environment nor by the file.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// No address and port.
    #[error("{key} is not an address and port: '{value}'")]
    NotAddress {
        /// The variable.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// The address can't be listened on: taken, or not this machine's.
    #[error("{address} cannot be listened on: {error}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// As the system has it.
        error: io::Error,
    },
    /// The system has no poll, pipe or socket to give.
    #[error("the system refuses: {0}")]
    System(#[from] io::Error),
}

/// The file as it is written.
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
        // The least that the platform gives.
        Limits { sockets: 1024 }
    }
}

/// The simulator's names and units: times are in microseconds.
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

/// What the proxy is told.
#[derive(Debug)]
pub(super) struct Configuration {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Its own end for datagrams, and another proxy's.
    pub peer: Option<(SocketAddr, SocketAddr)>,
    /// The list as it was last had.
    pub known: Option<List>,
    /// Proxies of the tier, and this one's number among them.
    pub tier: (u16, u16),
    pub most_attempts: u32,
    pub connect_within: Micros,
    pub classes: BTreeSet<String>,
    /// Of all classes.
    pub longest_deadline: Micros,
    pub warm_up: Micros,
}

impl Configuration {
    /// At the start: a variable of the environment wins over the file.
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
        Self::of(file, listen, discovery)
    }

    /// On SIGHUP: the file wins, since the environment can't have changed.
    pub fn reload(&self) -> Result<Self, BadProxyError> {
        let file = read(&|name| std::env::var(name).ok())?;
        let (listen, discovery) = (Some(self.listen), file.discovery.or(Some(self.discovery)));
        Self::of(file, listen, discovery)
    }

    fn of(
        file: File,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Self, BadProxyError> {
        let settings = file.settings;
        if settings.request_classes.is_empty() {
            return Err(BadProxyError::Missing("settings.requestClasses"));
        }
        let tier = (settings.balancers.unwrap_or(1).max(1), settings.ordinal);
        // The list of peers has this proxy's own address among them.
        let other = (usize::from(tier.1) + 1) % file.peers.len().max(1);
        let peer = file.peers.get(other).filter(|_| file.peers.len() > 1);
        let deadlines = settings.request_classes.iter().map(|class| class.deadline as Micros);
        Ok(Configuration {
            listen: listen.ok_or(BadProxyError::Missing("GW_LISTEN"))?,
            discovery: discovery.ok_or(BadProxyError::Missing("GW_DISCOVERY"))?,
            sockets: file.limits.sockets,
            peer: file.peer_listen.zip(peer.copied()),
            known: file.known,
            tier,
            most_attempts: settings.policy_limits.most_tries.unwrap_or(3).max(1),
            connect_within: settings.policy_limits.connect_timeout.map_or(250 * MS, |t| t as Micros),
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

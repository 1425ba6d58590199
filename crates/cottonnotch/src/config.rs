//! The one place where configuration is read, checked and given defaults: the environment, then the JSON
//! file that `GW_CONFIG` names. At the start a variable of the environment wins over the same thing in the
//! file; on SIGHUP the file wins, since it is all that can have changed. Unknown keys are ignored: the
//! platform may add some.

use crate::net::{BadResult, ResolverResult};
use cottonnotch_decision::settings::{self, BadSetting, Pairs, Profile};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::net::SocketAddr;

/// Descriptors, where no limit is told.
const DEFAULT_SOCKETS: u64 = 1024;
/// Megabytes of memory, where no limit is told.
const DEFAULT_MEMORY: u64 = 192;
/// Each direction of a connection may hold this much at least ...
const LEAST_BUFFER: u64 = 8 * 1024;
/// ... and at most; in between, all buffers together keep to a quarter of the memory.
const MOST_BUFFER: u64 = 64 * 1024;
/// Fewer leave no room for a single client beside the proxy's own.
const LEAST_SOCKETS: u64 = 64;

/// What the proxy is told.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that each direction of a connection may hold, from the memory limit.
    pub buffer_bound: usize,
    /// The list as the proxy last had it.
    pub known: ResolverResult,
    /// The settings, in the module's terms.
    pub profile: Profile,
}

/// Why the proxy cannot start; the message names the faulty key.
#[derive(Debug, thiserror::Error)]
pub enum BadConfig {
    #[error("GW_CONFIG: '{path}' cannot be read: {error}")]
    Unreadable { path: String, error: std::io::Error },
    #[error("GW_CONFIG: '{path}' is not JSON: {error}")]
    NotJson { path: String, error: simd_json::Error },
    #[error("{key} is missing")]
    Missing { key: &'static str },
    #[error("{key} {trouble}: '{value}'")]
    Wrong { key: &'static str, trouble: &'static str, value: String },
    #[error("known: {0}")]
    Known(#[from] BadResult),
    #[error("settings.{key} {trouble}")]
    Setting { key: String, trouble: String },
}

impl From<BadSetting> for BadConfig {
    fn from(BadSetting { key, trouble }: BadSetting) -> Self {
        BadConfig::Setting { key, trouble }
    }
}

impl Config {
    /// Reads the environment and the file it names.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, BadConfig> {
        Self::read(variable, false)
    }

    /// Reads the file again. Guards against an environment that still names what the file has replaced.
    pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<Self, BadConfig> {
        Self::read(variable, true)
    }

    fn read(variable: impl Fn(&str) -> Option<String>, file_wins: bool) -> Result<Self, BadConfig> {
        let json = match variable("GW_CONFIG") {
            None => OwnedValue::object(),
            Some(path) => {
                let mut text = std::fs::read(&path)
                    .map_err(|error| BadConfig::Unreadable { path: path.clone(), error })?;
                simd_json::to_owned_value(&mut text).map_err(|error| BadConfig::NotJson { path, error })?
            }
        };
        Self::from_parts(&variable, &json, file_wins)
    }

    fn from_parts(
        variable: &dyn Fn(&str) -> Option<String>,
        json: &OwnedValue,
        file_wins: bool,
    ) -> Result<Self, BadConfig> {
        let text = |name: &str, key: &'static str| {
            let inherited = variable(name);
            let written = json.get(key).filter(|_| file_wins || inherited.is_none());
            match written.map(|value| (value, value.as_str())) {
                Some((_, Some(text))) => Ok(Some(text.to_owned())),
                Some((value, None)) => wrong(key, "is not a text", value),
                None => Ok(inherited),
            }
        };
        let address = |name: &str, key: &'static str| {
            let value = text(name, key)?.ok_or(BadConfig::Missing { key })?;
            match value.parse::<SocketAddr>() {
                Ok(address) => Ok(address),
                Err(_) => Err(BadConfig::Wrong { key, trouble: "is not an address and port", value }),
            }
        };
        let seed = match text("GW_SEED", "seed")? {
            None => 0,
            Some(value) => match u64::from_str_radix(&value, 16) {
                Ok(seed) => seed,
                Err(_) => {
                    let trouble = "is not a hexadecimal number of 64 bits";
                    return Err(BadConfig::Wrong { key: "seed", trouble, value });
                }
            },
        };
        let limit = |name: &str| json.get("limits").and_then(|limits| limits.get(name));
        let sockets = match limit("sockets") {
            None => DEFAULT_SOCKETS,
            Some(value) => match value.as_u64().filter(|sockets| *sockets >= LEAST_SOCKETS) {
                Some(sockets) => sockets,
                None => return wrong("limits.sockets", "is not a whole number of 64 or more", value),
            },
        };
        let memory = match limit("memory_mb") {
            None => DEFAULT_MEMORY,
            Some(value) => match value.cast_f64().filter(|mb| *mb >= 1.0) {
                Some(mb) => mb as u64,
                None => return wrong("limits.memory_mb", "is not a number of 1 or more", value),
            },
        };
        let buffer_bound = (memory.saturating_mul(1 << 20) / 4 / sockets).clamp(LEAST_BUFFER, MOST_BUFFER);
        let known = match json.get("known") {
            None => ResolverResult { revision: 0, complete: true, members: Vec::new() },
            Some(known) => ResolverResult::from_json(known)?,
        };
        let mut pairs = Pairs::default();
        match json.get("settings") {
            None => return Err(BadConfig::Missing { key: "settings" }),
            Some(settings) => flatten("", settings, &mut pairs),
        }
        let profile = settings::read(&pairs)?;
        if profile.settings.classes.is_empty() {
            return Err(BadConfig::Missing { key: "settings.requestClasses" });
        }
        Ok(Config {
            name: text("GW_NAME", "name")?.unwrap_or_else(|| "cottonnotch".to_owned()),
            listen: address("GW_LISTEN", "listen")?,
            discovery: address("GW_DISCOVERY", "discovery")?,
            seed,
            sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
            buffer_bound: buffer_bound as usize,
            known,
            profile,
        })
    }
}

fn wrong<T>(key: &'static str, trouble: &'static str, value: &OwnedValue) -> Result<T, BadConfig> {
    Err(BadConfig::Wrong { key, trouble, value: value.encode() })
}

/// Nested settings as the simulator's first message has them: flat pairs of a path and a value.
fn flatten(path: &str, value: &OwnedValue, pairs: &mut Pairs) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let Some(object) = value.as_object() {
        for (name, value) in object.iter() {
            flatten(&below(name), value, pairs);
        }
    } else if let Some(list) = value.as_array() {
        if list.iter().any(|item| item.is_object()) {
            pairs.0.insert(below("count"), list.len().to_string());
            for (i, item) in list.iter().enumerate() {
                flatten(&below(&i.to_string()), item, pairs);
            }
        } else {
            let items: Vec<String> = list.iter().map(plain).collect();
            pairs.0.insert(path.to_owned(), items.join(","));
        }
    } else {
        pairs.0.insert(path.to_owned(), plain(value));
    }
}

fn plain(value: &OwnedValue) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None if value.is_null() => "-".to_owned(),
        None => value.encode(),
    }
}

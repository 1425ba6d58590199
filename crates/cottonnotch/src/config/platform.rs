//! What the platform says: the environment, then the JSON file that `GW_CONFIG` names. Unknown keys are ignored:
//! the platform may add some.

use super::effective::{Effective, Source};
use super::fault::{ConfigError, ValueError};
use super::json_file::JsonFile;
use super::operator::OperatorConfig;
use super::{Config, GossipConfig, PeerAddresses, PresentKeys, plain, variable};
use crate::rules::RulesSettings;
use cottonnotch_decision::settings::{self, Pairs, Profile};
use cottonnotch_gossip::{GossipSection, Keys, Settings};
use cottonnotch_proxy_core::EndpointUpdate;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Its name, where none is told.
const DEFAULT_NAME: &str = "cottonnotch";
/// For random numbers, where nothing is told.
const DEFAULT_SEED: &str = "0";
/// Descriptors, where no limit is told.
const DEFAULT_SOCKETS: u64 = 1024;
/// Megabytes of memory, where no limit is told.
const DEFAULT_MEMORY: u64 = 192;
/// Each direction of a connection may hold this much at least ...
const LEAST_BUFFER: u64 = 8 * 1024;
/// ... and at most; in between, all buffers together keep to a quarter of the memory.
const MOST_BUFFER: u64 = 64 * 1024;
/// A deadline is a day at most, in microseconds.
const LONGEST_DEADLINE: f64 = 86_400e6;
/// Nobody tries more often.
const MOST_TRIES: f64 = 1000.0;
/// Fewer leave no room for a single client beside the proxy's own.
const LEAST_SOCKETS: u64 = 64;

/// Reads everything; `file_wins` over the environment on SIGHUP. Each value is noted with its source.
pub fn read(
    operator: OperatorConfig,
    file_wins: bool,
    effective: &mut Effective,
) -> Result<Config, ConfigError> {
    let json = match variable("GW_CONFIG") {
        None => {
            effective.note("GW_CONFIG", "", Source::Default);
            OwnedValue::object()
        }
        Some(path) => {
            effective.note("GW_CONFIG", &path, Source::Environment("GW_CONFIG"));
            let (file, json) = JsonFile::read(path)?;
            effective.json = Some(file);
            json
        }
    };
    let mut reader = Reader { json: &json, file_wins, effective };
    let name = reader.text("GW_NAME", "name", Some(DEFAULT_NAME))?.0;
    let listen = reader.address("GW_LISTEN", "listen")?;
    let mgmt = reader.mgmt()?;
    let discovery = reader.address("GW_DISCOVERY", "discovery")?;
    let seed = reader.seed()?;
    let (sockets, memory) = (reader.sockets()?, reader.memory_mb()?);
    let buffer_bound = (memory.saturating_mul(1 << 20) / 4 / sockets).clamp(LEAST_BUFFER, MOST_BUFFER);
    let peer_addresses = reader.tier()?;
    let initial_endpoints = reader.known()?;
    let (mut profile, pairs) = reader.settings()?;
    // Whatever the mode: over sockets a list comes by a watch only. What is pushed counts as told without one, too, from
    // the first moment: the settings say so, and the module opens the watch at once.
    profile.settings.list_on_request = true;
    let path = reader.effective.json.as_ref().map_or_else(String::new, |file| file.path.clone());
    let present_keys = PresentKeys::of(path, &json, &pairs);
    let gossip = gossiping(&operator.gossip, &peer_addresses, &profile)?;
    let rules = RulesSettings::read(&operator).map_err(|bad| match &reader.effective.operator {
        Some(file) => ConfigError::from(file.refuse(&bad.to_string())),
        None => bad.into(),
    })?;
    let sockets = usize::try_from(sockets).unwrap_or(usize::MAX);
    let buffer_bound = buffer_bound as usize;
    Ok(Config {
        name,
        listen,
        mgmt,
        discovery,
        seed,
        sockets,
        buffer_bound,
        peer_addresses,
        gossip,
        rules,
        initial_endpoints,
        profile,
        operator,
        present_keys,
    })
}

/// What the section `[gossip]` makes of the tier. Keys are read now, so that a fault ends the start or the reload.
fn gossiping(
    section: &GossipSection,
    tier: &PeerAddresses,
    profile: &Profile,
) -> Result<Option<GossipConfig>, ConfigError> {
    let bad = |trouble: &dyn std::fmt::Display| ConfigError::Gossip { trouble: trouble.to_string() };
    let Some(settings) = section.check().map_err(|error| bad(&error))? else { return Ok(None) };
    let read = |path: &PathBuf| {
        std::fs::read(path)
            .map_err(|error| bad(&format_args!("gossip.key_files: '{}': {error}", path.display())))
    };
    let files = section.key_files.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    let public = section.public_keys.as_ref().map(read).transpose()?;
    let (me, members) = (profile.settings.ordinal, tier.peers.len() as u32);
    if members > 0 && me >= members {
        return Err(bad(&format_args!(
            "gossip: settings.ordinal is {me}, and peers names {members} proxies"
        )));
    }
    let keys =
        Keys::load(settings.strength, &files, public.as_deref(), me, members).map_err(|error| bad(&error))?;
    let settings = Settings { multicast: tier.all.is_some(), ..settings };
    let incarnation =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    Ok(Some(GossipConfig { settings, keys, incarnation }))
}

struct Reader<'a> {
    json: &'a OwnedValue,
    file_wins: bool,
    effective: &'a mut Effective,
}

impl Reader<'_> {
    fn fault(&self, fault: ValueError, source: Source) -> ConfigError {
        let place = match (source, &self.effective.json) {
            (Source::Environment(name), _) => format!("environment {name}"),
            (_, None) => "GW_CONFIG is not set".to_owned(),
            (_, Some(file)) => match file.line(&fault.key()) {
                Some(line) => format!("{}, line {line}", file.path),
                None => file.path.clone(),
            },
        };
        ConfigError::Platform { fault, place }
    }

    fn wrong(&self, key: &'static str, trouble: &'static str, value: String, source: Source) -> ConfigError {
        self.fault(ValueError::Wrong { key, trouble, value }, source)
    }

    /// A text of the environment's or the file's, noted with its source.
    fn text(
        &mut self,
        name: &'static str,
        key: &'static str,
        default: Option<&str>,
    ) -> Result<(String, Source), ConfigError> {
        let inherited = variable(name);
        let written = self.json.get(key).filter(|_| self.file_wins || inherited.is_none());
        let (text, source) = match (written, inherited, default) {
            (Some(value), ..) => match value.as_str() {
                Some(text) => (text.to_owned(), Source::Json),
                None => return Err(self.wrong(key, "is not a text", value.encode(), Source::Json)),
            },
            (None, Some(text), _) => (text, Source::Environment(name)),
            (None, None, Some(text)) => (text.to_owned(), Source::Default),
            (None, None, None) => return Err(self.fault(ValueError::Missing { key }, Source::Default)),
        };
        self.effective.note(key, &text, source);
        Ok((text, source))
    }

    fn address(&mut self, name: &'static str, key: &'static str) -> Result<SocketAddr, ConfigError> {
        let (text, source) = self.text(name, key, None)?;
        let trouble = "is not an address and port";
        text.parse().map_err(|_| self.wrong(key, trouble, text, source))
    }

    /// Where operators call; nothing, or an empty text, is nowhere.
    fn mgmt(&mut self) -> Result<Option<SocketAddr>, ConfigError> {
        let (text, source) = self.text("GW_MGMT", "mgmt", Some(""))?;
        if text.is_empty() {
            return Ok(None);
        }
        let trouble = "is not an address and port";
        text.parse().map(Some).map_err(|_| self.wrong("mgmt", trouble, text, source))
    }

    /// The other proxies. All of it may be left out: such a proxy is alone.
    fn tier(&mut self) -> Result<PeerAddresses, ConfigError> {
        let listen = self.address_if("peer_listen")?;
        let all = self.address_if("peers_all")?;
        let key = "peers";
        let trouble = "is not a list of addresses and ports";
        let Some(value) = self.json.get(key) else {
            self.effective.note(key, "", Source::Default);
            return Ok(PeerAddresses { listen, peers: Vec::new(), all });
        };
        let read = |value: &OwnedValue| value.as_str()?.parse().ok();
        let peers: Option<Vec<SocketAddr>> =
            value.as_array().and_then(|list| list.iter().map(read).collect());
        let peers = peers.ok_or_else(|| self.wrong(key, trouble, value.encode(), Source::Json))?;
        let shown = peers.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        self.effective.note(key, shown, Source::Json);
        Ok(PeerAddresses { listen, peers, all })
    }

    fn address_if(&mut self, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(value) = self.json.get(key) else {
            self.effective.note(key, "", Source::Default);
            return Ok(None);
        };
        let address = value.as_str().and_then(|text| text.parse().ok());
        let trouble = "is not an address and port";
        let address: SocketAddr =
            address.ok_or_else(|| self.wrong(key, trouble, value.encode(), Source::Json))?;
        self.effective.note(key, address.to_string(), Source::Json);
        Ok(Some(address))
    }

    fn seed(&mut self) -> Result<u64, ConfigError> {
        let (text, source) = self.text("GW_SEED", "seed", Some(DEFAULT_SEED))?;
        let trouble = "is not a hexadecimal number of 64 bits";
        u64::from_str_radix(&text, 16).map_err(|_| self.wrong("seed", trouble, text, source))
    }

    fn limit(&self, name: &str, default: u64) -> (OwnedValue, Source) {
        match self.json.get("limits").and_then(|limits| limits.get(name)) {
            Some(value) => (value.clone(), Source::Json),
            None => (OwnedValue::from(default), Source::Default),
        }
    }

    fn sockets(&mut self) -> Result<u64, ConfigError> {
        let (key, (value, source)) = ("limits.sockets", self.limit("sockets", DEFAULT_SOCKETS));
        let sockets = value.as_u64().filter(|sockets| *sockets >= LEAST_SOCKETS);
        let trouble = "is not a whole number of 64 or more";
        let sockets = sockets.ok_or_else(|| self.wrong(key, trouble, value.encode(), source))?;
        self.effective.note(key, value.encode(), source);
        Ok(sockets)
    }

    fn memory_mb(&mut self) -> Result<u64, ConfigError> {
        let (key, (value, source)) = ("limits.memory_mb", self.limit("memory_mb", DEFAULT_MEMORY));
        let memory = value.cast_f64().filter(|mb| *mb >= 1.0);
        let trouble = "is not a number of 1 or more";
        let memory = memory.ok_or_else(|| self.wrong(key, trouble, value.encode(), source))?;
        self.effective.note(key, value.encode(), source);
        Ok(memory as u64)
    }

    fn known(&mut self) -> Result<EndpointUpdate, ConfigError> {
        let (known, source) = match self.json.get("known") {
            None => (EndpointUpdate { revision: 0, complete: true, endpoints: Vec::new() }, Source::Default),
            Some(known) => {
                let known = EndpointUpdate::from_json(known);
                (known.map_err(|bad| self.fault(bad.into(), Source::Json))?, Source::Json)
            }
        };
        let (members, complete) = (known.endpoints.len(), known.complete);
        let shown = format!("revision {}, {members} members, complete {complete}", known.revision);
        self.effective.note("known", shown, source);
        Ok(known)
    }

    /// Deadlines and attempts are numbers above 0, where they are told. Guards against what a default or a clamp would make
    /// of anything else: requests that nobody answers, or that are given up unsent.
    fn check_settings(&self, settings: &OwnedValue) -> Result<(), ConfigError> {
        let refuse = |key: String, trouble: String| {
            Err(self.fault(ValueError::Setting { key, trouble }, Source::Json))
        };
        if let Some(most) = settings.get("policyLimits").and_then(|limits| limits.get("mostTries"))
            && let Some(trouble) = no_number_above_zero(most, 1.0, MOST_TRIES)
        {
            return refuse("policyLimits.mostTries".to_owned(), trouble);
        }
        // No connection is ever up at once.
        if let Some(timeout) = settings.get("policyLimits").and_then(|limits| limits.get("connectTimeout"))
            && let Some(trouble) = no_number_above_zero(timeout, 0.0, LONGEST_DEADLINE)
        {
            return refuse("policyLimits.connectTimeout".to_owned(), trouble);
        }
        let classes = settings.get_array("requestClasses").map_or(&[][..], |classes| classes.as_slice());
        let mut names = BTreeSet::new();
        for (i, class) in classes.iter().enumerate() {
            let key = |name: &str| format!("requestClasses.{i}.{name}");
            if let Some(deadline) = class.get("deadline")
                && let Some(trouble) = no_number_above_zero(deadline, 0.0, LONGEST_DEADLINE)
            {
                return refuse(key("deadline"), trouble);
            }
            let name = class.get_str("name").filter(|name| !name.is_empty());
            match name {
                None => return refuse(key("name"), "is missing or no text".to_owned()),
                Some(name) if !names.insert(name) => {
                    return refuse(key("name"), format!("is another class's too: '{name}'"));
                }
                Some(_) => {}
            }
        }
        Ok(())
    }

    fn settings(&mut self) -> Result<(Profile, Pairs), ConfigError> {
        let mut pairs = Pairs::default();
        match self.json.get("settings") {
            None => return Err(self.fault(ValueError::Missing { key: "settings" }, Source::Json)),
            Some(settings) => flatten("", settings, &mut pairs),
        }
        let profile = settings::read(&pairs).map_err(|bad| self.fault(bad.into(), Source::Json))?;
        if let Some(settings) = self.json.get("settings") {
            self.check_settings(settings)?;
        }
        if profile.settings.classes.is_empty() {
            return Err(self.fault(ValueError::Missing { key: "settings.requestClasses" }, Source::Json));
        }
        let asked = pairs.lookups();
        for (key, default) in &asked {
            let key_there = format!("settings.{key}");
            match (default, pairs.0.get(key)) {
                (None, Some(value)) => self.effective.note(key_there, value, Source::Json),
                (default, _) => {
                    let value = default.as_deref().unwrap_or_default();
                    self.effective.note(key_there, value, Source::Default);
                }
            }
        }
        // Guards against a name that is misspelt and so has no effect: it is ignored, but `check` shows it.
        let unused: BTreeMap<&String, &String> =
            pairs.0.iter().filter(|(key, _)| !asked.contains_key(*key)).collect();
        for (key, value) in unused {
            self.effective.note_unused(format!("settings.{key}"), value.clone());
        }
        Ok((profile, pairs))
    }
}

/// What is wrong with a value that must be a number above 0, of `least` at least and `most` at most.
fn no_number_above_zero(value: &OwnedValue, least: f64, most: f64) -> Option<String> {
    let shown = || plain(value).chars().take(40).collect::<String>();
    // A text of digits is no number either: what reads this file elsewhere may take it for another one.
    match value.cast_f64().filter(|_| value.as_str().is_none()) {
        None => Some(format!("is not a number: '{}'", shown())),
        Some(number) if number > 0.0 && number >= least && number <= most => None,
        Some(_) => Some(format!("is not a number above 0, and {most} at most: '{}'", shown())),
    }
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

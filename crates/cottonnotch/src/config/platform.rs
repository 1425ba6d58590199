//! Reads the platform's configuration: the environment and the JSON file that `GW_CONFIG` names. Unknown keys are
//! ignored, because the platform may add keys.

use super::effective::{EffectiveConfig, Source};
use super::environment::variable;
use super::error::ConfigError;
use super::json_file::JsonFile;
use super::model::{Config, PeerAddresses};
use super::operator::OperatorConfig;
use super::present_keys::PresentKeys;
use super::value_reader::ValueReader;
use super::{gossip, platform_settings};
use crate::rules::RulesSettings;
use cottonnotch_proxy_core::EndpointUpdate;
use simd_json::OwnedValue;
use simd_json::prelude::*;

pub use super::value_reader::Precedence;

/// The proxy's name if none is set.
const DEFAULT_NAME: &str = "cottonnotch";
/// The seed of the random number generator if none is set, in hexadecimal.
const DEFAULT_SEED: &str = "0";
/// The limit of file descriptors if none is set.
const DEFAULT_SOCKETS: u64 = 1024;
/// The memory limit in MiB if none is set.
const DEFAULT_MEMORY_MB: u64 = 192;
/// The lower bound of the buffer size for each direction of a connection.
const MIN_BUFFER_BYTES: u64 = 8 * 1024;
/// The upper bound of the buffer size for each direction of a connection. Between the two bounds, the size is a
/// quarter of the memory limit divided by the limit of file descriptors, so that all buffers together use a quarter
/// of the memory.
const MAX_BUFFER_BYTES: u64 = 64 * 1024;
/// The smallest allowed limit of file descriptors. With fewer, the proxy's own descriptors leave none for a client.
const MIN_SOCKETS: u64 = 64;

/// Reads the whole configuration, and records each value and its source in `effective`.
pub fn read(
    operator: OperatorConfig,
    precedence: Precedence,
    effective: &mut EffectiveConfig,
) -> Result<Config, ConfigError> {
    let json = read_file(effective)?;
    let mut reader = ValueReader { json: &json, precedence, effective };
    let name = reader.text("GW_NAME", "name", Some(DEFAULT_NAME))?.0;
    let listen = reader.address("GW_LISTEN", "listen")?;
    let mgmt = reader.optional_address("GW_MGMT", "mgmt")?;
    let discovery = reader.address("GW_DISCOVERY", "discovery")?;
    let seed = reader.hexadecimal("GW_SEED", "seed", DEFAULT_SEED)?;
    let (sockets, buffer_bound) = read_limits(&mut reader)?;
    let peer_addresses = read_peer_addresses(&mut reader)?;
    let initial_endpoints = read_known(&mut reader)?;
    let (profile, pairs) = platform_settings::read(&mut reader)?;
    let path = reader.effective.json.as_ref().map_or_else(String::new, |file| file.path.clone());
    let present_keys = PresentKeys::of(path, &json, &pairs);
    let gossip = gossip::read(&operator.gossip, &peer_addresses, &profile)?;
    let rules = read_rules(&operator, effective)?;
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

/// Reads the JSON file; returns an empty object if `GW_CONFIG` is not set.
fn read_file(effective: &mut EffectiveConfig) -> Result<OwnedValue, ConfigError> {
    let Some(path) = variable("GW_CONFIG") else {
        effective.record("GW_CONFIG", "", Source::Default);
        return Ok(OwnedValue::object());
    };
    effective.record("GW_CONFIG", &path, Source::Environment("GW_CONFIG"));
    let (file, json) = JsonFile::read(path)?;
    effective.json = Some(file);
    Ok(json)
}

/// Reads the limits; returns the limit of file descriptors and the buffer size for each direction of a connection.
fn read_limits(reader: &mut ValueReader<'_>) -> Result<(usize, usize), ConfigError> {
    let sockets = reader.limit(
        "limits.sockets",
        "sockets",
        DEFAULT_SOCKETS,
        |value| value.as_u64().filter(|sockets| *sockets >= MIN_SOCKETS),
        "is not a whole number of 64 or more",
    )?;
    let memory_mb = reader.limit(
        "limits.memory_mb",
        "memory_mb",
        DEFAULT_MEMORY_MB,
        |value| value.cast_f64().filter(|mb| *mb >= 1.0),
        "is not a number of 1 or more",
    )?;
    let memory = (memory_mb as u64).saturating_mul(1 << 20);
    let buffer_bound = (memory / 4 / sockets).clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES);
    Ok((usize::try_from(sockets).unwrap_or(usize::MAX), buffer_bound as usize))
}

/// Reads the addresses for datagrams between proxies. All keys are optional: a proxy without them has no peers.
fn read_peer_addresses(reader: &mut ValueReader<'_>) -> Result<PeerAddresses, ConfigError> {
    let listen = reader.file_address("peer_listen")?;
    let all_peers = reader.file_address("peers_all")?;
    let peers = reader.file_addresses("peers")?;
    Ok(PeerAddresses { listen, peers, all_peers })
}

/// Reads the last endpoint list that the proxy had.
fn read_known(reader: &mut ValueReader<'_>) -> Result<EndpointUpdate, ConfigError> {
    let (known, source) = match reader.json.get("known") {
        None => (EndpointUpdate { revision: 0, complete: true, endpoints: Vec::new() }, Source::Default),
        Some(known) => {
            let known = EndpointUpdate::from_json(known);
            (known.map_err(|error| reader.error(error.into(), Source::Json))?, Source::Json)
        }
    };
    let (members, complete) = (known.endpoints.len(), known.complete);
    let shown = format!("revision {}, {members} members, complete {complete}", known.revision);
    reader.effective.record("known", shown, source);
    Ok(known)
}

/// Reads the routing rules that the operator's file names. If there is such a file, an error includes its path and
/// line.
fn read_rules(
    operator: &OperatorConfig,
    effective: &EffectiveConfig,
) -> Result<Option<RulesSettings>, ConfigError> {
    let rules = RulesSettings::read(&operator.rules, &operator.hardware, &operator.consensus);
    rules.map_err(|error| match &effective.operator {
        Some(file) => ConfigError::from(file.reject(&error)),
        None => error.into(),
    })
}

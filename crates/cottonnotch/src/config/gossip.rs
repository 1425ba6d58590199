//! The configuration of the gossip protocol: the section `[gossip]` and the key files that it names.

use super::error::GossipConfigError;
use super::model::{GossipConfig, PeerAddresses};
use cottonnotch_decision::settings::Profile;
use cottonnotch_gossip::{GossipSection, Keys, Settings};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Checks the section and loads the key files that it names; returns `None` if gossip is off. Loading the keys here
/// makes the start or the reload fail if a key is invalid.
pub fn read(
    section: &GossipSection,
    addresses: &PeerAddresses,
    profile: &Profile,
) -> Result<Option<GossipConfig>, GossipConfigError> {
    let Some(settings) = section.check()? else { return Ok(None) };
    let files = section.key_files.iter().map(read_key_file).collect::<Result<Vec<_>, _>>()?;
    let public = section.public_keys.as_ref().map(read_key_file).transpose()?;
    let (ordinal, members) = (profile.settings.ordinal, addresses.peers.len() as u32);
    if members > 0 && ordinal >= members {
        return Err(GossipConfigError::Ordinal { ordinal, members });
    }
    let keys = Keys::load(settings.strength, &files, public.as_deref(), ordinal, members)?;
    let settings = Settings { multicast: addresses.all_peers.is_some(), ..settings };
    let incarnation =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    Ok(Some(GossipConfig { settings, keys, incarnation }))
}

fn read_key_file(path: &PathBuf) -> Result<Vec<u8>, GossipConfigError> {
    let failed = |error| GossipConfigError::KeyFile { path: Path::display(path).to_string(), error };
    std::fs::read(path).map_err(failed)
}

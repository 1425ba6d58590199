//! Which keys a platform's file has, so that a later one can be held against it.

use cottonnotch_decision::settings::Pairs;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeSet;

/// Keys beside the settings that the proxy reads.
const BESIDE: [&str; 9] =
    ["name", "listen", "mgmt", "discovery", "seed", "known", "peers", "peer_listen", "peers_all"];
const LIMITS: [&str; 2] = ["sockets", "memory_mb"];
/// What only some classes have, by their effect.
const BY_EFFECT: [&str; 2] = ["window", "group"];

/// The keys, by their full paths. Items of lists come and go: of them there are the keys that all have, under `*`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PresentKeys {
    /// The file.
    pub path: String,
    keys: BTreeSet<String>,
}

impl PresentKeys {
    /// What the file has of all that the proxy asks for.
    pub fn of(path: String, json: &OwnedValue, settings: &Pairs) -> Self {
        let has = |value: &OwnedValue, key: &str| value.get(key).is_some_and(|value| !value.is_null());
        let mut keys: BTreeSet<String> =
            BESIDE.iter().filter(|key| has(json, key)).map(|key| (*key).to_owned()).collect();
        if let Some(limits) = json.get("limits") {
            keys.extend(LIMITS.iter().filter(|key| has(limits, key)).map(|key| format!("limits.{key}")));
        }
        let asked = settings.lookups();
        let given = asked.iter().filter(|(_, default)| default.is_none()).map(|(key, _)| key.as_str());
        let (listed, plain): (Vec<&str>, Vec<&str>) = given.partition(|key| item(key).is_some());
        keys.extend(plain.iter().filter(|key| !key.ends_with(".count")).map(|key| format!("settings.{key}")));
        for (list, key) in listed.iter().filter_map(|key| item(key)).map(|(list, _, key)| (list, key)) {
            let items: usize =
                settings.0.get(&format!("{list}.count")).and_then(|n| n.parse().ok()).unwrap_or(0);
            let all = (0..items).all(|i| settings.0.contains_key(&format!("{list}.{i}.{key}")));
            if all && !BY_EFFECT.contains(&key) {
                keys.insert(format!("settings.{list}.*.{key}"));
            }
        }
        PresentKeys { path, keys }
    }

    /// A key that an earlier file had and this one hasn't.
    pub fn lacks(&self, earlier: &PresentKeys) -> Option<String> {
        earlier.keys.difference(&self.keys).next().cloned()
    }
}

/// A key of an item of a list: the list, the item's number, and the key in it.
fn item(key: &str) -> Option<(&str, usize, &str)> {
    let mut words = key.splitn(3, '.');
    let (list, number, rest) = (words.next()?, words.next()?, words.next()?);
    Some((list, number.parse().ok()?, rest))
}

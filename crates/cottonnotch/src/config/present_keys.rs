//! The keys that the platform's file contains, so that a reloaded file can be compared with it.

use cottonnotch_decision::settings::Pairs;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeSet;

/// The top-level keys that the proxy reads, except for `settings` and `limits`.
const TOP_LEVEL: [&str; 9] =
    ["name", "listen", "mgmt", "discovery", "seed", "known", "peers", "peer_listen", "peers_all"];
/// The keys below `limits` that the proxy reads.
const LIMITS: [&str; 2] = ["sockets", "memory_mb"];
/// Keys of a class that only apply to some kinds of idempotency, so that they may come and go with it.
const CLASS_SPECIFIC: [&str; 2] = ["window", "group"];

/// The full paths of the keys. Because the items of a list may change, a list contributes only the keys that all
/// its items have, with `*` in place of the index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PresentKeys {
    /// The path of the file.
    pub path: String,
    keys: BTreeSet<String>,
}

/// A key within an item of a list, without the item's index.
struct ItemKey<'a> {
    list: &'a str,
    key: &'a str,
}

impl PresentKeys {
    /// Collects the keys that the file contains and the proxy reads.
    pub fn of(path: String, json: &OwnedValue, settings: &Pairs) -> Self {
        let lookups = settings.lookups();
        let present = lookups.iter().filter(|(_, default)| default.is_none()).map(|(key, _)| key.as_str());
        let (item_keys, setting_keys): (Vec<&str>, Vec<&str>) =
            present.partition(|key| item_key(key).is_some());
        let mut keys: BTreeSet<String> = top_level_keys(json).collect();
        keys.extend(
            setting_keys.iter().filter(|key| !key.ends_with(".count")).map(|key| format!("settings.{key}")),
        );
        let shared_keys = item_keys.iter().filter_map(|key| item_key(key));
        let shared_keys =
            shared_keys.filter(|item| !CLASS_SPECIFIC.contains(&item.key) && item.all_have(settings));
        keys.extend(shared_keys.map(|ItemKey { list, key }| format!("settings.{list}.*.{key}")));
        PresentKeys { path, keys }
    }

    /// Returns the first key that the earlier file contains and this file does not.
    pub fn first_missing(&self, earlier: &PresentKeys) -> Option<String> {
        earlier.keys.difference(&self.keys).next().cloned()
    }
}

impl ItemKey<'_> {
    /// Returns whether all items of the list have the key.
    fn all_have(&self, settings: &Pairs) -> bool {
        let ItemKey { list, key } = self;
        let count = settings.values.get(&format!("{list}.count"));
        let count: usize = count.and_then(|count| count.parse().ok()).unwrap_or(0);
        (0..count).all(|i| settings.values.contains_key(&format!("{list}.{i}.{key}")))
    }
}

/// Returns the keys outside `settings` that the file contains.
fn top_level_keys(json: &OwnedValue) -> impl Iterator<Item = String> {
    let has = |value: &OwnedValue, key: &str| value.get(key).is_some_and(|value| !value.is_null());
    let top_level = TOP_LEVEL.iter().filter(move |key| has(json, key)).map(|key| (*key).to_owned());
    let limits = json.get("limits").into_iter().flat_map(move |limits| {
        LIMITS.iter().filter(move |key| has(limits, key)).map(|key| format!("limits.{key}"))
    });
    top_level.chain(limits)
}

/// Splits a path of the form `LIST.INDEX.KEY`; returns `None` for a path of another form.
fn item_key(path: &str) -> Option<ItemKey<'_>> {
    let mut segments = path.splitn(3, '.');
    let (list, index, key) = (segments.next()?, segments.next()?, segments.next()?);
    index.parse::<usize>().ok()?;
    Some(ItemKey { list, key })
}

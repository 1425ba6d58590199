//! What a proxy's own files change of what is in force. Folders differ from proxy to proxy, and none has to have all files.

use cottonnotch_routing_rules::{History, RuleFile, read};
use std::collections::BTreeMap;

/// The files that count: those in force, with this proxy's in place of older ones.
pub fn overlay(last: &History, own: &[RuleFile]) -> Vec<RuleFile> {
    let mut files: BTreeMap<String, (u64, RuleFile)> = BTreeMap::new();
    for (namespace, entry) in &last.namespaces {
        if let Some(good) = &entry.good {
            let file = RuleFile::new(good.file.clone(), good.text.as_bytes());
            files.insert(namespace.clone(), (good.revision, file));
        }
    }
    let mut strays = Vec::new();
    for file in own {
        // The merge says what is wrong with it, and goes on by what was good in the file of that name.
        let Ok(stated) = read(file) else {
            files.retain(|_, (_, good)| good.path_on_disk != file.path_on_disk);
            strays.push(file.clone());
            continue;
        };
        match files.get(&stated.namespace) {
            // A proxy whose folder is behind says nothing new.
            Some((revision, _)) if *revision > stated.revision => {}
            // Two files of one folder for one namespace: both are given, and found in conflict.
            Some((_, other)) if own.contains(other) => strays.push(file.clone()),
            _ => {
                files.insert(stated.namespace, (stated.revision, file.clone()));
            }
        }
    }
    files.into_values().map(|(_, file)| file).chain(strays).collect()
}

/// Whether some namespace has a newer revision in force. Guards against proxies whose folders or worlds differ and that would
/// replace one another's for ever: revisions only go up.
pub fn advances(last: &History, new: &History) -> bool {
    new.namespaces.iter().any(|(namespace, entry)| {
        let before = last.namespaces.get(namespace).and_then(|entry| entry.good.as_ref());
        entry.good.as_ref().map(|good| good.revision) > before.map(|good| good.revision)
    })
}

#[cfg(test)]
#[path = "local_overrides_tests.rs"]
mod tests;

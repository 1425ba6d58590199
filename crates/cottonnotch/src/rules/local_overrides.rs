//! Combines this proxy's own rule files with those in force. Proxies have different folders, and no proxy needs all files.

use cottonnotch_routing_rules::{History, RuleFile, read};
use std::collections::BTreeMap;

/// Returns the files to merge: the files in force, where this proxy's own files replace those that are not newer.
pub fn apply_overrides(active_history: &History, own_files: &[RuleFile]) -> Vec<RuleFile> {
    let mut files = files_in_force(active_history);
    let mut additional = Vec::new();
    for file in own_files {
        // An invalid file replaces the valid file of the same name here. The merge reports the error and continues to use the
        // last valid revision.
        let Ok(namespace_file) = read(file) else {
            files.retain(|_, (_, valid)| valid.path_on_disk != file.path_on_disk);
            additional.push(file.clone());
            continue;
        };
        match files.get(&namespace_file.namespace) {
            // This proxy's file is older than the file in force.
            Some((revision, _)) if *revision > namespace_file.revision => {}
            // Two files of this proxy's folder have the same namespace. The merge gets both and reports the conflict.
            Some((_, other)) if own_files.contains(other) => additional.push(file.clone()),
            _ => {
                files.insert(namespace_file.namespace, (namespace_file.revision, file.clone()));
            }
        }
    }
    files.into_values().map(|(_, file)| file).chain(additional).collect()
}

/// The last valid file of each namespace, with its revision.
fn files_in_force(active_history: &History) -> BTreeMap<String, (u64, RuleFile)> {
    let valid = active_history
        .namespaces
        .iter()
        .filter_map(|(namespace, entry)| Some((namespace, entry.good.as_ref()?)));
    valid
        .map(|(namespace, good)| {
            let file = RuleFile::new(good.file.clone(), good.text.as_bytes());
            (namespace.clone(), (good.revision, file))
        })
        .collect()
}

/// Whether some namespace has a newer revision than before. Only such a change is proposed. Revisions only increase, so proxies
/// with different folders or inventories cannot replace each other's versions endlessly.
pub fn has_newer_revision(base: &History, new: &History) -> bool {
    new.namespaces.iter().any(|(namespace, entry)| {
        let before = base.namespaces.get(namespace).and_then(|entry| entry.good.as_ref());
        entry.good.as_ref().map(|good| good.revision) > before.map(|good| good.revision)
    })
}

#[cfg(test)]
#[path = "local_overrides_tests.rs"]
mod tests;

//! This proxy's own rule files on top of those in force. Folders differ from proxy to proxy, and none has to have all files.

use cottonnotch_routing_rules::{History, RuleFile, read};
use std::collections::BTreeMap;

/// The files to merge: those in force, with this proxy's in place of those with an older revision.
pub fn apply_overrides(last: &History, own: &[RuleFile]) -> Vec<RuleFile> {
    let mut files = files_in_force(last);
    let mut extra = Vec::new();
    for file in own {
        // The merge reports what is wrong with it, and continues with the valid file of that name.
        let Ok(namespace_file) = read(file) else {
            files.retain(|_, (_, valid)| valid.path_on_disk != file.path_on_disk);
            extra.push(file.clone());
            continue;
        };
        match files.get(&namespace_file.namespace) {
            // This proxy's folder is outdated.
            Some((revision, _)) if *revision > namespace_file.revision => {}
            // Two files of one folder have the same namespace: the merge gets both, and finds the conflict.
            Some((_, other)) if own.contains(other) => extra.push(file.clone()),
            _ => {
                files.insert(namespace_file.namespace, (namespace_file.revision, file.clone()));
            }
        }
    }
    files.into_values().map(|(_, file)| file).chain(extra).collect()
}

/// The last valid files, with their revisions, by namespace.
fn files_in_force(last: &History) -> BTreeMap<String, (u64, RuleFile)> {
    let valid =
        last.namespaces.iter().filter_map(|(namespace, entry)| Some((namespace, entry.good.as_ref()?)));
    valid
        .map(|(namespace, good)| {
            let file = RuleFile::new(good.file.clone(), good.text.as_bytes());
            (namespace.clone(), (good.revision, file))
        })
        .collect()
}

/// Whether some namespace has a newer revision than before. Revisions only increase, so proxies whose folders or inventories
/// differ can't replace one another's versions for ever.
pub fn has_newer_revision(last: &History, new: &History) -> bool {
    new.namespaces.iter().any(|(namespace, entry)| {
        let before = last.namespaces.get(namespace).and_then(|entry| entry.good.as_ref());
        entry.good.as_ref().map(|good| good.revision) > before.map(|good| good.revision)
    })
}

#[cfg(test)]
#[path = "local_overrides_tests.rs"]
mod tests;

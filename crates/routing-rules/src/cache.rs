//! A cache of parsed files, compiled namespaces and ineffective preferences from one merge to the next. Each entry is keyed by
//! everything that it depends on; a change of inventory clears the entries that depend on it.

use std::collections::HashMap;
use std::sync::Arc;

use crate::compilation::compile;
use crate::compiled::{Compiled, ParsedFile};
use crate::conflict::Conflict;
use crate::file::{RuleFile, RuleFileError};
use crate::ineffective::{self, Children};
use crate::inventory::Inventory;
use crate::parsing;

#[derive(Debug)]
struct CachedFile {
    text: Vec<u8>,
    outcome: Result<Arc<ParsedFile>, RuleFileError>,
    /// The number of the last merge that used the file.
    last_used: u64,
}

/// Parsed files, compiled namespaces and ineffective preferences of the previous merge.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// The parsed files by path on disk. A path has several texts while its newest text is not accepted: the last good text is
    /// needed as well.
    files: HashMap<String, Vec<CachedFile>>,
    compiled: HashMap<[u8; 32], (Arc<Compiled>, u64)>,
    ineffective: HashMap<[u8; 32], (Vec<Conflict>, u64)>,
    inventory: Inventory,
    merge_number: u64,
}

impl Cache {
    /// Begins a merge. Compiled namespaces depend on the inventory, so a different inventory clears them.
    pub fn begin_merge(&mut self, inventory: &Inventory) {
        self.merge_number += 1;
        if self.inventory != *inventory {
            self.inventory = inventory.clone();
            self.compiled.clear();
            self.ineffective.clear();
        }
    }

    /// Ends a merge: removes all entries that it did not use.
    pub fn end_merge(&mut self) {
        let merge_number = self.merge_number;
        self.files.retain(|_, cached| {
            cached.retain(|cached| cached.last_used == merge_number);
            !cached.is_empty()
        });
        self.compiled.retain(|_, (_, last_used)| *last_used == merge_number);
        self.ineffective.retain(|_, (_, last_used)| *last_used == merge_number);
    }

    /// Parses a file, or takes the result from the cache.
    pub fn parse(&mut self, file: &RuleFile) -> Result<Arc<ParsedFile>, RuleFileError> {
        let merge_number = self.merge_number;
        if let Some(cached) = self.find_file(&file.path_on_disk, &file.text) {
            cached.last_used = merge_number;
            return cached.outcome.clone();
        }
        let outcome = parsing::read(file).map(|content| {
            // A file that was parsed is valid UTF-8, so the conversion replaces nothing.
            let text = String::from_utf8_lossy(&file.text);
            Arc::new(ParsedFile::new(content, file.path_on_disk.clone(), Arc::from(text.as_ref())))
        });
        let cached =
            CachedFile { text: file.text.clone(), outcome: outcome.clone(), last_used: merge_number };
        self.files.entry(file.path_on_disk.clone()).or_default().push(cached);
        outcome
    }

    /// Parses the text of a good revision again, or takes it from the cache. `None` if it can no longer be parsed.
    pub fn parse_good_revision(&mut self, path_on_disk: &str, text: &Arc<str>) -> Option<Arc<ParsedFile>> {
        let merge_number = self.merge_number;
        match self.find_file(path_on_disk, text.as_bytes()) {
            Some(cached) => {
                cached.last_used = merge_number;
                cached.outcome.clone().ok()
            }
            None => self.parse(&RuleFile::new(path_on_disk, text.as_bytes())).ok(),
        }
    }

    fn find_file(&mut self, path_on_disk: &str, text: &[u8]) -> Option<&mut CachedFile> {
        self.files.get_mut(path_on_disk)?.iter_mut().find(|cached| cached.text == text)
    }

    /// Compiles a content under a parent, or takes the result from the cache.
    pub fn compiled(
        &mut self,
        parent: Option<&Arc<Compiled>>,
        parsed: &Arc<ParsedFile>,
        void: &[&str],
    ) -> Arc<Compiled> {
        let key = Compiled::key(parent.map(Arc::as_ref), parsed, void);
        if let Some((compiled, last_used)) = self.compiled.get_mut(&key) {
            *last_used = self.merge_number;
            return compiled.clone();
        }
        let compiled = Arc::new(compile(key, parent.cloned(), parsed.clone(), void, &self.inventory));
        self.compiled.insert(key, (compiled.clone(), self.merge_number));
        compiled
    }

    /// The ineffective preferences of a namespace. `subtree_digest` is a digest of the namespace, its ancestors and its
    /// descendants.
    pub fn ineffective(
        &mut self,
        namespace: &Compiled,
        subtree_digest: [u8; 32],
        children: &Children,
    ) -> &[Conflict] {
        let merge_number = self.merge_number;
        let inventory = &self.inventory;
        let cached = self.ineffective.entry(subtree_digest).or_insert_with(|| {
            (ineffective::ineffective_preferences(namespace, children, inventory), merge_number)
        });
        cached.1 = merge_number;
        &cached.0
    }
}

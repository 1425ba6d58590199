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
    turn: u64,
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
    turn: u64,
}

impl Cache {
    /// Begins a merge. Compiled namespaces depend on the inventory, so a different inventory clears them.
    pub fn begin(&mut self, inventory: &Inventory) {
        self.turn += 1;
        if self.inventory != *inventory {
            self.inventory = inventory.clone();
            self.compiled.clear();
            self.ineffective.clear();
        }
    }

    /// Ends a merge: removes all entries that it did not use.
    pub fn end(&mut self) {
        let turn = self.turn;
        self.files.retain(|_, cached| {
            cached.retain(|cached| cached.turn == turn);
            !cached.is_empty()
        });
        self.compiled.retain(|_, (_, used)| *used == turn);
        self.ineffective.retain(|_, (_, used)| *used == turn);
    }

    pub fn read(&mut self, file: &RuleFile) -> Result<Arc<ParsedFile>, RuleFileError> {
        let turn = self.turn;
        if let Some(cached) = self.find(&file.path_on_disk, &file.text) {
            cached.turn = turn;
            return cached.outcome.clone();
        }
        let outcome = parsing::read(file).map(|content| {
            // A file that was parsed is valid UTF-8, so the conversion replaces nothing.
            let text = String::from_utf8_lossy(&file.text);
            Arc::new(ParsedFile::new(content, file.path_on_disk.clone(), Arc::from(text.as_ref())))
        });
        let cached = CachedFile { text: file.text.clone(), outcome: outcome.clone(), turn };
        self.files.entry(file.path_on_disk.clone()).or_default().push(cached);
        outcome
    }

    /// Parses the text of a good revision again, or takes it from the cache. `None` if it can no longer be parsed.
    pub fn reread(&mut self, path_on_disk: &str, text: &Arc<str>) -> Option<Arc<ParsedFile>> {
        let turn = self.turn;
        match self.find(path_on_disk, text.as_bytes()) {
            Some(cached) => {
                cached.turn = turn;
                cached.outcome.clone().ok()
            }
            None => self.read(&RuleFile::new(path_on_disk, text.as_bytes())).ok(),
        }
    }

    fn find(&mut self, path_on_disk: &str, text: &[u8]) -> Option<&mut CachedFile> {
        self.files.get_mut(path_on_disk)?.iter_mut().find(|cached| cached.text == text)
    }

    pub fn compiled(
        &mut self,
        parent: Option<&Arc<Compiled>>,
        read: &Arc<ParsedFile>,
        void: &[&str],
    ) -> Arc<Compiled> {
        let key = Compiled::key(parent.map(Arc::as_ref), read, void);
        if let Some((compiled, used)) = self.compiled.get_mut(&key) {
            *used = self.turn;
            return compiled.clone();
        }
        let compiled = Arc::new(compile(key, parent.cloned(), read.clone(), void, &self.inventory));
        self.compiled.insert(key, (compiled.clone(), self.turn));
        compiled
    }

    /// The ineffective preferences of a namespace. `subtree` is a digest of the namespace, its ancestors and its descendants.
    pub fn ineffective(&mut self, of: &Compiled, subtree: [u8; 32], children: &Children) -> &[Conflict] {
        let turn = self.turn;
        let inventory = &self.inventory;
        let cached = self
            .ineffective
            .entry(subtree)
            .or_insert_with(|| (ineffective::preferences(of, children, inventory), turn));
        cached.1 = turn;
        &cached.0
    }
}

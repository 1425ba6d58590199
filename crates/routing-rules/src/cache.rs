//! What was read and checked before. All of it is keyed by all that it depends on.

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

/// What was read and checked before.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// By the file's name; a name has several texts while a file isn't taken.
    files: HashMap<String, Vec<CachedFile>>,
    compiled: HashMap<[u8; 32], (Arc<Compiled>, u64)>,
    ineffective: HashMap<[u8; 32], (Vec<Conflict>, u64)>,
    inventory: Inventory,
    turn: u64,
}

impl Cache {
    /// Begins a merge. In another inventory nothing that was checked holds.
    pub fn begin(&mut self, inventory: &Inventory) {
        self.turn += 1;
        if self.inventory != *inventory {
            self.inventory = inventory.clone();
            self.compiled.clear();
            self.ineffective.clear();
        }
    }

    /// Ends a merge: what it had no use for goes.
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
            // A file that reads is UTF-8; nothing is lost here.
            let text = String::from_utf8_lossy(&file.text);
            Arc::new(ParsedFile::new(content, file.path_on_disk.clone(), Arc::from(text.as_ref())))
        });
        let cached = CachedFile { text: file.text.clone(), outcome: outcome.clone(), turn };
        self.files.entry(file.path_on_disk.clone()).or_default().push(cached);
        outcome
    }

    /// Reads a good content again.
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

    /// The ineffective preferences of a namespace; `subtree` is a digest of it, all above it and all below it.
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

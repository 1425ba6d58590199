//! What was read and checked before. All of it is keyed by all that it depends on.

use std::collections::HashMap;
use std::sync::Arc;

use crate::compilation::compile;
use crate::compiled::{Compiled, Read};
use crate::conflict::Conflict;
use crate::file::{RuleFile, RuleFileError};
use crate::ineffective::{self, Children};
use crate::inventory::Inventory;
use crate::parsing;

#[derive(Debug)]
struct Kept {
    text: Vec<u8>,
    outcome: Result<Arc<Read>, RuleFileError>,
    turn: u64,
}

/// What was read and checked before.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// By the file's name; a name has several texts while a file isn't taken.
    files: HashMap<String, Vec<Kept>>,
    compiled: HashMap<[u8; 32], (Arc<Compiled>, u64)>,
    idle: HashMap<[u8; 32], (Vec<Conflict>, u64)>,
    world: Inventory,
    turn: u64,
}

impl Cache {
    /// Begins a merge. In another world nothing that was checked holds.
    pub fn begin(&mut self, world: &Inventory) {
        self.turn += 1;
        if self.world != *world {
            self.world = world.clone();
            self.compiled.clear();
            self.idle.clear();
        }
    }

    /// Ends a merge: what it had no use for goes.
    pub fn end(&mut self) {
        let turn = self.turn;
        self.files.retain(|_, kept| {
            kept.retain(|kept| kept.turn == turn);
            !kept.is_empty()
        });
        self.compiled.retain(|_, (_, used)| *used == turn);
        self.idle.retain(|_, (_, used)| *used == turn);
    }

    pub fn read(&mut self, file: &RuleFile) -> Result<Arc<Read>, RuleFileError> {
        let turn = self.turn;
        if let Some(kept) = self.find(&file.path_on_disk, &file.text) {
            kept.turn = turn;
            return kept.outcome.clone();
        }
        let outcome = parsing::read(file).map(|content| {
            // A file that reads is UTF-8; nothing is lost here.
            let text = String::from_utf8_lossy(&file.text);
            Arc::new(Read::new(content, file.path_on_disk.clone(), Arc::from(text.as_ref())))
        });
        let kept = Kept { text: file.text.clone(), outcome: outcome.clone(), turn };
        self.files.entry(file.path_on_disk.clone()).or_default().push(kept);
        outcome
    }

    /// Reads a good content again.
    pub fn reread(&mut self, path_on_disk: &str, text: &Arc<str>) -> Option<Arc<Read>> {
        let turn = self.turn;
        match self.find(path_on_disk, text.as_bytes()) {
            Some(kept) => {
                kept.turn = turn;
                kept.outcome.clone().ok()
            }
            None => self.read(&RuleFile::new(path_on_disk, text.as_bytes())).ok(),
        }
    }

    fn find(&mut self, path_on_disk: &str, text: &[u8]) -> Option<&mut Kept> {
        self.files.get_mut(path_on_disk)?.iter_mut().find(|kept| kept.text == text)
    }

    pub fn compiled(
        &mut self,
        parent: Option<&Arc<Compiled>>,
        read: &Arc<Read>,
        void: &[&str],
    ) -> Arc<Compiled> {
        let key = Compiled::key(parent.map(Arc::as_ref), read, void);
        if let Some((compiled, used)) = self.compiled.get_mut(&key) {
            *used = self.turn;
            return compiled.clone();
        }
        let compiled = Arc::new(compile(key, parent.cloned(), read.clone(), void, &self.world));
        self.compiled.insert(key, (compiled.clone(), self.turn));
        compiled
    }

    /// The idle wishes of a namespace; `subtree` is a digest of it, all above it and all below it.
    pub fn idle(&mut self, of: &Compiled, subtree: [u8; 32], children: &Children) -> &[Conflict] {
        let turn = self.turn;
        let world = &self.world;
        let kept =
            self.idle.entry(subtree).or_insert_with(|| (ineffective::preferences(of, children, world), turn));
        kept.1 = turn;
        &kept.0
    }
}

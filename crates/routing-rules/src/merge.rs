//! The merge: candidates are gathered, conflicts found, and the newest held back, until none conflict.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::book::{Book, Owner};
use crate::cache::Cache;
use crate::candidate::{self, Candidate};
use crate::compiled::Compiled;
use crate::conflict::Conflict;
use crate::evaluation_round::EvaluationRound;
use crate::file::RuleFile;
use crate::history::History;
use crate::inventory::Inventory;
use crate::newest_first::Recency;
use crate::outcome::{self, Outcome};

/// What came of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// The book in force.
    pub book: Book,
    /// What to remember.
    pub history: History,
    /// What held namespaces back.
    pub conflicts: Vec<Conflict>,
}

/// Merges the files into one book. The outcome depends on nothing but what is given here, and not on the files' order.
pub fn merge(last: &History, files: &[RuleFile], inventory: &Inventory) -> Merged {
    Merger::default().merge(last, files, inventory)
}

/// All that conflicts if the newest content of each namespace is taken as it is, before any is held back: what an operator
/// asks before files are put in place.
pub fn check(last: &History, files: &[RuleFile], inventory: &Inventory) -> Vec<Conflict> {
    let mut cache = Cache::default();
    cache.begin(inventory);
    let taken = candidate::gather(last, files, inventory, &mut cache);
    let mut conflicts =
        EvaluationRound::run(&taken.candidates, &BTreeSet::new(), inventory, &mut cache).conflicts;
    conflicts.extend(taken.conflicts);
    conflicts.sort();
    conflicts
}

/// How often a merge with conflicts is repeated until its book stays.
const MOST_ROUNDS: usize = 4;

/// A merge that remembers what it has read and checked, so that one changed file costs little. What it gives is always
/// what [`merge`] gives.
#[derive(Debug, Default)]
pub struct Merger {
    cache: Cache,
}

impl Merger {
    /// See [`merge`].
    pub fn merge(&mut self, last: &History, files: &[RuleFile], inventory: &Inventory) -> Merged {
        self.cache.begin(inventory);
        let mut merged = self.merge_once(last, files, inventory);
        // What came in makes others newer in comparison, so that the same files might come to another book next time. The book
        // that stays is told at once. Nearly always it is the first.
        for _ in 0..MOST_ROUNDS {
            if merged.conflicts.is_empty() {
                break;
            }
            let next = self.merge_once(&merged.history, files, inventory);
            if next.book == merged.book {
                break;
            }
            merged = next;
        }
        self.cache.end();
        merged
    }

    fn merge_once(&mut self, last: &History, files: &[RuleFile], inventory: &Inventory) -> Merged {
        let mut taken = candidate::gather(last, files, inventory, &mut self.cache);
        let mut selection =
            Selection { candidates: std::mem::take(&mut taken.candidates), void: BTreeSet::new() };
        let asked = selection.candidates.clone();
        let void =
            last.namespaces.iter().filter(|(_, entry)| entry.void).map(|(path, _)| path.clone()).collect();
        let mut held = Vec::new();
        // Each turn moves one namespace down a step, from new to good to out, or voids one delegation: it ends.
        let mut round = loop {
            let round = selection.run(inventory, &mut self.cache);
            let recency = Recency { candidates: &selection.candidates, void: &void };
            let Some((namespace, why)) = recency.choose(&round.conflicts) else { break round };
            selection.hold(&namespace, &why);
            held.push(HoldBack { namespace, why, conflicts: round.conflicts });
        };
        // What was held back for the sake of one that is now held back itself may come in after all, oldest first.
        let recency = Recency { candidates: &asked, void: &void };
        let mut out: Vec<String> = held.iter().map(|held| held.namespace.clone()).collect();
        out.sort_by_cached_key(|path| recency.of(path));
        out.dedup();
        loop {
            let before = out.len();
            out.retain(|path| match selection.with(path, &asked, &void, inventory, &mut self.cache) {
                Some((more, with_it)) => {
                    (selection, round) = (more, with_it);
                    false
                }
                None => true,
            });
            // One that came in may be the parent of one that didn't.
            if out.len() == before {
                break;
            }
        }
        held.retain(|held| out.contains(&held.namespace));
        taken.void = selection.void;
        taken.candidates = selection.candidates;
        let mut conflicts: BTreeSet<Conflict> = std::mem::take(&mut taken.conflicts).into_iter().collect();
        for HoldBack { namespace, why, conflicts: all } in held {
            let other = why.namespaces().into_iter().find(|path| *path != namespace).map(str::to_owned);
            taken.held.entry(namespace.clone()).or_insert((why.to_string(), other));
            conflicts.extend(all.into_iter().filter(|of| of.namespaces().contains(&namespace.as_str())));
        }
        let history = outcome::history(last, &Outcome { round: &round, taken: &taken });
        let book = book(&round.active);
        Merged { book, history, conflicts: conflicts.into_iter().collect() }
    }
}

/// What is tried together.
#[derive(Clone)]
struct Selection {
    candidates: BTreeMap<String, Candidate>,
    /// The children whose delegations don't count.
    void: BTreeSet<String>,
}

/// One turn: who was held back, for which conflict, and all conflicts there were.
struct HoldBack {
    namespace: String,
    why: Conflict,
    conflicts: Vec<Conflict>,
}

impl Selection {
    fn run(&self, inventory: &Inventory, cache: &mut Cache) -> EvaluationRound {
        EvaluationRound::run(&self.candidates, &self.void, inventory, cache)
    }

    fn hold(&mut self, namespace: &str, why: &Conflict) {
        if why.voids(namespace) {
            self.void.insert(namespace.to_owned());
            return;
        }
        if let Some(candidate) = self.candidates.get_mut(namespace)
            && !candidate.fall_back()
        {
            self.candidates.remove(namespace);
        }
        // Delegations are void for what other contents say: which of them is asked anew where one of these changed.
        self.void.clear();
    }

    /// The same with one of those held back let in, if nothing conflicts then and no other delegation is void for it.
    fn with(
        &self,
        path: &str,
        asked: &BTreeMap<String, Candidate>,
        void_before: &BTreeSet<String>,
        inventory: &Inventory,
        cache: &mut Cache,
    ) -> Option<(Selection, EvaluationRound)> {
        let mut more = self.clone();
        let was_void = more.void.remove(path);
        if let Some(candidate) = asked.get(path) {
            more.candidates.insert(path.to_owned(), candidate.clone());
        }
        if !was_void {
            more.void.clear();
        }
        loop {
            let round = more.run(inventory, cache);
            let recency = Recency { candidates: &more.candidates, void: void_before };
            let Some((namespace, why)) = recency.choose(&round.conflicts) else { return Some((more, round)) };
            let as_before = why.voids(&namespace) && self.void.contains(&namespace) && !was_void;
            if !as_before || !more.void.insert(namespace) {
                return None;
            }
        }
    }
}

fn book(active: &BTreeMap<String, Arc<Compiled>>) -> Book {
    let owner = |(path, of): (&String, &Arc<Compiled>)| Owner {
        path: path.clone(),
        revision: of.read.file.revision,
        uncertainty_policy: of.read.file.uncertainty_policy,
    };
    let namespaces = active.iter().map(owner).collect();
    let mut rules = Vec::with_capacity(active.values().map(|of| of.rules.len()).sum());
    rules.extend(active.values().flat_map(|of| of.rules.iter().cloned()));
    Book { namespaces, rules }
}

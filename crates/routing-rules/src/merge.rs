//! The merge: gathers the candidates, then repeatedly finds conflicts and holds back the newest namespace in conflict until no
//! conflict is left.

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

/// The result of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// The book in force.
    pub book: Book,
    /// The history to pass to the next merge.
    pub history: History,
    /// The conflicts for which namespaces are held back.
    pub conflicts: Vec<Conflict>,
}

/// Merges the files into one book. The result depends only on the arguments, and not on the order of the files.
pub fn merge(last: &History, files: &[RuleFile], inventory: &Inventory) -> Merged {
    Merger::default().merge(last, files, inventory)
}

/// All conflicts of the newest content of each namespace, with nothing held back. An operator runs this check before putting
/// files in place.
pub fn check(last: &History, files: &[RuleFile], inventory: &Inventory) -> Vec<Conflict> {
    let mut cache = Cache::default();
    cache.begin_merge(inventory);
    let candidate_set = candidate::collect_candidates(last, files, inventory, &mut cache);
    let mut conflicts =
        EvaluationRound::run(&candidate_set.candidates, &BTreeSet::new(), inventory, &mut cache).conflicts;
    conflicts.extend(candidate_set.conflicts);
    conflicts.sort();
    conflicts
}

/// The maximum number of times that a merge with conflicts is repeated until its book no longer changes.
const MAX_ROUNDS: usize = 4;

/// A merge with a cache of parsed files and completed checks, so that a merge after one changed file is cheap. Its results
/// always equal those of [`merge`].
#[derive(Debug, Default)]
pub struct Merger {
    cache: Cache,
}

impl Merger {
    /// Merges the files into one book, as [`merge`] does.
    pub fn merge(&mut self, last: &History, files: &[RuleFile], inventory: &Inventory) -> Merged {
        self.cache.begin_merge(inventory);
        let mut merged = self.merge_once(last, files, inventory);
        // Accepted content becomes older than the rest, so the next merge of the same files could give another book. The merge is
        // repeated at once until the book is stable. Nearly always the first book is.
        for _ in 0..MAX_ROUNDS {
            if merged.conflicts.is_empty() {
                break;
            }
            let next = self.merge_once(&merged.history, files, inventory);
            if next.book == merged.book {
                break;
            }
            merged = next;
        }
        self.cache.end_merge();
        merged
    }

    fn merge_once(&mut self, last: &History, files: &[RuleFile], inventory: &Inventory) -> Merged {
        let mut candidate_set = candidate::collect_candidates(last, files, inventory, &mut self.cache);
        let mut selection =
            Selection { candidates: std::mem::take(&mut candidate_set.candidates), void: BTreeSet::new() };
        let initial = selection.candidates.clone();
        let void =
            last.namespaces.iter().filter(|(_, entry)| entry.void).map(|(path, _)| path.clone()).collect();
        let mut hold_backs = Vec::new();
        // The loop ends because each iteration takes one namespace from its new to its good content or out of the merge, or voids
        // one delegation.
        let mut round = loop {
            let round = selection.evaluate(inventory, &mut self.cache);
            let recency = Recency { candidates: &selection.candidates, void: &void };
            let Some((namespace, why)) = recency.choose(&round.conflicts) else { break round };
            selection.hold_back(&namespace, &why);
            hold_backs.push(HoldBack { namespace, why, conflicts: round.conflicts });
        };
        // A namespace held back in favour of one that was later held back itself may be admitted after all. The oldest is tried
        // first.
        let recency = Recency { candidates: &initial, void: &void };
        let mut still_held_back: Vec<String> =
            hold_backs.iter().map(|hold_back| hold_back.namespace.clone()).collect();
        still_held_back.sort_by_cached_key(|path| recency.newness(path));
        still_held_back.dedup();
        loop {
            let before = still_held_back.len();
            still_held_back.retain(|path| {
                match selection.readmit(path, &initial, &void, inventory, &mut self.cache) {
                    Some((extended, extended_round)) => {
                        (selection, round) = (extended, extended_round);
                        false
                    }
                    None => true,
                }
            });
            // A namespace admitted in this pass may be the parent of one that was not, so another pass follows.
            if still_held_back.len() == before {
                break;
            }
        }
        hold_backs.retain(|hold_back| still_held_back.contains(&hold_back.namespace));
        candidate_set.void = selection.void;
        candidate_set.candidates = selection.candidates;
        let mut conflicts: BTreeSet<Conflict> =
            std::mem::take(&mut candidate_set.conflicts).into_iter().collect();
        for HoldBack { namespace, why, conflicts: all } in hold_backs {
            let other = why.namespaces().into_iter().find(|path| *path != namespace).map(str::to_owned);
            candidate_set.held_back.entry(namespace.clone()).or_insert((why.to_string(), other));
            conflicts.extend(
                all.into_iter().filter(|conflict| conflict.namespaces().contains(&namespace.as_str())),
            );
        }
        let history = outcome::history(last, &Outcome { round: &round, candidate_set: &candidate_set });
        let book = book(&round.active);
        Merged { book, history, conflicts: conflicts.into_iter().collect() }
    }
}

/// The candidates and void delegations that are evaluated together.
#[derive(Clone)]
struct Selection {
    candidates: BTreeMap<String, Candidate>,
    /// The children whose delegations are void.
    void: BTreeSet<String>,
}

/// One hold-back: the namespace, the conflict it was held back for, and all conflicts of that evaluation.
struct HoldBack {
    namespace: String,
    why: Conflict,
    conflicts: Vec<Conflict>,
}

impl Selection {
    fn evaluate(&self, inventory: &Inventory, cache: &mut Cache) -> EvaluationRound {
        EvaluationRound::run(&self.candidates, &self.void, inventory, cache)
    }

    fn hold_back(&mut self, namespace: &str, why: &Conflict) {
        if why.voids_delegation(namespace) {
            self.void.insert(namespace.to_owned());
            return;
        }
        if let Some(candidate) = self.candidates.get_mut(namespace)
            && !candidate.fall_back()
        {
            self.candidates.remove(namespace);
        }
        // Delegations are void because of other contents. One of those changed, so the void delegations are determined anew.
        self.void.clear();
    }

    /// This selection with one of the held-back namespaces admitted. `None` if that causes a conflict or makes another delegation
    /// void.
    fn readmit(
        &self,
        path: &str,
        initial: &BTreeMap<String, Candidate>,
        void_before: &BTreeSet<String>,
        inventory: &Inventory,
        cache: &mut Cache,
    ) -> Option<(Selection, EvaluationRound)> {
        let mut extended = self.clone();
        let was_void = extended.void.remove(path);
        if let Some(candidate) = initial.get(path) {
            extended.candidates.insert(path.to_owned(), candidate.clone());
        }
        if !was_void {
            extended.void.clear();
        }
        loop {
            let round = extended.evaluate(inventory, cache);
            let recency = Recency { candidates: &extended.candidates, void: void_before };
            let Some((namespace, why)) = recency.choose(&round.conflicts) else {
                return Some((extended, round));
            };
            let was_void_already =
                why.voids_delegation(&namespace) && self.void.contains(&namespace) && !was_void;
            if !was_void_already || !extended.void.insert(namespace) {
                return None;
            }
        }
    }
}

fn book(active: &BTreeMap<String, Arc<Compiled>>) -> Book {
    let owner = |(path, compiled): (&String, &Arc<Compiled>)| Owner {
        path: path.clone(),
        revision: compiled.parsed.file.revision,
        uncertainty_policy: compiled.parsed.file.uncertainty_policy,
    };
    let namespaces = active.iter().map(owner).collect();
    let mut rules = Vec::with_capacity(active.values().map(|compiled| compiled.rules.len()).sum());
    rules.extend(active.values().flat_map(|compiled| compiled.rules.iter().cloned()));
    Book { namespaces, rules }
}

//! Evaluates a set of candidates together: which namespaces are in force, and all conflicts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::cache::Cache;
use crate::candidate::{Candidate, location_without_file, sample_witness};
use crate::compiled::{Compiled, ParsedFile, is_child, parent_of};
use crate::conflict::{Conflict, Witness};
use crate::file::Delegate;
use crate::ineffective::Children;
use crate::inventory::Inventory;

/// The result of one evaluation.
#[derive(Debug, Default)]
pub(crate) struct EvaluationRound {
    pub active: BTreeMap<String, Arc<Compiled>>,
    pub conflicts: Vec<Conflict>,
    /// The namespaces that a parent in force keeps on their last good revision, with that parent.
    pub frozen: BTreeMap<String, String>,
    /// The namespaces that a parent in force handed over, with the namespace that took over.
    pub handed_over: BTreeMap<String, String>,
}

/// A namespace's relation to its parent.
enum Relation<'a> {
    Root,
    /// The parent has a conflict of its own or is void. The namespace is evaluated once that is resolved.
    Deferred,
    Orphan,
    Under(Arc<Compiled>, &'a Delegate),
}

impl EvaluationRound {
    /// Evaluates the candidates together. `void` lists the namespaces whose delegations are void.
    pub fn run(
        candidates: &BTreeMap<String, Candidate>,
        void: &BTreeSet<String>,
        inventory: &Inventory,
        cache: &mut Cache,
    ) -> EvaluationRound {
        let mut round = EvaluationRound::default();
        let mut deferred = BTreeSet::new();
        // A parent sorts before its children.
        for (path, candidate) in candidates {
            // A namespace whose delegation is void has no scope, and neither have the namespaces below it.
            if candidate.content().is_some() && void.contains(path) {
                deferred.insert(path.as_str());
            } else if let Some((parent, parsed)) = round.admit(path, candidate, &mut deferred, inventory) {
                let void: Vec<&str> =
                    void.iter().map(String::as_str).filter(|child| is_child(path, child)).collect();
                let compiled = cache.compiled(parent.as_ref(), parsed, &void);
                round.activate(path, parsed, compiled);
            }
        }
        round.find_foreign_delegations(inventory);
        round.find_ineffective_preferences(cache);
        round.conflicts.sort();
        round
    }

    /// The parent and the content of a candidate that can be in force. `None` if the candidate is deferred, an orphan, handed
    /// over, or frozen without a good content.
    fn admit<'a>(
        &mut self,
        path: &'a str,
        candidate: &'a Candidate,
        deferred: &mut BTreeSet<&'a str>,
        inventory: &Inventory,
    ) -> Option<(Option<Arc<Compiled>>, &'a Arc<ParsedFile>)> {
        let parsed = candidate.content()?;
        let parent = parent_of(path).and_then(|parent| self.active.get(parent)).cloned();
        match relation(path, parent.as_ref(), deferred, inventory) {
            Relation::Root => Some((None, parsed)),
            Relation::Deferred => {
                deferred.insert(path);
                None
            }
            Relation::Orphan => {
                deferred.insert(path);
                self.conflicts.push(orphan_conflict(parsed, parent.as_deref(), inventory));
                None
            }
            Relation::Under(_, delegate) if delegate.handed_to.is_some() => None,
            Relation::Under(parent, delegate) if delegate.frozen => {
                self.frozen.insert(path.to_owned(), parent.path().to_owned());
                candidate.good.as_ref().map(|(good, _)| (Some(parent), good))
            }
            Relation::Under(parent, _) => Some((Some(parent), parsed)),
        }
    }

    /// Puts a compiled content in force.
    fn activate(&mut self, path: &str, parsed: &ParsedFile, compiled: Arc<Compiled>) {
        self.conflicts.extend(compiled.conflicts.iter().cloned());
        for delegate in &parsed.file.delegates {
            if let Some(to) = &delegate.handed_to {
                self.handed_over.insert(delegate.to.clone(), to.clone());
            }
        }
        self.active.insert(path.to_owned(), compiled);
    }

    /// Finds delegations to namespaces that are not children: each is a cycle or has no effect.
    fn find_foreign_delegations(&mut self, inventory: &Inventory) {
        let mut edges = Vec::new();
        for (path, compiled) in &self.active {
            let foreign_delegates =
                compiled.parsed.file.delegates.iter().filter(|delegate| !is_child(path, &delegate.to));
            edges.extend(foreign_delegates.map(|delegate| (path.as_str(), delegate, compiled)));
        }
        let is_at_or_below = |path: &str, ancestor: &str| {
            path.strip_prefix(ancestor).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let mut conflicts = Vec::new();
        for (from, delegate, compiled) in &edges {
            let one = compiled.parsed.location(delegate.line, &format!("delegate {}", delegate.to));
            let target = self.active.get(&delegate.to);
            let other = target.map_or(location_without_file(&delegate.to), |to| {
                to.parsed.location(to.parsed.file.line, "")
            });
            let on = compiled.scope.narrow(&delegate.tenants, &delegate.classes, &delegate.groups);
            let witness = Witness::new(&inventory.sample(&on), None);
            // A namespace reaches all namespaces below it and, through foreign delegations, their targets.
            let mut reached = BTreeSet::from([delegate.to.as_str()]);
            loop {
                let before = reached.len();
                for (start, next, _) in &edges {
                    if reached.iter().any(|ancestor| is_at_or_below(start, ancestor)) {
                        reached.insert(&next.to);
                    }
                }
                if reached.len() == before {
                    break;
                }
            }
            conflicts.push(if reached.iter().any(|ancestor| is_at_or_below(from, ancestor)) {
                Conflict::DelegationCycle { one, other, witness }
            } else {
                Conflict::NotAChild { one, other, witness }
            });
        }
        self.conflicts.extend(conflicts);
    }

    fn find_ineffective_preferences(&mut self, cache: &mut Cache) {
        let mut children = Children::new();
        let mut digests = BTreeMap::<&str, blake3::Hasher>::new();
        // Children sort after their parents, so in reverse order all children are done before their parent.
        for (path, compiled) in self.active.iter().rev() {
            let mut hasher = digests.remove(path.as_str()).unwrap_or_default();
            hasher.update(&compiled.key);
            let digest = *hasher.finalize().as_bytes();
            if let Some(parent) = parent_of(path) {
                digests.entry(parent).or_default().update(&digest);
                children.entry(parent.to_owned()).or_default().push(compiled.clone());
            }
            self.conflicts.extend_from_slice(cache.ineffective(compiled, digest, &children));
        }
    }
}

fn relation<'a>(
    path: &str,
    parent: Option<&'a Arc<Compiled>>,
    deferred: &BTreeSet<&str>,
    inventory: &Inventory,
) -> Relation<'a> {
    let Some(parent_path) = parent_of(path) else {
        return if path == inventory.root { Relation::Root } else { Relation::Orphan };
    };
    if deferred.contains(parent_path) {
        return Relation::Deferred;
    }
    match parent.and_then(|parent| Some((parent, parent.parsed.delegate(path)?))) {
        // The child's scope is not evaluated until the parent itself has what it grants.
        Some((parent, _)) if parent.out_of_scope_children.contains(path) => Relation::Deferred,
        Some((parent, delegate)) => Relation::Under(parent.clone(), delegate),
        None => Relation::Orphan,
    }
}

fn orphan_conflict(parsed: &ParsedFile, parent: Option<&Compiled>, inventory: &Inventory) -> Conflict {
    let path = &parsed.file.namespace;
    let other = match parent {
        Some(parent) => parent.parsed.location(parent.parsed.file.line, ""),
        None => location_without_file(parent_of(path).unwrap_or(&inventory.root)),
    };
    let one = parsed.location(parsed.file.line, "");
    Conflict::Orphan { one, other, witness: sample_witness(parsed.file.rules.first(), inventory) }
}

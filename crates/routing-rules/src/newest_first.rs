//! Chooses the namespace of a conflict that is held back: the newest.

use std::collections::{BTreeMap, BTreeSet};

use crate::candidate::{Age, Candidate};
use crate::conflict::Conflict;

/// The data that determines how new a namespace is.
pub(crate) struct Recency<'a> {
    pub candidates: &'a BTreeMap<String, Candidate>,
    /// The namespaces whose delegation was void after the previous merge.
    pub void: &'a BTreeSet<String>,
}

/// A sort key; the greater is newer. Of two namespaces of the same age, the deeper is newer; at the same depth, the one with the
/// greater path.
type Newness = (Age, usize, String);

impl Recency<'_> {
    /// How new a namespace is.
    pub fn newness(&self, path: &str) -> Newness {
        let age = if self.void.contains(path) {
            // A void delegation must not take effect merely because the other claimant's file changed.
            Age::Void
        } else {
            self.candidates.get(path).map_or(Age::Absent, Candidate::age)
        };
        (age, path.matches('/').count(), path.to_owned())
    }

    /// The newest namespace of any conflict, and the first conflict that it is held back for.
    pub fn choose(&self, conflicts: &[Conflict]) -> Option<(String, Conflict)> {
        let candidates = conflicts.iter().filter_map(|conflict| {
            let held_back = self.namespace_to_hold_back(conflict)?;
            Some((self.newness(&held_back), held_back, conflict))
        });
        let (_, held_back, conflict) = candidates.max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.2.cmp(a.2)))?;
        Some((held_back, conflict.clone()))
    }

    /// The namespace that is held back for a conflict.
    fn namespace_to_hold_back(&self, conflict: &Conflict) -> Option<String> {
        let namespaces = conflict.namespaces();
        let competing_children = conflict.competing_children();
        let newest =
            |paths: Vec<&str>| paths.into_iter().max_by_key(|path| self.newness(path)).map(str::to_owned);
        if competing_children.is_empty() {
            return newest(
                namespaces.into_iter().filter(|path| self.candidates.contains_key(*path)).collect(),
            );
        }
        // A delegation is as new as the content that states it. If the newest of the delegating namespaces has a good content to
        // fall back to, it falls back before any child is held back.
        let delegating_namespaces =
            namespaces.into_iter().filter(|path| !competing_children.contains(path)).collect();
        let has_fallback = |path: &String| self.candidates.get(path).is_some_and(Candidate::has_fallback);
        newest(delegating_namespaces).filter(has_fallback).or_else(|| newest(competing_children.clone()))
    }
}

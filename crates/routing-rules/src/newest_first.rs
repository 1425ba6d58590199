//! Which namespace of a conflict is held back: the youngest.

use std::collections::{BTreeMap, BTreeSet};

use crate::candidate::{Age, Candidate};
use crate::conflict::Conflict;

/// What tells how young a namespace is.
pub(crate) struct Ages<'a> {
    pub candidates: &'a BTreeMap<String, Candidate>,
    /// Those whose delegation didn't count before.
    pub void: &'a BTreeSet<String>,
}

/// Compares as young: of two that came at once the deeper is the younger; of two of one depth, the later by path.
type Young = (Age, usize, String);

impl Ages<'_> {
    /// How young a namespace is.
    pub fn of(&self, path: &str) -> Young {
        let age = if self.void.contains(path) {
            // A delegation that didn't count doesn't come to count because the other claimant's file is changed.
            Age::Void
        } else {
            self.candidates.get(path).map_or(Age::Absent, Candidate::age)
        };
        (age, path.matches('/').count(), path.to_owned())
    }

    /// The youngest namespace of any conflict, and the first conflict that it is held back for.
    pub fn choose(&self, conflicts: &[Conflict]) -> Option<(String, Conflict)> {
        let culprits = conflicts.iter().filter_map(|conflict| {
            let culprit = self.culprit(conflict)?;
            Some((self.of(&culprit), culprit, conflict))
        });
        let (_, culprit, conflict) = culprits.max_by(|a, b| a.0.cmp(&b.0).then_with(|| b.2.cmp(a.2)))?;
        Some((culprit, conflict.clone()))
    }

    /// The namespace of a conflict that is held back.
    fn culprit(&self, conflict: &Conflict) -> Option<String> {
        let all = conflict.namespaces();
        let children = conflict.promised_children();
        let youngest =
            |paths: Vec<&str>| paths.into_iter().max_by_key(|path| self.of(path)).map(str::to_owned);
        if children.is_empty() {
            return youngest(all.into_iter().filter(|path| self.candidates.contains_key(*path)).collect());
        }
        // A delegation is as young as the content it stands in: if the youngest of those who promise has a good content
        // to go back to, it does so before a child pays for its new one.
        let promisers = all.into_iter().filter(|path| !children.contains(path)).collect();
        let can_step_down = |path: &String| self.candidates.get(path).is_some_and(Candidate::can_step_down);
        youngest(promisers).filter(can_step_down).or_else(|| youngest(children.clone()))
    }
}

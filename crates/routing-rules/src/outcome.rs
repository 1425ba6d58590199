//! What is remembered after a merge.

use std::collections::BTreeSet;

use crate::candidate::{Taken, digest};
use crate::evaluation_round::EvaluationRound;
use crate::history::{Entry, GoodRevision, History};
use crate::state::{State, StateEvent, StateName};

/// What a merge came to.
pub(crate) struct Outcome<'a> {
    pub pass: &'a EvaluationRound,
    pub taken: &'a Taken,
}

/// The ledger after the merge. It is the old one if nothing changed, so that merging the same again changes nothing.
pub(crate) fn ledger(last: &History, outcome: &Outcome) -> History {
    let step = last.step.saturating_add(1);
    let mut next = History { step, ..History::default() };
    let taken = outcome.taken;
    let mut paths: BTreeSet<&String> = last.namespaces.keys().collect();
    paths.extend(taken.newest.keys().chain(taken.held.keys()));
    for path in paths {
        let before = last.namespaces.get(path);
        next.namespaces.insert(path.clone(), entry(path, before, outcome, step));
    }
    if next.namespaces == last.namespaces { last.clone() } else { next }
}

fn entry(path: &str, before: Option<&Entry>, outcome: &Outcome, step: u64) -> Entry {
    let Outcome { pass, taken } = outcome;
    let active = pass.active.get(path);
    let candidate = taken.candidates.get(path);
    // Below a void delegation nothing conflicts, and nothing is in force.
    let below_void = || {
        let void = taken
            .void
            .iter()
            .find(|void| path.strip_prefix(void.as_str()).is_some_and(|r| r.starts_with('/')))?;
        (candidate.is_some() || taken.newest.contains_key(path))
            .then(|| (format!("the delegation to {void} doesn't count"), Some(void.clone())))
    };
    let held = taken.held.get(path).cloned().or_else(below_void);
    let event = if pass.handed.contains_key(path) {
        StateEvent::HandOver
    } else if pass.frozen.contains_key(path) {
        StateEvent::Freeze
    } else if taken.refused.iter().any(|refused| refused == path) {
        StateEvent::Refused
    } else if held.is_some() {
        StateEvent::Conflict
    } else if active.is_some() {
        StateEvent::Taken
    } else {
        StateEvent::Gone
    };
    let old = before.map(|entry| &entry.state);
    let name = old.map_or(StateName::Absent, State::name).next(event);
    let same = old.filter(|state| state.name() == name);
    let since = same.and_then(State::since).unwrap_or(step);
    let state = match name {
        StateName::Absent => State::Absent,
        StateName::Good => State::Good,
        StateName::Frozen => State::Frozen { since, by: pass.frozen.get(path).cloned().unwrap_or_default() },
        StateName::HandedOver => {
            State::HandedOver { since, to: pass.handed.get(path).cloned().unwrap_or_default() }
        }
        StateName::HeldBack => {
            let (why, by) = held.clone().unwrap_or_default();
            let same = matches!(same, Some(State::HeldBack { why: old, .. }) if *old == why);
            State::HeldBack { since: if same { since } else { step }, why, by }
        }
    };
    let mut good = before.and_then(|entry| entry.good.clone());
    if let Some(active) = active {
        let read = &active.read;
        let text = read.text.clone();
        let revision = read.file.revision;
        let old = candidate.and_then(|candidate| candidate.good.as_ref());
        let taken = old.filter(|(old, _)| old.hash == read.hash).map_or(step, |(_, taken)| *taken);
        good = Some(GoodRevision { file: read.path_on_disk.clone(), revision, text, taken });
    }
    // What the file says and isn't in force stays the youngest until it changes.
    let newest = taken.newest.get(path);
    let refused =
        newest.filter(|read| held.is_some() && active.is_none_or(|active| active.read.hash != read.hash));
    let in_force = active.map(|active| active.read.file.revision);
    let void = taken.void.contains(path);
    Entry { state, in_force, good, refused: refused.map(|read| digest(read)), void }
}

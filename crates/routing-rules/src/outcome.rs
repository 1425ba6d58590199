//! Computes the history after a merge.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::candidate::{Candidate, CandidateSet, digest};
use crate::compiled::{Compiled, ParsedFile};
use crate::evaluation_round::EvaluationRound;
use crate::history::{Entry, GoodRevision, History};
use crate::state::{State, StateEvent, StateName};

/// The last evaluation of a merge, and the candidates it was based on.
pub(crate) struct Outcome<'a> {
    pub round: &'a EvaluationRound,
    pub candidate_set: &'a CandidateSet,
}

/// The history after the merge. If nothing changed, it is the old one with the same step, so that repeating a merge changes
/// nothing.
pub(crate) fn history(last: &History, outcome: &Outcome) -> History {
    let step = last.step.saturating_add(1);
    let mut next = History { step, ..History::default() };
    let candidate_set = outcome.candidate_set;
    let mut paths: BTreeSet<&String> = last.namespaces.keys().collect();
    paths.extend(candidate_set.newest.keys().chain(candidate_set.held_back.keys()));
    for path in paths {
        let before = last.namespaces.get(path);
        next.namespaces.insert(path.clone(), entry(path, before, outcome, step));
    }
    if next.namespaces == last.namespaces { last.clone() } else { next }
}

fn entry(path: &str, before: Option<&Entry>, outcome: &Outcome, step: u64) -> Entry {
    let Outcome { round, candidate_set } = outcome;
    let active = round.active.get(path);
    let held_back = candidate_set.held_back.get(path).cloned().or_else(|| below_void(path, candidate_set));
    let event = event(path, outcome, held_back.is_some());
    let state = state(path, before, event, outcome, held_back.clone(), step);
    let good = match active {
        Some(active) => Some(good_revision(active, candidate_set.candidates.get(path), step)),
        None => before.and_then(|entry| entry.good.clone()),
    };
    // The digest of a held-back content is kept, so that the content counts as the newest until it changes.
    let is_other = |parsed: &&Arc<ParsedFile>| active.is_none_or(|active| active.parsed.hash != parsed.hash);
    let refused = candidate_set.newest.get(path).filter(|parsed| held_back.is_some() && is_other(parsed));
    let in_force = active.map(|active| active.parsed.file.revision);
    let void = candidate_set.void.contains(path);
    Entry { state, in_force, good, refused: refused.map(|parsed| digest(parsed)), void }
}

/// The reason why a namespace is held back, and the other namespace of the conflict, if there is one.
type HeldBack = (String, Option<String>);

/// The reason for a namespace below a void delegation. Such a namespace is not in force, although it has no conflict itself.
fn below_void(path: &str, candidate_set: &CandidateSet) -> Option<HeldBack> {
    let is_below =
        |void: &&String| path.strip_prefix(void.as_str()).is_some_and(|rest| rest.starts_with('/'));
    let void = candidate_set.void.iter().find(is_below)?;
    let has_content = candidate_set.candidates.contains_key(path) || candidate_set.newest.contains_key(path);
    has_content.then(|| (format!("the delegation to {void} doesn't count"), Some(void.clone())))
}

/// The event that the merge found for a namespace.
fn event(path: &str, Outcome { round, candidate_set }: &Outcome, is_held_back: bool) -> StateEvent {
    if round.handed_over.contains_key(path) {
        StateEvent::HandOver
    } else if round.frozen.contains_key(path) {
        StateEvent::Freeze
    } else if candidate_set.refused.iter().any(|refused| refused == path) {
        StateEvent::Refused
    } else if is_held_back {
        StateEvent::Conflict
    } else if round.active.contains_key(path) {
        StateEvent::Taken
    } else {
        StateEvent::Gone
    }
}

/// The state that the event leads to. If the state does not change, it keeps the step since which it holds.
fn state(
    path: &str,
    before: Option<&Entry>,
    event: StateEvent,
    Outcome { round, .. }: &Outcome,
    held_back: Option<HeldBack>,
    step: u64,
) -> State {
    let old = before.map(|entry| &entry.state);
    let name = old.map_or(StateName::Absent, State::name).next(event);
    let same = old.filter(|state| state.name() == name);
    let since = same.and_then(State::since).unwrap_or(step);
    match name {
        StateName::Absent => State::Absent,
        StateName::Good => State::Good,
        StateName::Frozen => State::Frozen { since, by: round.frozen.get(path).cloned().unwrap_or_default() },
        StateName::HandedOver => {
            State::HandedOver { since, to: round.handed_over.get(path).cloned().unwrap_or_default() }
        }
        StateName::HeldBack => {
            let (why, by) = held_back.unwrap_or_default();
            let is_same = matches!(same, Some(State::HeldBack { why: old, .. }) if *old == why);
            State::HeldBack { since: if is_same { since } else { step }, why, by }
        }
    }
}

/// The content in force, with the step at which it first came into force.
fn good_revision(active: &Compiled, candidate: Option<&Candidate>, step: u64) -> GoodRevision {
    let parsed = &active.parsed;
    let known = candidate.and_then(|candidate| candidate.good.as_ref());
    let taken = known.filter(|(known, _)| known.hash == parsed.hash).map_or(step, |(_, taken)| *taken);
    let (file, revision) = (parsed.path_on_disk.clone(), parsed.file.revision);
    GoodRevision { file, revision, text: parsed.text.clone(), taken }
}

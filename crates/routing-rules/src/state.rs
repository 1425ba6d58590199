//! The states of a namespace, and the table of transitions between them.

use serde::{Deserialize, Serialize};

/// The state of a namespace. `since` is the step at which the state began: see [`crate::History::step`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum State {
    /// The namespace has no file and no rules.
    #[default]
    Absent,
    /// The namespace's file is in force.
    Good,
    /// The namespace's file is not in force. The last good revision is in force, if there is one without a conflict.
    HeldBack {
        /// The step at which the state began.
        since: u64,
        /// The reason: the text of the conflict.
        why: String,
        /// The other namespace of the conflict, if there is one.
        by: Option<String>,
    },
    /// The parent keeps the namespace on its last good revision and ignores the namespace's file.
    Frozen {
        /// The step at which the state began.
        since: u64,
        /// The parent that froze the namespace.
        by: String,
    },
    /// The parent handed the namespace's scope over to another namespace. The namespace's file is ignored.
    HandedOver {
        /// The step at which the state began.
        since: u64,
        /// The namespace that took over.
        to: String,
    },
}

/// A [`State`] without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateName {
    /// [`State::Absent`].
    Absent,
    /// [`State::Good`].
    Good,
    /// [`State::HeldBack`].
    HeldBack,
    /// [`State::Frozen`].
    Frozen,
    /// [`State::HandedOver`].
    HandedOver,
}

/// What a merge finds out about a namespace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateEvent {
    /// The namespace's file is in force.
    Taken,
    /// The namespace's file is refused by itself: it is invalid, has an older revision, or is one of two contents of a revision.
    Refused,
    /// The namespace's file or its last good revision conflicts with another namespace or with itself.
    Conflict,
    /// The namespace's file has been removed.
    Gone,
    /// The parent freezes the namespace.
    Freeze,
    /// The parent hands the namespace over.
    HandOver,
}

impl State {
    /// The name of the state.
    pub fn name(&self) -> StateName {
        match self {
            State::Absent => StateName::Absent,
            State::Good => StateName::Good,
            State::HeldBack { .. } => StateName::HeldBack,
            State::Frozen { .. } => StateName::Frozen,
            State::HandedOver { .. } => StateName::HandedOver,
        }
    }

    pub(crate) fn since(&self) -> Option<u64> {
        match self {
            State::Absent | State::Good => None,
            State::HeldBack { since, .. } | State::Frozen { since, .. } | State::HandedOver { since, .. } => {
                Some(*since)
            }
        }
    }
}

impl StateName {
    /// All states, in the order of the table in `docs/design/rulebook.md`.
    pub const ALL: [StateName; 5] =
        [StateName::Absent, StateName::Good, StateName::HeldBack, StateName::Frozen, StateName::HandedOver];

    /// The state that the event leads to.
    pub fn next(self, event: StateEvent) -> StateName {
        match (self, event) {
            // The end of a freeze or of a hand-over has no event of its own: the event of the file in that merge applies.
            (_, StateEvent::Taken) => StateName::Good,
            (_, StateEvent::Refused | StateEvent::Conflict) => StateName::HeldBack,
            (_, StateEvent::Gone) => StateName::Absent,
            (_, StateEvent::Freeze) => StateName::Frozen,
            (_, StateEvent::HandOver) => StateName::HandedOver,
        }
    }
}

impl StateEvent {
    /// All events, in the order of the table in `docs/design/rulebook.md`.
    pub const ALL: [StateEvent; 6] = [
        StateEvent::Taken,
        StateEvent::Refused,
        StateEvent::Conflict,
        StateEvent::Gone,
        StateEvent::Freeze,
        StateEvent::HandOver,
    ];
}

//! What becomes of a namespace from merge to merge: its states, and the table of what leads from one to another.

use serde::{Deserialize, Serialize};

/// The state of a namespace. `since` counts merges that changed something: [`crate::History::step`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum State {
    /// It has no file, and no rules.
    #[default]
    Absent,
    /// Its file is in force.
    Good,
    /// Its file isn't in force. The last good revision is, if there is one that conflicts with nothing.
    HeldBack {
        /// Since which step.
        since: u64,
        /// Why.
        why: String,
        /// The namespace that it conflicts with, if it isn't by itself.
        by: Option<String>,
    },
    /// Its parent keeps it on its last good revision, whatever its file says.
    Frozen {
        /// Since which step.
        since: u64,
        /// The parent.
        by: String,
    },
    /// Its parent gave what it had to another namespace; its file counts no more.
    HandedOver {
        /// Since which step.
        since: u64,
        /// The namespace that has it now.
        to: String,
    },
}

/// A state without its particulars.
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

/// What a merge finds of a namespace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateEvent {
    /// Its file is there, and in force.
    Taken,
    /// Its file can't be taken by itself: broken, an older revision, two contents of one revision.
    Refused,
    /// Its file, or its last good revision, conflicts with another namespace or with itself.
    Conflict,
    /// Its file is gone.
    Gone,
    /// Its parent freezes it.
    Freeze,
    /// Its parent hands it over.
    HandOver,
}

impl State {
    /// The state's name.
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
    /// All, in the table's order.
    pub const ALL: [StateName; 5] =
        [StateName::Absent, StateName::Good, StateName::HeldBack, StateName::Frozen, StateName::HandedOver];

    /// The state that the event leads to.
    pub fn next(self, event: StateEvent) -> StateName {
        match (self, event) {
            // A thaw or the end of a hand-over shows as whatever the file then is.
            (_, StateEvent::Taken) => StateName::Good,
            (_, StateEvent::Refused | StateEvent::Conflict) => StateName::HeldBack,
            (_, StateEvent::Gone) => StateName::Absent,
            (_, StateEvent::Freeze) => StateName::Frozen,
            (_, StateEvent::HandOver) => StateName::HandedOver,
        }
    }
}

impl StateEvent {
    /// All, in the table's order.
    pub const ALL: [StateEvent; 6] = [
        StateEvent::Taken,
        StateEvent::Refused,
        StateEvent::Conflict,
        StateEvent::Gone,
        StateEvent::Freeze,
        StateEvent::HandOver,
    ];
}

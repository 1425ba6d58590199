//! What is recorded of a run: plain figures, for whoever judges it.

use serde::{Deserialize, Serialize};

/// Something that happened at a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When, in microseconds of a clock that all share.
    pub at: i64,
    /// Where.
    pub member: u32,
    /// What.
    pub what: What,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// Its process has begun.
    Began,
    /// Its process has ended, without a word.
    Ended,
    /// From now on it may act on this version, up to a time; or on none.
    May {
        /// Number and content; `None`: none.
        version: Option<(u64, u32)>,
        /// Which contents contradict one another: those of another kind.
        kind: u8,
        /// Own clock.
        until: i64,
    },
    /// It was told to put a content in force.
    Proposed {
        /// Which.
        content: u32,
    },
    /// Its proposal is over.
    Over {
        /// Of this content.
        content: u32,
        /// It is in force.
        in_force: bool,
    },
    /// It has a view of so many members.
    View {
        /// Members whose reports are in it.
        members: u32,
    },
    /// It asks this member for the fleet's view; `None`: none answered it.
    Keeper(Option<u32>),
    /// It believes that another one is dead (or not any more).
    Dead {
        /// Which.
        of: u32,
        /// It is believed dead.
        is: bool,
    },
    /// It has taken this list.
    Listed {
        /// Its revision.
        revision: u64,
        /// Nodes in it.
        nodes: u32,
    },
}

//! What is remembered of each namespace from merge to merge.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::State;

/// Each namespace's state and last good content. An empty one is that of the very first start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// How many merges changed something.
    pub step: u64,
    /// The namespaces, by path.
    pub namespaces: BTreeMap<String, Entry>,
}

/// What is remembered of one namespace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its state.
    pub state: State,
    /// The revision whose rules are in the book.
    pub in_force: Option<u64>,
    /// The last content that was in force. It stays when the file goes, so that an older revision can't return.
    pub good: Option<GoodRevision>,
    /// The digest of the content that is held back: it stays newer than whatever comes after.
    pub refused: Option<String>,
    /// Whether what its parent delegates to it doesn't count, since it was promised beyond what there is, or twice.
    #[serde(default)]
    pub void: bool,
}

/// A content that was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GoodRevision {
    /// The file it was read from.
    pub file: String,
    /// Its revision.
    pub revision: u64,
    /// Its text.
    pub text: Arc<str>,
    /// The step at which it was taken.
    pub taken: u64,
}

//! The state that each merge hands on to the next.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::State;

/// The state and the last good content of each namespace. The first merge starts with an empty history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// The number of merges that changed something.
    pub step: u64,
    /// The namespaces, by path.
    pub namespaces: BTreeMap<String, Entry>,
}

/// The history of one namespace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The state of the namespace.
    pub state: State,
    /// The revision whose rules are in the book; `None` if the namespace is not in force.
    pub in_force: Option<u64>,
    /// The last content that was in force. It is kept when the file is removed, so that an older revision cannot return.
    pub good: Option<GoodRevision>,
    /// The digest of the content that is held back. That content counts as newer than all later content, so that it does not hold
    /// later content back.
    pub refused: Option<String>,
    /// Whether the parent's delegation to this namespace is void, because it exceeds the parent's connections or overlaps another
    /// delegation.
    #[serde(default)]
    pub void: bool,
}

/// A content that is or was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GoodRevision {
    /// The file from which the content was read.
    pub file: String,
    /// The revision of the content.
    pub revision: u64,
    /// The text of the file.
    pub text: Arc<str>,
    /// The step at which the content first came into force.
    pub taken: u64,
}

//! A namespace's file: its bytes as they were found, and what it says.

use std::collections::BTreeSet;

use crate::book::{GroupRange, RuleKind, Strength, UncertaintyPolicy};

/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// The most rules and delegations in one file.
pub const MAX_ITEMS: usize = 5_000;
/// The deepest namespace: so many stand above it at most.
pub const MAX_DEPTH: usize = 16;
/// The longest name of one namespace, rule, tenant or the like, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// A file as it was found: nothing is known of its contents yet, not even whether they are text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleFile {
    /// Where it was found; it is only named in messages, and tells whose a broken file is.
    pub path_on_disk: String,
    /// Its bytes.
    pub text: Vec<u8>,
}

impl RuleFile {
    /// A file of these bytes.
    pub fn new(path_on_disk: impl Into<String>, text: impl Into<Vec<u8>>) -> RuleFile {
        RuleFile { path_on_disk: path_on_disk.into(), text: text.into() }
    }
}

/// Why a file can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{file}:{line}: {key}: {why}")]
pub struct RuleFileError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 if it is about the file as a whole.
    pub line: u32,
    /// The key, or what stands on that line.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

/// What one namespace's file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamespaceFile {
    /// The namespace's path.
    pub namespace: String,
    /// The line that names the namespace.
    pub line: u32,
    /// Who answers for it.
    pub owner: String,
    /// The revision; each content has its own.
    pub revision: u64,
    /// What happens to its requests while the version in force is uncertain.
    pub uncertainty_policy: UncertaintyPolicy,
    /// What it leaves to its children, in the file's order.
    pub delegates: Vec<Delegate>,
    /// Its rules, in the file's order.
    pub rules: Vec<DeclaredRule>,
}

/// What a namespace leaves to one child. An empty set means all that the namespace has itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// The child's path.
    pub to: String,
    /// The line of the delegation.
    pub line: u32,
    /// The tenants that the child may speak of.
    pub tenants: BTreeSet<String>,
    /// The classes that it may speak of.
    pub classes: BTreeSet<String>,
    /// The score groups that it may speak of.
    pub groups: Vec<GroupRange>,
    /// The halls that it may use.
    pub halls: BTreeSet<String>,
    /// The hardware classes that it may use.
    pub hardware: BTreeSet<String>,
    /// Its part of the namespace's connections.
    pub connections: Option<u64>,
    /// Whether the child stays on its last good revision.
    pub frozen: bool,
    /// Which namespace took over from the child: the child's file counts no more.
    pub handed_to: Option<String>,
}

/// A rule as its file states it: an empty set means all that its namespace has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredRule {
    /// Its name.
    pub name: String,
    /// The line it starts on.
    pub line: u32,
    /// Whether it is required.
    pub strength: Strength,
    /// Which of two preferences of one depth goes first.
    pub priority: i32,
    /// The tenants it names.
    pub tenants: BTreeSet<String>,
    /// The classes it names.
    pub classes: BTreeSet<String>,
    /// The score groups it names.
    pub groups: Vec<GroupRange>,
    /// What it asks for.
    pub kind: RuleKind,
}

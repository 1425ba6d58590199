//! The file of a namespace: its raw bytes and its parsed content.

use std::collections::BTreeSet;

use crate::book::{GroupRange, RuleKind, Strength, UncertaintyPolicy};

/// The maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// The maximum number of rules and delegations in one file.
pub const MAX_ITEMS: usize = 5_000;
/// The maximum depth of a namespace: the number of namespaces above it.
pub const MAX_DEPTH: usize = 16;
/// The maximum length of a path segment or of the name of a rule, tenant, class, hall or hardware class, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An unparsed file, which may not even contain text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleFile {
    /// The path of the file. It is used only in messages and to attribute a broken file to a namespace.
    pub path_on_disk: String,
    /// The content of the file.
    pub text: Vec<u8>,
}

impl RuleFile {
    /// Creates an unparsed file.
    pub fn new(path_on_disk: impl Into<String>, text: impl Into<Vec<u8>>) -> RuleFile {
        RuleFile { path_on_disk: path_on_disk.into(), text: text.into() }
    }
}

/// The reason why a file is invalid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{file}:{line}: {key}: {why}")]
pub struct RuleFileError {
    /// The file.
    pub file: String,
    /// The line, counted from 1; 0 if the error concerns the whole file.
    pub line: u32,
    /// The key in error, or the start of the line if the parser reported the error.
    pub key: String,
    /// What is wrong with the key.
    pub why: String,
}

/// The parsed content of a namespace's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamespaceFile {
    /// The namespace's path.
    pub namespace: String,
    /// The line that names the namespace.
    pub line: u32,
    /// The people responsible for the namespace.
    pub owner: String,
    /// The revision. Two different contents must not have the same revision.
    pub revision: u64,
    /// What happens to the namespace's requests while it is uncertain which version is in force.
    pub uncertainty_policy: UncertaintyPolicy,
    /// The delegations to the children, in file order.
    pub delegates: Vec<Delegate>,
    /// The rules, in file order.
    pub rules: Vec<DeclaredRule>,
}

/// The scope that a namespace grants to one child. An empty set grants everything that the namespace itself has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegate {
    /// The child's path.
    pub to: String,
    /// The line on which the delegation starts.
    pub line: u32,
    /// The tenants that the child's rules may name.
    pub tenants: BTreeSet<String>,
    /// The classes that the child's rules may name.
    pub classes: BTreeSet<String>,
    /// The score groups that the child's rules may name.
    pub groups: Vec<GroupRange>,
    /// The halls that the child may use.
    pub halls: BTreeSet<String>,
    /// The hardware classes that the child may use.
    pub hardware: BTreeSet<String>,
    /// The child's quota of the namespace's connections; `None` if the child has no quota of its own.
    pub connections: Option<u64>,
    /// Whether the child stays on its last good revision.
    pub frozen: bool,
    /// The namespace that took over from the child. If set, the child's file is ignored.
    pub handed_to: Option<String>,
}

/// A rule as declared in its file. An empty set stands for everything in the namespace's scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredRule {
    /// The name of the rule.
    pub name: String,
    /// The line on which the rule starts.
    pub line: u32,
    /// Whether the rule is a requirement or a preference.
    pub strength: Strength,
    /// Orders the preferences of one depth: the one with the higher priority is applied first.
    pub priority: i32,
    /// The tenants that the rule names.
    pub tenants: BTreeSet<String>,
    /// The classes that the rule names.
    pub classes: BTreeSet<String>,
    /// The score groups that the rule names.
    pub groups: Vec<GroupRange>,
    /// What the rule demands.
    pub kind: RuleKind,
}

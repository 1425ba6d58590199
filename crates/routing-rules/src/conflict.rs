//! The conflicts that hold a namespace's newest revision back, most of them with a witness.

use std::fmt;

use crate::book::{Node, Request};
use crate::file::RuleFileError;

/// The location of a namespace, rule or delegation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleLocation {
    /// The path of the namespace.
    pub namespace: String,
    /// The file of the namespace; empty if there is none.
    pub file: String,
    /// The line in the file, counted from 1; 0 if there is none.
    pub line: u32,
    /// The name of the rule or delegation; empty if the location is that of the namespace itself.
    pub name: String,
}

impl fmt::Display for RuleLocation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.namespace)?;
        if !self.name.is_empty() {
            write!(f, ":{}", self.name)?;
        }
        if self.file.is_empty() { Ok(()) } else { write!(f, " ({}:{})", self.file, self.line) }
    }
}

/// An example that demonstrates a conflict: a request and, if the conflict involves nodes, a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Witness {
    /// The request's tenant.
    pub tenant: Option<String>,
    /// The request's class.
    pub class: String,
    /// The request's score group.
    pub group: Option<u64>,
    /// The node's hall and hardware class.
    pub node: Option<(String, String)>,
}

impl Witness {
    pub(crate) fn new(request: &Request, node: Option<Node>) -> Witness {
        Witness {
            tenant: request.tenant.map(str::to_owned),
            class: request.class.to_owned(),
            group: request.group,
            node: node.map(|node| (node.hall.to_owned(), node.hardware.to_owned())),
        }
    }

    /// The request that demonstrates the conflict.
    pub fn request(&self) -> Request<'_> {
        Request { tenant: self.tenant.as_deref(), class: &self.class, group: self.group }
    }

    /// The node that demonstrates the conflict; `None` if the conflict does not involve nodes.
    pub fn node(&self) -> Option<Node<'_>> {
        self.node.as_ref().map(|(hall, hardware)| Node { hall, hardware })
    }
}

impl fmt::Display for Witness {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "a request of {}, class {}", self.tenant.as_deref().unwrap_or("no tenant"), self.class)?;
        if let Some(group) = self.group {
            write!(f, ", group {group:#x}")?;
        }
        if let Some((hall, hardware)) = &self.node {
            write!(f, ", on a node of {hall}, {hardware}")?;
        }
        Ok(())
    }
}

/// A conflict for which a namespace is held back. The text of a conflict is stored in the history.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Conflict {
    /// A file is invalid: it cannot be parsed, or it fails a check.
    #[error("{error}")]
    InvalidFile {
        /// The namespace that the file is attributed to, if known.
        namespace: Option<String>,
        /// The reason, with the line and the key.
        error: RuleFileError,
    },
    /// A file states a revision older than the last good one. To return to an old text, it must be given a new revision.
    #[error("{one}: revision {stated} is older than {last}; to go back, give the old text a new revision")]
    OldRevision {
        /// The location of the namespace in the file.
        one: RuleLocation,
        /// The revision stated in the file.
        stated: u64,
        /// The last good revision.
        last: u64,
    },
    /// Two different contents have the same revision.
    #[error("{one} and {other} both are revision {revision}, with different contents; e.g. {witness}")]
    DuplicateRevision {
        /// The first content.
        one: RuleLocation,
        /// The second content: another file, or the last good content.
        other: RuleLocation,
        /// The revision of both contents.
        revision: u64,
        /// A request that the contents may differ on.
        witness: Witness,
    },
    /// A delegation leads back to the delegating namespace: to the namespace itself, to one above it, or through further
    /// delegations to namespaces that are not children.
    #[error("{one} delegates in a circle to {other}; e.g. {witness}")]
    DelegationCycle {
        /// The delegation.
        one: RuleLocation,
        /// The namespace delegated to.
        other: RuleLocation,
        /// A request that the delegation covers.
        witness: Witness,
    },
    /// A namespace delegates to a namespace that is not its child.
    #[error("{one} delegates to {other}, which isn't its child; e.g. {witness}")]
    NotAChild {
        /// The delegation.
        one: RuleLocation,
        /// The namespace delegated to.
        other: RuleLocation,
        /// A request that the delegation covers.
        witness: Witness,
    },
    /// A namespace has no delegation from a parent in force.
    #[error("{one} has no delegation from {other}; e.g. {witness}")]
    Orphan {
        /// The namespace that has no delegation.
        one: RuleLocation,
        /// The parent that should delegate to the namespace.
        other: RuleLocation,
        /// A request that the namespace's rules apply to.
        witness: Witness,
    },
    /// A rule or a delegation names something outside its namespace's scope.
    #[error("{one} speaks of what {other} doesn't give it: {what}; e.g. {witness}")]
    OutOfScope {
        /// The rule or the delegation.
        one: RuleLocation,
        /// The delegation that grants the namespace its scope.
        other: RuleLocation,
        /// The kind and name of what is outside the scope.
        what: String,
        /// A request outside the scope, or a request and a node outside the scope.
        witness: Witness,
    },
    /// The scopes of two siblings overlap.
    #[error("{one} and {other} both claim {witness}")]
    OverlappingScopes {
        /// The first child, at the location of its delegation.
        one: RuleLocation,
        /// The second child, at the location of its delegation.
        other: RuleLocation,
        /// The parent that delegates to both.
        parent: RuleLocation,
        /// A request in both scopes.
        witness: Witness,
    },
    /// The quotas of the children together, or a cap, exceed the connections that the namespace has.
    #[error("{one}: {promised} connections are promised of {total} that {other} has; e.g. {witness}")]
    OverCommitted {
        /// The first delegation whose quota brings the sum above the total, or the cap that exceeds the total.
        one: RuleLocation,
        /// The namespace that grants the quotas, or the rule that sets the cap.
        grantor: RuleLocation,
        /// The delegation that grants the total.
        other: RuleLocation,
        /// The children that have quotas, at the locations of their delegations; empty for a cap.
        quotas: Vec<RuleLocation>,
        /// The sum of the quotas, or the cap.
        promised: u64,
        /// The connections that the namespace has.
        total: u64,
        /// A request that the quota or the cap applies to.
        witness: Witness,
    },
    /// The requirements on a request allow no node.
    #[error("{one} and {other} leave no node to {witness}")]
    NoNode {
        /// The deepest of the requirements.
        one: RuleLocation,
        /// The requirement nearest the root; the same as `one` if a single requirement causes the conflict.
        other: RuleLocation,
        /// A minimal set of requirements in conflict: without any one of them, a node is allowed.
        requirements: Vec<RuleLocation>,
        /// The request, and a node that the requirements other than the deepest allow.
        witness: Witness,
    },
    /// A preference can never take effect.
    #[error("{one} can never take effect for {other}; e.g. {witness}")]
    IneffectivePreference {
        /// The preference.
        one: RuleLocation,
        /// The rule that defeats the preference; the preference itself if no request or no node matches it.
        other: RuleLocation,
        /// A request that the preference applies to, and a node that satisfies it.
        witness: Witness,
    },
}

impl Conflict {
    /// The namespaces that can be held back for the conflict, sorted by path.
    pub fn namespaces(&self) -> Vec<&str> {
        let mut all: Vec<&str> = match self {
            Conflict::InvalidFile { namespace, .. } => namespace.as_deref().into_iter().collect(),
            // Only the first namespace is responsible: a parent may withdraw a delegation, and a namespace is not responsible
            // for a delegation from a namespace that is not its parent.
            Conflict::OldRevision { one, .. }
            | Conflict::Orphan { one, .. }
            | Conflict::NotAChild { one, .. } => vec![&one.namespace],
            Conflict::DuplicateRevision { one, other, .. }
            | Conflict::DelegationCycle { one, other, .. }
            | Conflict::OutOfScope { one, other, .. }
            | Conflict::IneffectivePreference { one, other, .. } => vec![&one.namespace, &other.namespace],
            Conflict::OverlappingScopes { one, other, parent, .. } => {
                vec![&one.namespace, &other.namespace, &parent.namespace]
            }
            Conflict::OverCommitted { one, grantor, other, quotas, .. } => {
                let quotas = quotas.iter().chain([one, grantor, other]);
                quotas.map(|location| location.namespace.as_str()).collect()
            }
            Conflict::NoNode { requirements, .. } => {
                requirements.iter().map(|location| location.namespace.as_str()).collect()
            }
        };
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The children whose delegations conflict with one another. The delegation to the one that is held back becomes void.
    pub(crate) fn competing_children(&self) -> Vec<&str> {
        match self {
            Conflict::OverlappingScopes { one, other, .. } => vec![&one.namespace, &other.namespace],
            Conflict::OverCommitted { quotas, .. } => {
                quotas.iter().map(|location| location.namespace.as_str()).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The name of the rule or delegation that is outside its namespace's scope.
    pub(crate) fn out_of_scope_name(&self) -> Option<&str> {
        match self {
            Conflict::OutOfScope { one, .. } => Some(&one.name),
            _ => None,
        }
    }

    /// Whether holding this namespace back voids its delegation.
    pub(crate) fn voids_delegation(&self, held_back: &str) -> bool {
        self.competing_children().contains(&held_back)
    }

    /// The example that demonstrates the conflict. `None` for an unreadable or outdated file, whose rules are not considered.
    pub fn witness(&self) -> Option<&Witness> {
        match self {
            Conflict::InvalidFile { .. } | Conflict::OldRevision { .. } => None,
            Conflict::DuplicateRevision { witness, .. }
            | Conflict::DelegationCycle { witness, .. }
            | Conflict::NotAChild { witness, .. }
            | Conflict::Orphan { witness, .. }
            | Conflict::OutOfScope { witness, .. }
            | Conflict::OverlappingScopes { witness, .. }
            | Conflict::OverCommitted { witness, .. }
            | Conflict::NoNode { witness, .. }
            | Conflict::IneffectivePreference { witness, .. } => Some(witness),
        }
    }
}

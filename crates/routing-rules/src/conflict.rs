//! What stands in the way of a namespace's newest revision, each with a witness.

use std::fmt;

use crate::book::{Node, Request};
use crate::file::RuleFileError;

/// Where something stands, and whose it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleLocation {
    /// The namespace.
    pub namespace: String,
    /// Its file; empty if it has none.
    pub file: String,
    /// The line, from 1; 0 if there is none.
    pub line: u32,
    /// The rule or delegation that stands there; empty if it is the namespace itself.
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

/// A request and, where it has one, a node that show a conflict.
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

    /// The request.
    pub fn request(&self) -> Request<'_> {
        Request { tenant: self.tenant.as_deref(), class: &self.class, group: self.group }
    }

    /// The node.
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

/// Why a namespace is held back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Conflict {
    /// A file can't be read.
    #[error("{error}")]
    Broken {
        /// The namespace it is taken to be of, if that is known.
        namespace: Option<String>,
        /// What is wrong.
        error: RuleFileError,
    },
    /// A file states an older revision than the last good one; a return is a new revision.
    #[error("{one}: revision {stated} is older than {last}; to go back, give the old text a new revision")]
    OldRevision {
        /// The file.
        one: RuleLocation,
        /// The revision it states.
        stated: u64,
        /// The last good revision.
        last: u64,
    },
    /// Two contents under one revision.
    #[error("{one} and {other} both are revision {revision}, with different contents; e.g. {witness}")]
    TwoContents {
        /// The one.
        one: RuleLocation,
        /// The other: a file, or the last good content.
        other: RuleLocation,
        /// The revision.
        revision: u64,
        /// A request that the contents may differ on.
        witness: Witness,
    },
    /// A namespace delegates to one above it, or to itself.
    #[error("{one} delegates in a circle to {other}; e.g. {witness}")]
    Circle {
        /// The delegation.
        one: RuleLocation,
        /// The namespace delegated to.
        other: RuleLocation,
        /// A request delegated so.
        witness: Witness,
    },
    /// A namespace delegates to one that isn't its child.
    #[error("{one} delegates to {other}, which isn't its child; e.g. {witness}")]
    NotItsChild {
        /// The delegation.
        one: RuleLocation,
        /// The namespace delegated to.
        other: RuleLocation,
        /// A request delegated so.
        witness: Witness,
    },
    /// No parent in force delegates to a namespace.
    #[error("{one} has no delegation from {other}; e.g. {witness}")]
    Orphan {
        /// The namespace.
        one: RuleLocation,
        /// The parent it should have one from.
        other: RuleLocation,
        /// A request it speaks of.
        witness: Witness,
    },
    /// A rule or a delegation on what its namespace doesn't own.
    #[error("{one} speaks of what {other} doesn't give it: {what}; e.g. {witness}")]
    NotOwned {
        /// The rule or the delegation.
        one: RuleLocation,
        /// What the namespace was given.
        other: RuleLocation,
        /// What is not owned.
        what: String,
        /// A request, and a node if it is about nodes.
        witness: Witness,
    },
    /// Two siblings claim the same subject.
    #[error("{one} and {other} both claim {witness}")]
    SameSubject {
        /// The one child, where the parent delegates to it.
        one: RuleLocation,
        /// The other child, where the parent delegates to it.
        other: RuleLocation,
        /// The parent.
        parent: RuleLocation,
        /// A request of both.
        witness: Witness,
    },
    /// More connections are promised than there are.
    #[error("{one}: {promised} connections are promised of {total} that {other} has; e.g. {witness}")]
    OverCommitted {
        /// The delegation that passes the total, or the cap above it.
        one: RuleLocation,
        /// Who promises them.
        promiser: RuleLocation,
        /// What the quotas are of.
        other: RuleLocation,
        /// The children that have quotas, where they have them; a cap is alone.
        quotas: Vec<RuleLocation>,
        /// What is promised in all.
        promised: u64,
        /// What there is.
        total: u64,
        /// A request that has a part.
        witness: Witness,
    },
    /// Requirements leave a request no node.
    #[error("{one} and {other} leave no node to {witness}")]
    NoNode {
        /// The deepest of the requirements.
        one: RuleLocation,
        /// The other; the same, if one must is enough.
        other: RuleLocation,
        /// All the requirements that it takes: without any of them there is a node.
        requirements: Vec<RuleLocation>,
        /// The request, and a node that the other must allows or would allow.
        witness: Witness,
    },
    /// A wish can never take effect.
    #[error("{one} can never take effect for {other}; e.g. {witness}")]
    IneffectivePreference {
        /// The wish.
        one: RuleLocation,
        /// What stands against it; the wish itself, if no request is matched at all.
        other: RuleLocation,
        /// A request that it speaks of, and a node that it would be for.
        witness: Witness,
    },
}

impl Conflict {
    /// The namespaces in it, by path; the one held back is one of these.
    pub fn namespaces(&self) -> Vec<&str> {
        let mut all: Vec<&str> = match self {
            Conflict::Broken { namespace, .. } => namespace.as_deref().into_iter().collect(),
            // These stand by one namespace alone: a parent can take a delegation back, and nobody answers for being
            // delegated to by a stranger.
            Conflict::OldRevision { one, .. }
            | Conflict::Orphan { one, .. }
            | Conflict::NotItsChild { one, .. } => vec![&one.namespace],
            Conflict::TwoContents { one, other, .. }
            | Conflict::Circle { one, other, .. }
            | Conflict::NotOwned { one, other, .. }
            | Conflict::IneffectivePreference { one, other, .. } => vec![&one.namespace, &other.namespace],
            Conflict::SameSubject { one, other, parent, .. } => {
                vec![&one.namespace, &other.namespace, &parent.namespace]
            }
            Conflict::OverCommitted { one, promiser, other, quotas, .. } => {
                let quotas = quotas.iter().chain([one, promiser, other]);
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

    /// The children whose parent promises them what can't be: the one of them held back loses the delegation with it.
    pub(crate) fn promised_children(&self) -> Vec<&str> {
        match self {
            Conflict::SameSubject { one, other, .. } => vec![&one.namespace, &other.namespace],
            Conflict::OverCommitted { quotas, .. } => {
                quotas.iter().map(|location| location.namespace.as_str()).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The rule or delegation that isn't owned.
    pub(crate) fn rule(&self) -> Option<&str> {
        match self {
            Conflict::NotOwned { one, .. } => Some(&one.name),
            _ => None,
        }
    }

    /// Whether holding back this namespace takes its delegation away.
    pub(crate) fn voids(&self, held: &str) -> bool {
        self.promised_children().contains(&held)
    }

    /// The request and the node that show it; none where no request is spoken of yet.
    pub fn witness(&self) -> Option<&Witness> {
        match self {
            Conflict::Broken { .. } | Conflict::OldRevision { .. } => None,
            Conflict::TwoContents { witness, .. }
            | Conflict::Circle { witness, .. }
            | Conflict::NotItsChild { witness, .. }
            | Conflict::Orphan { witness, .. }
            | Conflict::NotOwned { witness, .. }
            | Conflict::SameSubject { witness, .. }
            | Conflict::OverCommitted { witness, .. }
            | Conflict::NoNode { witness, .. }
            | Conflict::IneffectivePreference { witness, .. } => Some(witness),
        }
    }
}

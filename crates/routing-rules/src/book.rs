//! The merged book: the form of the rules that the rest of the program reads.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The rules of all namespaces in force. Owners are sorted by path and rules by (namespace, name), so that the same set of
/// files always serialises to the same bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Book {
    /// The namespaces in force, sorted by path.
    pub namespaces: Vec<Owner>,
    /// The rules of these namespaces, sorted by (namespace, name).
    pub rules: Vec<Rule>,
}

/// A namespace in force, and its policy while it is uncertain which version is in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The path of the namespace, such as `consortium/house-a/team`.
    pub path: String,
    /// The revision in force.
    pub revision: u64,
    /// What happens to the namespace's requests while it is uncertain which version is in force.
    #[serde(rename = "on_doubt")]
    pub uncertainty_policy: UncertaintyPolicy,
}

/// What happens to requests under a namespace's requirements while it is uncertain which version is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UncertaintyPolicy {
    /// The requests are rejected, with a Retry-After.
    Refuse {
        /// The Retry-After of a rejected client, in milliseconds.
        retry_ms: u32,
    },
    /// The requests are routed by the last known version.
    #[default]
    Keep,
}

/// One rule of one namespace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rule {
    /// The path of the namespace that owns the rule.
    pub namespace: String,
    /// The rule's name, unique within its namespace.
    pub name: String,
    /// The file that declares the rule.
    pub file: String,
    /// The line of the file on which the rule starts, counted from 1.
    pub line: u32,
    /// Whether the rule is a requirement or a preference.
    pub strength: Strength,
    /// Orders the preferences of one depth: the one with the higher priority is applied first.
    pub priority: i32,
    /// The number of namespaces above the rule's own namespace.
    pub depth: u32,
    /// The requests that the rule applies to.
    pub on: Selector,
    /// What the rule demands.
    pub kind: RuleKind,
}

/// Whether a rule must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strength {
    /// The rule always holds.
    #[serde(rename = "must")]
    Requirement,
    /// The rule orders the choices that the requirements allow.
    #[serde(rename = "wish")]
    Preference,
}

/// The requests that a rule applies to. An empty set matches any value. A request without a tenant or a group is matched only
/// by a selector whose set of tenants or groups is empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Selector {
    /// The tenants to match.
    pub tenants: BTreeSet<String>,
    /// The classes to match.
    pub classes: BTreeSet<String>,
    /// The score groups to match, as sorted and disjoint ranges.
    pub groups: Vec<GroupRange>,
}

impl Selector {
    /// Whether the selector matches the request.
    pub fn matches(&self, request: &Request) -> bool {
        (self.tenants.is_empty() || request.tenant.is_some_and(|tenant| self.tenants.contains(tenant)))
            && (self.classes.is_empty() || self.classes.contains(request.class))
            && (self.groups.is_empty() || request.group.is_some_and(|group| self.has_group(group)))
    }

    fn has_group(&self, group: u64) -> bool {
        let next = self.groups.partition_point(|range| range.first <= group);
        next > 0 && group <= self.groups[next - 1].last
    }
}

/// An inclusive range of score groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupRange {
    /// The first group.
    pub first: u64,
    /// The last group; never less than `first`.
    pub last: u64,
}

/// What a rule demands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RuleKind {
    /// Which nodes a request may go to. The rule selects a node if `halls` is empty or contains the node's hall, and `hardware`
    /// is empty or contains the node's hardware class.
    Place {
        /// Whether the selected nodes are required, avoided or preferred.
        how: PlacementMode,
        /// The halls of the selected nodes; empty for any hall.
        halls: BTreeSet<String>,
        /// The hardware classes of the selected nodes; empty for any class.
        hardware: BTreeSet<String>,
    },
    /// Limits the established connections of the whole fleet to the selected nodes. Nodes are selected as in
    /// [`RuleKind::Place`].
    Cap {
        /// The maximum number of connections.
        connections: u64,
        /// The halls of the selected nodes; empty for any hall.
        halls: BTreeSet<String>,
        /// The hardware classes of the selected nodes; empty for any class.
        hardware: BTreeSet<String>,
    },
    /// Limits the number of nodes that hold connections of one score group.
    Spread {
        /// The maximum number of nodes.
        nodes: u32,
    },
    /// Limits the rate of connection set-ups over the whole fleet.
    Pace {
        /// The maximum rate, in thousandths of a set-up per second.
        per_s_milli: u64,
    },
    /// Limits the attempts at a request. The class of the request may allow fewer.
    Attempts {
        /// The maximum number of attempts.
        most: u32,
    },
    /// Restricts when a connection may be moved.
    Move {
        /// The condition for a move.
        when: MoveCondition,
    },
}

/// How a placement treats the nodes that it selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementMode {
    /// Only selected nodes are allowed.
    Require,
    /// Selected nodes are not allowed or, in a preference, come after the others.
    Avoid,
    /// Selected nodes come before the others.
    Prefer,
}

/// When a connection may be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveCondition {
    /// The connection is moved after all others.
    Last,
    /// The connection is moved only when its node drains.
    DrainsOnly,
}

/// The properties of a request that rules match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request<'a> {
    /// The tenant of the request, if the request names one.
    pub tenant: Option<&'a str>,
    /// The class of the request.
    pub class: &'a str,
    /// The score group of the request, if it belongs to one.
    pub group: Option<u64>,
}

/// The properties of a node that rules match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node<'a> {
    /// The hall that the node is in.
    pub hall: &'a str,
    /// The hardware class of the node.
    pub hardware: &'a str,
}

/// Whether these halls and hardware classes select the node. An empty set selects any.
pub fn selects_node(halls: &BTreeSet<String>, hardware: &BTreeSet<String>, node: &Node) -> bool {
    (halls.is_empty() || halls.contains(node.hall))
        && (hardware.is_empty() || hardware.contains(node.hardware))
}

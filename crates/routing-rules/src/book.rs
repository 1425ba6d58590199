//! The merged book: what the rest of the program reads of the rules.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// One merged book. Owners are sorted by path, rules by (namespace, name); it serialises to the same bytes for the same set
/// of files.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Book {
    /// The namespaces that are in force, by path.
    pub namespaces: Vec<Owner>,
    /// Their rules, by (namespace, name).
    pub rules: Vec<Rule>,
}

/// A namespace that is in force, and its policy while the version in force is uncertain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The namespace's path, such as `consortium/house-a/team`.
    pub path: String,
    /// The revision that is in force.
    pub revision: u64,
    /// What happens to its requests while the version in force is uncertain.
    #[serde(rename = "on_doubt")]
    pub uncertainty_policy: UncertaintyPolicy,
}

/// What happens to requests under a namespace's requirements while the version in force is uncertain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UncertaintyPolicy {
    /// They are rejected, with a Retry-After.
    Refuse {
        /// The Retry-After of a rejected client, in milliseconds.
        retry_ms: u32,
    },
    /// They follow the last known version.
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
    /// The file that the rule stands in.
    pub file: String,
    /// The line of the file that the rule starts on, from 1.
    pub line: u32,
    /// Whether it is required.
    pub strength: Strength,
    /// Which of two preferences of one depth goes first: the higher.
    pub priority: i32,
    /// How many namespaces stand above its own.
    pub depth: u32,
    /// The requests that it applies to.
    pub on: Selector,
    /// What it asks for.
    pub kind: RuleKind,
}

/// Whether a rule must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strength {
    /// It always holds.
    #[serde(rename = "must")]
    Requirement,
    /// It orders what the requirements allow.
    #[serde(rename = "wish")]
    Preference,
}

/// The requests that a rule applies to. An empty set means any; a request without a tenant or a group matches only an empty set
/// there.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Selector {
    /// The tenants.
    pub tenants: BTreeSet<String>,
    /// The classes.
    pub classes: BTreeSet<String>,
    /// The score groups: sorted, disjoint.
    pub groups: Vec<GroupRange>,
}

impl Selector {
    /// Whether the rule applies to this request.
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

/// Score groups from the first to the last, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupRange {
    /// The first group.
    pub first: u64,
    /// The last group, not before the first.
    pub last: u64,
}

/// What a rule asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RuleKind {
    /// Which nodes a request may go to. A node is meant if the halls are empty or have its hall, and the hardware classes
    /// are empty or have its class.
    Place {
        /// How the nodes are meant.
        how: PlacementMode,
        /// The halls.
        halls: BTreeSet<String>,
        /// The hardware classes.
        hardware: BTreeSet<String>,
    },
    /// Most established connections over the whole fleet, on the nodes meant as in [`RuleKind::Place`].
    Cap {
        /// Most connections.
        connections: u64,
        /// The halls.
        halls: BTreeSet<String>,
        /// The hardware classes.
        hardware: BTreeSet<String>,
    },
    /// A group's connections are on at most so many nodes.
    Spread {
        /// Most nodes.
        nodes: u32,
    },
    /// Most set-ups a second over the whole fleet, in thousandths.
    Pace {
        /// Thousandths of a set-up a second.
        per_s_milli: u64,
    },
    /// Most attempts at a request; never more than its class allows.
    Attempts {
        /// Most attempts.
        most: u32,
    },
    /// When a connection may be moved.
    Move {
        /// When.
        when: MoveCondition,
    },
}

/// How a placement means its nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementMode {
    /// Only the nodes meant.
    Require,
    /// Any but the nodes meant.
    Avoid,
    /// The nodes meant before others.
    Prefer,
}

/// When a connection may be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveCondition {
    /// After the others.
    Last,
    /// Only when its node drains.
    DrainsOnly,
}

/// A request, as rules see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request<'a> {
    /// The tenant that it is for, if it names one.
    pub tenant: Option<&'a str>,
    /// Its class.
    pub class: &'a str,
    /// The score group that it belongs to, if any.
    pub group: Option<u64>,
}

/// A node, as rules see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node<'a> {
    /// The hall that it stands in.
    pub hall: &'a str,
    /// Its hardware class.
    pub hardware: &'a str,
}

/// Whether a node is meant by these halls and hardware classes.
pub fn selects_node(halls: &BTreeSet<String>, hardware: &BTreeSet<String>, node: &Node) -> bool {
    (halls.is_empty() || halls.contains(node.hall))
        && (hardware.is_empty() || hardware.contains(node.hardware))
}

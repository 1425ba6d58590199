//! The encoded part of a plan: the compiled rules, and the limits on their number and size.
//!
//! The bytes are hashed and voted on. The order of fields and variants is part of the format; their names are not.

use std::collections::BTreeSet;

use cottonnotch_routing_rules::{MoveCondition, Node, Selector, UncertaintyPolicy, selects_node};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::bounded_list::bounded_list;

/// The version of the encoding.
pub const FORMAT: u16 = 1;
/// The highest level of compiled forms that this build runs. Level 1 has placements, caps, spreads, paces, attempts, moves
/// and preferences. Level 2 adds spreads that are counted on some classes and moves that are stricter on some classes.
pub const LEVEL: u16 = 2;
/// The maximum size of an encoded plan, in bytes.
pub const MAX_BYTES: usize = 8 << 20;
/// The maximum number of rules in a plan.
pub(crate) const MAX_RULES: usize = 1 << 16;
/// The maximum number of pairs of a hall and a hardware class, including the entries for unlisted halls and classes.
pub(crate) const MAX_PAIRS: usize = 1 << 16;
/// The maximum number of hardware classes in a plan.
pub(crate) const MAX_HARDWARE: usize = 255;

/// Why a plan can't be built or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The plan exceeds [`MAX_BYTES`] or the limit on rules, intervals, halls or classes.
    #[error("the plan is too large: {0}")]
    TooLarge(&'static str),
    /// The plan has another format than [`FORMAT`].
    #[error("the plan is of format {0}, and this build reads {FORMAT}")]
    Format(u16),
    /// The plan needs a level above [`LEVEL`], and so a newer build.
    #[error("the plan needs level {0}, and this build runs {LEVEL}")]
    Needs(u16),
    /// The bytes don't decode to a plan.
    #[error("the plan can't be decoded")]
    Decode,
    /// The plan isn't in the canonical form that [`compile`](crate::compile()) makes.
    #[error("the plan isn't in its canonical form: {0}")]
    Canonical(&'static str),
}

/// A set of nodes, selected by hall and hardware class. A node must match both.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeSet {
    /// The halls; an empty set matches any hall.
    pub halls: BTreeSet<String>,
    /// The hardware classes; an empty set matches any class.
    pub hardware: BTreeSet<String>,
}

impl NodeSet {
    /// Whether the set contains a node.
    pub fn contains(&self, node: &Node) -> bool {
        selects_node(&self.halls, &self.hardware, node)
    }
}

/// The form in which a rule runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum CompiledForm {
    Require(NodeSet),
    Avoid(NodeSet),
    Cap {
        connections: u64,
        nodes: NodeSet,
    },
    /// Bounds the nodes of a group, and on the classes in `counted` the connections of a group instead.
    Spread {
        nodes: u32,
        counted: Option<Counted>,
    },
    Pace(u64),
    Attempts(u32),
    /// Restricts moving connections to `when`, and on the classes in `drains_only` to nodes that drain.
    Move {
        when: MoveCondition,
        drains_only: Vec<u16>,
    },
    /// Allows no node. Used when the requirements don't fit into a plan.
    RejectAll,
    Preference {
        avoid: bool,
        nodes: NodeSet,
    },
    MovePreference(MoveCondition),
}

/// The bound on a group's connections that replaces a spread on classes that keep no groups.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Counted {
    pub connections: u32,
    /// The nodes of those classes. The set of classes is never empty.
    pub nodes: NodeSet,
}

impl CompiledForm {
    pub(crate) fn is_preference(&self) -> bool {
        matches!(self, Self::Preference { .. } | Self::MovePreference(_))
    }

    /// The maximum number of attempts, if the rule bounds attempts.
    pub(crate) fn attempts(&self) -> Option<u32> {
        match self {
            Self::Attempts(most) => Some(*most),
            _ => None,
        }
    }

    /// The maximum number of nodes of a group, if the rule bounds it.
    pub(crate) fn spread(&self) -> Option<u32> {
        match self {
            Self::Spread { nodes, .. } => Some(*nodes),
            _ => None,
        }
    }

    pub(crate) fn is_counted_spread(&self) -> bool {
        matches!(self, Self::Spread { counted: Some(_), .. })
    }

    /// Whether the rule bounds established connections.
    pub(crate) fn is_connection_limit(&self) -> bool {
        matches!(self, Self::Cap { .. }) || self.is_counted_spread()
    }

    /// Whether the rule says when connections may be moved.
    pub(crate) fn is_move(&self) -> bool {
        matches!(self, Self::Move { .. } | Self::MovePreference(_))
    }

    /// The lowest [`LEVEL`] that a build must support to run the rule.
    pub(crate) fn needs(&self) -> u16 {
        match self {
            Self::Spread { counted: Some(_), .. } => 2,
            Self::Move { drains_only, .. } if !drains_only.is_empty() => 2,
            _ => 1,
        }
    }

    /// The nodes that the rule selects, if it selects nodes.
    pub(crate) fn nodes(&self) -> Option<&NodeSet> {
        match self {
            Self::Require(nodes) | Self::Avoid(nodes) => Some(nodes),
            Self::Cap { nodes, .. } | Self::Preference { nodes, .. } => Some(nodes),
            Self::Spread { counted, .. } => counted.as_ref().map(|counted| &counted.nodes),
            _ => None,
        }
    }
}

/// A compiled rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct CompiledRule {
    pub namespace: String,
    pub name: String,
    pub depth: u32,
    pub priority: i32,
    pub on: Selector,
    pub uncertainty_policy: UncertaintyPolicy,
    pub form: CompiledForm,
    /// The excluded classes, by index in the plan's list. A requirement rejects their nodes for the requests that it
    /// matches; a preference doesn't order their nodes. The index after the last one stands for all unlisted classes.
    pub out: Vec<u16>,
}

/// The encoded content of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    pub format: u16,
    pub needs: u16,
    /// The listed hardware classes: those that have a profile or that a rule names.
    #[serde(deserialize_with = "bounded_list::<_, _, MAX_HARDWARE>")]
    pub hardware: Vec<String>,
    #[serde(deserialize_with = "bounded_list::<_, _, MAX_RULES>")]
    pub rules: Vec<CompiledRule>,
}

/// Encodes a body.
pub(crate) fn encode(body: &Body) -> Vec<u8> {
    // Serializing a body can't fail. If it did, the empty bytes would be rejected as a plan.
    postcard::to_allocvec(body).unwrap_or_default()
}

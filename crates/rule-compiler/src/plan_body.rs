//! What a plan's bytes hold: the rules in the forms in which they run, and the bounds on them.
//!
//! The bytes are hashed and voted on: the order of fields and variants is part of the format, their names are not.

use std::collections::BTreeSet;

use cottonnotch_routing_rules::{MoveCondition, Node, Selector, UncertaintyPolicy, selects_node};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::bounded_list::bounded_list;

/// The encoding's version.
pub const FORMAT: u16 = 1;
/// The highest level of forms that this build runs. 1: placements, caps, spreads, paces, attempts, moves and preferences. 2: a
/// spread that is counted on some classes, a move that is stricter on some.
pub const LEVEL: u16 = 2;
/// Most bytes of a plan.
pub const MAX_BYTES: usize = 8 << 20;
/// Most rules of a plan.
pub(crate) const MAX_RULES: usize = 1 << 16;
/// Most pairs of a hall and a hardware class, the others included.
pub(crate) const MAX_PAIRS: usize = 1 << 16;
/// Most hardware classes.
pub(crate) const MAX_HARDWARE: usize = 255;

/// Why bytes are no plan that this build runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// More than [`MAX_BYTES`], or too many rules, intervals, halls or classes.
    #[error("the plan is too large: {0}")]
    TooLarge(&'static str),
    /// Another format.
    #[error("the plan is of format {0}, and this build reads {FORMAT}")]
    Format(u16),
    /// It needs a newer build.
    #[error("the plan needs level {0}, and this build runs {LEVEL}")]
    Needs(u16),
    /// Not the encoding of anything.
    #[error("the plan can't be decoded")]
    Decode,
    /// Not as [`compile`](crate::compile()) makes it.
    #[error("the plan isn't in its canonical form: {0}")]
    Canonical(&'static str),
}

/// A set of nodes: those whose hall is among the halls, if there are any, and whose class is among the classes, if there are
/// any.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeSet {
    /// The halls; none means any.
    pub halls: BTreeSet<String>,
    /// The hardware classes; none means any.
    pub hardware: BTreeSet<String>,
}

impl NodeSet {
    /// Whether a node is of the set.
    pub fn contains(&self, node: &Node) -> bool {
        selects_node(&self.halls, &self.hardware, node)
    }
}

/// What a rule became.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum CompiledForm {
    Require(NodeSet),
    Avoid(NodeSet),
    Cap {
        connections: u64,
        nodes: NodeSet,
    },
    /// On these classes, as many connections of a group at most.
    Spread {
        nodes: u32,
        counted: Option<Counted>,
    },
    Pace(u64),
    Attempts(u32),
    /// On these classes, only when the node drains.
    Move {
        when: MoveCondition,
        drains_only: Vec<u16>,
    },
    /// No node at all: what couldn't be put into a plan.
    RejectAll,
    Preference {
        avoid: bool,
        nodes: NodeSet,
    },
    MovePreference(MoveCondition),
}

/// What stands for a spread where a class keeps no groups.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Counted {
    pub connections: u32,
    /// The classes, as a set of nodes; never empty.
    pub nodes: NodeSet,
}

impl CompiledForm {
    pub(crate) fn is_preference(&self) -> bool {
        matches!(self, Self::Preference { .. } | Self::MovePreference(_))
    }

    /// Most attempts that it allows, if it bounds them.
    pub(crate) fn attempts(&self) -> Option<u32> {
        match self {
            Self::Attempts(most) => Some(*most),
            _ => None,
        }
    }

    /// Most nodes that it allows a group, if it bounds them.
    pub(crate) fn spread(&self) -> Option<u32> {
        match self {
            Self::Spread { nodes, .. } => Some(*nodes),
            _ => None,
        }
    }

    pub(crate) fn is_counted_spread(&self) -> bool {
        matches!(self, Self::Spread { counted: Some(_), .. })
    }

    /// It bounds established connections.
    pub(crate) fn is_connection_limit(&self) -> bool {
        matches!(self, Self::Cap { .. }) || self.is_counted_spread()
    }

    /// It says when connections may be migrated.
    pub(crate) fn is_move(&self) -> bool {
        matches!(self, Self::Move { .. } | Self::MovePreference(_))
    }

    /// The level of forms that a build must run to act on it.
    pub(crate) fn needs(&self) -> u16 {
        match self {
            Self::Spread { counted: Some(_), .. } => 2,
            Self::Move { drains_only, .. } if !drains_only.is_empty() => 2,
            _ => 1,
        }
    }

    /// The nodes that it names.
    pub(crate) fn nodes(&self) -> Option<&NodeSet> {
        match self {
            Self::Require(nodes) | Self::Avoid(nodes) => Some(nodes),
            Self::Cap { nodes, .. } | Self::Preference { nodes, .. } => Some(nodes),
            Self::Spread { counted, .. } => counted.as_ref().map(|counted| &counted.nodes),
            _ => None,
        }
    }
}

/// A rule as it runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct CompiledRule {
    pub namespace: String,
    pub name: String,
    pub depth: u32,
    pub priority: i32,
    pub on: Selector,
    pub uncertainty_policy: UncertaintyPolicy,
    pub form: CompiledForm,
    /// The classes, by their place in the plan's list, that a requirement takes out of its requests' candidates, or that a preference
    /// doesn't order. The place after the last is every other class.
    pub out: Vec<u16>,
}

/// What is encoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    pub format: u16,
    pub needs: u16,
    /// The classes that have a profile or that a rule names.
    #[serde(deserialize_with = "bounded_list::<_, _, MAX_HARDWARE>")]
    pub hardware: Vec<String>,
    #[serde(deserialize_with = "bounded_list::<_, _, MAX_RULES>")]
    pub rules: Vec<CompiledRule>,
}

/// The one encoding of a body.
pub(crate) fn encode(body: &Body) -> Vec<u8> {
    // Nothing in a body fails to serialise; were it so, the empty bytes would be no plan for anybody.
    postcard::to_allocvec(body).unwrap_or_default()
}

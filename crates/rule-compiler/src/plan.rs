//! The plan: what of a book runs how on which class, with one encoding and its hash.

use std::collections::BTreeSet;
use std::fmt;

use cottonnotch_routing_rules::{MoveCondition, Node, Request, Selector, UncertaintyPolicy, selects_node};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::{check, few, needs};
use crate::index::Index;
use crate::look::{Look, NodeKey};

/// The encoding's version.
pub const FORMAT: u16 = 1;
/// The highest level of forms that this build runs. 1: placements, caps, spreads, paces, attempts, moves and wishes. 2: a
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
pub enum BadPlan {
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
    /// Not as [`lower`](crate::lower()) makes it.
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
pub(crate) enum Form {
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
    Shut,
    Wish {
        avoid: bool,
        nodes: NodeSet,
    },
    WishMove(MoveCondition),
}

/// What stands for a spread where a class keeps no groups.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Counted {
    pub connections: u32,
    /// The classes, as a set of nodes; never empty.
    pub nodes: NodeSet,
}

impl Form {
    pub(crate) fn is_wish(&self) -> bool {
        matches!(self, Self::Wish { .. } | Self::WishMove(_))
    }

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
            Self::Cap { nodes, .. } | Self::Wish { nodes, .. } => Some(nodes),
            Self::Spread { counted, .. } => counted.as_ref().map(|counted| &counted.nodes),
            _ => None,
        }
    }
}

/// A rule as it runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Lowrule {
    pub namespace: String,
    pub name: String,
    pub depth: u32,
    pub priority: i32,
    pub on: Selector,
    pub on_doubt: UncertaintyPolicy,
    pub form: Form,
    /// The classes, by their place in the plan's list, that a must takes out of its requests' candidates, or that a wish
    /// doesn't order. The place after the last is every other class.
    pub out: Vec<u16>,
}

/// What is encoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    pub format: u16,
    pub needs: u16,
    /// The classes that have a profile or that a rule names.
    #[serde(deserialize_with = "few::<_, _, MAX_HARDWARE>")]
    pub hardware: Vec<String>,
    #[serde(deserialize_with = "few::<_, _, MAX_RULES>")]
    pub rules: Vec<Lowrule>,
}

/// What the rules say of each request, on the classes that the operator states. Immutable; known by its hash.
pub struct Plan {
    pub(crate) body: Body,
    pub(crate) index: Index,
    hash: [u8; 32],
}

impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hash = blake3::Hash::from_bytes(self.hash);
        f.debug_struct("Plan").field("hash", &hash.to_hex()).field("rules", &self.body.rules.len()).finish()
    }
}

impl PartialEq for Plan {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

impl Eq for Plan {}

impl Plan {
    /// From what [`lower`](crate::lower()) found; the rules needn't be sorted.
    pub(crate) fn new(hardware: Vec<String>, mut rules: Vec<Lowrule>) -> Result<Self, BadPlan> {
        rules.sort();
        let body = Body { format: FORMAT, needs: needs(&rules), hardware, rules };
        let bytes = encode(&body);
        Self::build(body, &bytes)
    }

    fn build(body: Body, bytes: &[u8]) -> Result<Self, BadPlan> {
        if bytes.len() > MAX_BYTES {
            return Err(BadPlan::TooLarge("bytes"));
        }
        if body.rules.len() > MAX_RULES {
            return Err(BadPlan::TooLarge("rules"));
        }
        if body.hardware.len() > MAX_HARDWARE {
            return Err(BadPlan::TooLarge("hardware classes"));
        }
        check(&body)?;
        let index = Index::new(&body)?;
        Ok(Self { body, index, hash: *blake3::hash(bytes).as_bytes() })
    }

    /// The hash of its bytes.
    pub fn hash(&self) -> [u8; 32] {
        self.hash
    }

    /// Its one encoding.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(&self.body)
    }

    /// The plan that these bytes are the encoding of.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BadPlan> {
        if bytes.len() > MAX_BYTES {
            return Err(BadPlan::TooLarge("bytes"));
        }
        // Another format may be laid out in another way from here on, so these two are looked at before the rest.
        let ((format, needs), _) =
            postcard::take_from_bytes::<(u16, u16)>(bytes).map_err(|_| BadPlan::Decode)?;
        if format != FORMAT {
            return Err(BadPlan::Format(format));
        }
        if needs > LEVEL {
            return Err(BadPlan::Needs(needs));
        }
        let body: Body = postcard::from_bytes(bytes).map_err(|_| BadPlan::Decode)?;
        if encode(&body) != bytes {
            return Err(BadPlan::Canonical("encoding"));
        }
        Self::build(body, bytes)
    }

    /// The level of forms that a build must run to act on it.
    pub fn needs(&self) -> u16 {
        self.body.needs
    }

    /// How many rules it has.
    pub fn rules(&self) -> usize {
        self.body.rules.len()
    }

    /// What it says of a request.
    pub fn look(&self, request: &Request) -> Look<'_> {
        Look::new(self, request)
    }

    /// Finds a node's hall and class once, for looks at the same plan.
    pub fn node_key(&self, node: &Node) -> NodeKey {
        NodeKey(self.index.pair(node))
    }

    /// About how many bytes it takes in memory besides the rules themselves.
    pub fn index_bytes(&self) -> usize {
        self.index.bytes()
    }
}

fn encode(body: &Body) -> Vec<u8> {
    // Nothing in a body fails to serialise; were it so, the empty bytes would be no plan for anybody.
    postcard::to_allocvec(body).unwrap_or_default()
}

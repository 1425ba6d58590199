//! Sets of the inventory's kinds of node, as bits.

use crate::book::{PlacementMode, RuleKind, Strength, selects_node};
use crate::inventory::Inventory;

/// A set of the inventory's kinds of node, by their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NodeKindSet(Vec<u64>);

impl NodeKindSet {
    /// All kinds of node.
    pub fn all(inventory: &Inventory) -> NodeKindSet {
        NodeKindSet::of(inventory, |_| true)
    }

    pub fn of(inventory: &Inventory, mut has: impl FnMut(&crate::book::Node) -> bool) -> NodeKindSet {
        let mut mask = NodeKindSet(vec![0; inventory.nodes.len().div_ceil(64)]);
        for (at, node) in inventory.nodes().enumerate() {
            mask.0[at / 64] |= u64::from(has(&node)) << (at % 64);
        }
        mask
    }

    /// The nodes that satisfy a placement: those meant, or those not meant if it avoids.
    pub fn satisfying(inventory: &Inventory, kind: &RuleKind) -> Option<NodeKindSet> {
        let RuleKind::Place { how, halls, hardware } = kind else { return None };
        Some(NodeKindSet::of(inventory, |node| {
            selects_node(halls, hardware, node) != (*how == PlacementMode::Avoid)
        }))
    }

    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    pub fn and(&mut self, other: &NodeKindSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(a, b)| *a &= b);
    }

    pub fn without(&mut self, other: &NodeKindSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(a, b)| *a &= !b);
    }

    pub fn first(&self) -> Option<usize> {
        let at = self.0.iter().position(|word| *word != 0)?;
        Some(at * 64 + self.0[at].trailing_zeros() as usize)
    }
}

/// Whether a rule's strength is must.
pub(crate) fn is_requirement(strength: Strength) -> bool {
    strength == Strength::Requirement
}

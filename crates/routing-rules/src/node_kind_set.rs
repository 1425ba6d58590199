//! Bit sets of the inventory's kinds of node.

use crate::book::{PlacementMode, RuleKind, Strength, selects_node};
use crate::inventory::Inventory;

/// A set of the inventory's kinds of node. Bit n stands for the n-th kind in the inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NodeKindSet(Vec<u64>);

impl NodeKindSet {
    /// The set of all kinds of node.
    pub fn all(inventory: &Inventory) -> NodeKindSet {
        NodeKindSet::of(inventory, |_| true)
    }

    /// The set of the kinds of node for which `has` returns true.
    pub fn of(inventory: &Inventory, mut has: impl FnMut(&crate::book::Node) -> bool) -> NodeKindSet {
        let mut mask = NodeKindSet(vec![0; inventory.nodes.len().div_ceil(64)]);
        for (at, node) in inventory.nodes().enumerate() {
            mask.0[at / 64] |= u64::from(has(&node)) << (at % 64);
        }
        mask
    }

    /// The kinds of node that satisfy a placement: the selected ones or, for `Avoid`, all others. `None` for other rule kinds.
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

/// Whether the strength is [`Strength::Requirement`].
pub(crate) fn is_requirement(strength: Strength) -> bool {
    strength == Strength::Requirement
}

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

    /// The set of the kinds of node for which `contains` returns true.
    pub fn of(inventory: &Inventory, mut contains: impl FnMut(&crate::book::Node) -> bool) -> NodeKindSet {
        let mut set = NodeKindSet(vec![0; inventory.nodes.len().div_ceil(64)]);
        for (index, node) in inventory.nodes().enumerate() {
            set.0[index / 64] |= u64::from(contains(&node)) << (index % 64);
        }
        set
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

    /// Keeps only the kinds of node that are also in `other`.
    pub fn intersect(&mut self, other: &NodeKindSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(a, b)| *a &= b);
    }

    /// Removes the kinds of node that are in `other`.
    pub fn subtract(&mut self, other: &NodeKindSet) {
        self.0.iter_mut().zip(&other.0).for_each(|(a, b)| *a &= !b);
    }

    /// The index of the first kind of node in the set.
    pub fn first(&self) -> Option<usize> {
        let index = self.0.iter().position(|word| *word != 0)?;
        Some(index * 64 + self.0[index].trailing_zeros() as usize)
    }
}

/// Whether the strength is [`Strength::Requirement`].
pub(crate) fn is_requirement(strength: Strength) -> bool {
    strength == Strength::Requirement
}

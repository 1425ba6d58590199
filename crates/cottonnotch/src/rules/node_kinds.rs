//! The render nodes, grouped by kind: hall and hardware class. A fleet has few kinds, so rules are evaluated for each kind
//! instead of each node. The set of nodes of given kinds is cached until the next update of the endpoint list.

use cottonnotch_decision::names::hash_to_unit;
use cottonnotch_decision::{Entry, ServerId, ServerSet, ServerState};
use std::collections::HashMap;
use std::sync::Arc;

/// A kind of render node: a hall and a hardware class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeKind {
    /// The hall, from the field `locality` of discovery.
    pub hall: Box<str>,
    /// The hardware class, from the field `flavor` of discovery.
    pub hardware: Box<str>,
}

/// A set of kinds, as a bit set over their indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct NodeKindSet(Vec<u64>);

impl NodeKindSet {
    /// The set of those kinds below `count` for which `contains` returns true.
    pub fn from_fn(count: usize, mut contains: impl FnMut(usize) -> bool) -> Self {
        let mut words = vec![0_u64; count.div_ceil(64)];
        for kind in 0..count {
            if contains(kind) {
                words[kind / 64] |= 1 << (kind % 64);
            }
        }
        NodeKindSet(words)
    }

    /// Whether the kind is in the set.
    pub fn contains(&self, kind: usize) -> bool {
        self.0.get(kind / 64).is_some_and(|word| word >> (kind % 64) & 1 == 1)
    }
}

#[derive(Clone, Debug)]
struct Node {
    kind: u16,
    /// Whether the node accepts new connections, according to the endpoint list.
    is_ready: bool,
    digest: u64,
    weight: f64,
}

/// All render nodes that were ever in an endpoint list, with their kinds. Nodes and kinds are never removed.
#[derive(Debug, Default)]
pub struct RenderNodes {
    nodes: Vec<Option<Node>>,
    kinds: Vec<NodeKind>,
    /// The number of ready nodes of each kind.
    ready_counts: Vec<usize>,
    node_sets: HashMap<NodeKindSet, Arc<ServerSet>>,
}

impl RenderNodes {
    /// Updates the nodes from an endpoint list. A `full` list replaces the previous one. `kind_of` returns the kind of a node.
    pub fn update(&mut self, full: bool, entries: &[Entry], kind_of: impl Fn(ServerId) -> NodeKind) {
        if full {
            self.nodes.iter_mut().flatten().for_each(|node| node.is_ready = false);
        }
        for entry in entries {
            let index = entry.server.0 as usize;
            if self.nodes.len() <= index {
                self.nodes.resize(index + 1, None);
            }
            let kind = self.intern(kind_of(entry.server));
            let is_ready = entry.state == ServerState::Ready;
            let weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
            self.nodes[index] = Some(Node { kind, is_ready, digest: entry.digest, weight });
        }
        self.node_sets.clear();
        self.ready_counts = vec![0; self.kinds.len()];
        for node in self.nodes.iter().flatten().filter(|node| node.is_ready) {
            self.ready_counts[usize::from(node.kind)] += 1;
        }
    }

    fn intern(&mut self, kind: NodeKind) -> u16 {
        let existing = self.kinds.iter().position(|existing| *existing == kind);
        let index = existing.unwrap_or_else(|| {
            self.kinds.push(kind);
            self.kinds.len() - 1
        });
        // No fleet has more than 65,536 kinds. If one had, the excess kinds would share the last index.
        u16::try_from(index).unwrap_or(u16::MAX)
    }

    /// All kinds, by index.
    pub fn kinds(&self) -> &[NodeKind] {
        &self.kinds
    }

    /// Whether at least one node of the kind accepts new connections.
    pub fn is_ready(&self, kind: usize) -> bool {
        self.ready_counts.get(kind).is_some_and(|count| *count > 0)
    }

    /// The kind index of a node; `None` if the node was never listed.
    pub fn kind(&self, server: ServerId) -> Option<usize> {
        let node = self.nodes.get(server.0 as usize)?.as_ref()?;
        Some(usize::from(node.kind))
    }

    /// The set of all nodes of these kinds, whether or not they are ready.
    pub fn node_set(&mut self, kinds: &NodeKindSet) -> Arc<ServerSet> {
        if let Some(set) = self.node_sets.get(kinds) {
            return Arc::clone(set);
        }
        let numbered = (0..).map(ServerId).zip(&self.nodes);
        let of_kind = |node: &Node| kinds.contains(usize::from(node.kind));
        let selected = numbered.filter(|(_, node)| node.as_ref().is_some_and(of_kind));
        let set: Arc<ServerSet> = Arc::new(selected.map(|(server, _)| server).collect());
        self.node_sets.insert(kinds.clone(), Arc::clone(&set));
        set
    }

    /// The group's first `size` ready nodes of these kinds by weighted rendezvous hashing. All proxies with the same endpoint
    /// list compute the same subset. The order equals that of the decision module's affinity subsets.
    pub fn affinity_subset(&self, kinds: &NodeKindSet, group: u64, size: usize) -> ServerSet {
        let rank = |node: &Node| {
            hash_to_unit(node.digest ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15)).powf(1.0 / node.weight)
        };
        let numbered = (0..).map(ServerId).zip(&self.nodes);
        let mut order: Vec<(f64, ServerId)> = numbered
            .filter_map(|(server, node)| Some((server, node.as_ref()?)))
            .filter(|(_, node)| node.is_ready && kinds.contains(usize::from(node.kind)))
            .map(|(server, node)| (rank(node), server))
            .collect();
        order.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.into_iter().take(size).map(|(_, server)| server).collect()
    }
}

#[cfg(test)]
#[path = "node_kinds_tests.rs"]
mod tests;

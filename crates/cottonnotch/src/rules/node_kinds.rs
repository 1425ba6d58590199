//! The render nodes by kind: hall and hardware class. There are few kinds. Rules are evaluated by kind; the set of nodes of some
//! kinds is built once for each endpoint list.

use cottonnotch_decision::names::unit;
use cottonnotch_decision::{Entry, ServerId, ServerSet, ServerState};
use std::collections::HashMap;
use std::sync::Arc;

/// A hall and a hardware class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeKind {
    /// The hall: discovery's `locality`.
    pub hall: Box<str>,
    /// The hardware class: discovery's `flavor`.
    pub hardware: Box<str>,
}

/// A set of kinds, a bit each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct NodeKindSet(Vec<u64>);

impl NodeKindSet {
    /// The kinds below `count` for which `contains`.
    pub fn of(count: usize, mut contains: impl FnMut(usize) -> bool) -> Self {
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
    /// It accepts new connections, as far as the list says.
    is_ready: bool,
    digest: u64,
    weight: f64,
}

/// The render nodes that were ever listed, by kind. Grows with them.
#[derive(Debug, Default)]
pub struct RenderNodes {
    nodes: Vec<Option<Node>>,
    kinds: Vec<NodeKind>,
    /// Ready nodes of each kind.
    ready: Vec<usize>,
    sets: HashMap<NodeKindSet, Arc<ServerSet>>,
}

impl RenderNodes {
    /// Updates the listed nodes; a `full` list replaces the one before. `kind_of` gives each node's kind.
    pub fn update(&mut self, full: bool, entries: &[Entry], kind_of: impl Fn(ServerId) -> NodeKind) {
        if full {
            self.nodes.iter_mut().flatten().for_each(|node| node.is_ready = false);
        }
        for entry in entries {
            let place = entry.server.0 as usize;
            if self.nodes.len() <= place {
                self.nodes.resize(place + 1, None);
            }
            let kind = self.intern(kind_of(entry.server));
            let is_ready = entry.state == ServerState::Ready;
            let weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
            self.nodes[place] = Some(Node { kind, is_ready, digest: entry.digest, weight });
        }
        self.sets.clear();
        self.ready = vec![0; self.kinds.len()];
        for node in self.nodes.iter().flatten().filter(|node| node.is_ready) {
            self.ready[usize::from(node.kind)] += 1;
        }
    }

    fn intern(&mut self, kind: NodeKind) -> u16 {
        let known = self.kinds.iter().position(|known| *known == kind);
        let place = known.unwrap_or_else(|| {
            self.kinds.push(kind);
            self.kinds.len() - 1
        });
        // Nobody has so many halls and classes; beyond, the last number stands for several.
        u16::try_from(place).unwrap_or(u16::MAX)
    }

    /// The kinds, by number.
    pub fn kinds(&self) -> &[NodeKind] {
        &self.kinds
    }

    /// Whether some node of the kind accepts new connections.
    pub fn is_ready(&self, kind: usize) -> bool {
        self.ready.get(kind).is_some_and(|count| *count > 0)
    }

    /// The kind of a node.
    pub fn kind(&self, server: ServerId) -> Option<usize> {
        let node = self.nodes.get(server.0 as usize)?.as_ref()?;
        Some(usize::from(node.kind))
    }

    /// All nodes of these kinds, ready or not.
    pub fn set(&mut self, kinds: &NodeKindSet) -> Arc<ServerSet> {
        if let Some(set) = self.sets.get(kinds) {
            return Arc::clone(set);
        }
        let numbered = (0..).map(ServerId).zip(&self.nodes);
        let of_kind = |node: &Node| kinds.contains(usize::from(node.kind));
        let selected = numbered.filter(|(_, node)| node.as_ref().is_some_and(of_kind));
        let set: Arc<ServerSet> = Arc::new(selected.map(|(server, _)| server).collect());
        self.sets.insert(kinds.clone(), Arc::clone(&set));
        set
    }

    /// The group's first `size` ready nodes of these kinds, by weighted rendezvous hashing: the same at every proxy with the same
    /// list, and the same order as that of the decision module's affinity subsets.
    pub fn affinity_subset(&self, kinds: &NodeKindSet, group: u64, size: usize) -> ServerSet {
        let rank = |node: &Node| {
            unit(node.digest ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15)).powf(1.0 / node.weight)
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

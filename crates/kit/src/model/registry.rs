//! The list of render nodes and its versions.

use crate::plan::Phase;
use crate::plan::{NodeId, Plan};
use crate::time::Micros;
use std::collections::BTreeMap;

/// The revision of the list at the start of a run; any number that is not 0 would do.
pub(crate) const FIRST: u64 = 41;

/// One entry of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// What is known of the node.
    pub phase: Phase,
    /// Its last start, on the run's clock; `None` for one that has run since long ago.
    pub since: Option<Micros>,
    revision: u64,
}

/// A list, or what changed of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The version.
    pub revision: u64,
    /// All nodes are named; one that isn't is gone.
    pub complete: bool,
    /// The entries. Those removed are named too; a complete list is written without them.
    pub entries: Vec<(NodeId, Entry)>,
}

/// The list.
#[derive(Clone, Debug, PartialEq)]
pub struct Registry {
    revision: u64,
    entries: BTreeMap<NodeId, Entry>,
}

impl Registry {
    /// As it is at the start of a run.
    pub fn new(plan: &Plan) -> Self {
        let listed = plan.nodes.iter().zip(0..).filter(|(node, _)| node.from_start);
        let entry = Entry { phase: Phase::Up, since: None, revision: FIRST };
        Registry { revision: FIRST, entries: listed.map(|(_, i)| (NodeId(i), entry)).collect() }
    }

    /// Its version.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a change in.
    pub fn change(&mut self, node: NodeId, phase: Phase, since: Option<Micros>) {
        self.revision += 1;
        self.entries.insert(node, Entry { phase, since, revision: self.revision });
    }

    /// The whole list.
    pub fn whole(&self) -> Update {
        let entries = self.entries.iter().map(|(node, entry)| (*node, *entry)).collect();
        Update { revision: self.revision, complete: true, entries }
    }

    /// What has changed after a revision, eldest first; the whole list if that revision isn't known here.
    pub fn since(&self, revision: u64) -> Update {
        if !(FIRST..=self.revision).contains(&revision) {
            return self.whole();
        }
        let mut entries: Vec<_> = self.entries.iter().map(|(node, entry)| (*node, *entry)).collect();
        entries.retain(|(_, entry)| entry.revision > revision);
        entries.sort_by_key(|(_, entry)| entry.revision);
        Update { revision: self.revision, complete: false, entries }
    }
}

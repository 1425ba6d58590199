//! The endpoint list of discovery and its revisions.

use crate::plan::Phase;
use crate::plan::{NodeId, Plan};
use crate::time::Micros;
use std::collections::BTreeMap;

/// The revision of the list at the start of a run. Any value except 0 would work.
pub(crate) const FIRST_REVISION: u64 = 41;

/// An entry of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The phase of the node.
    pub phase: Phase,
    /// The node's last start, on the run's clock; `None` if the node started before the run.
    pub started: Option<Micros>,
    revision: u64,
}

/// A complete list, or the changes since an earlier revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The revision that this update leads to.
    pub revision: u64,
    /// Whether the update names all nodes. If so, a node that is missing was removed.
    pub complete: bool,
    /// The entries, including removed nodes. A complete list is written without the removed nodes.
    pub entries: Vec<(NodeId, Entry)>,
}

/// The endpoint list with its current revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Registry {
    revision: u64,
    entries: BTreeMap<NodeId, Entry>,
}

impl Registry {
    /// Creates the list as it is at the start of a run.
    pub fn new(plan: &Plan) -> Self {
        let listed = plan.nodes.iter().zip(0..).filter(|(node, _)| node.from_start);
        let entry = Entry { phase: Phase::Up, started: None, revision: FIRST_REVISION };
        Registry { revision: FIRST_REVISION, entries: listed.map(|(_, i)| (NodeId(i), entry)).collect() }
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a change.
    pub fn change(&mut self, node: NodeId, phase: Phase, started: Option<Micros>) {
        self.revision += 1;
        self.entries.insert(node, Entry { phase, started, revision: self.revision });
    }

    /// Returns the complete list.
    pub fn complete_list(&self) -> Update {
        let entries = self.entries.iter().map(|(node, entry)| (*node, *entry)).collect();
        Update { revision: self.revision, complete: true, entries }
    }

    /// Returns the changes after a revision, oldest first, or the complete list if the revision is unknown.
    pub fn changes_since(&self, revision: u64) -> Update {
        if !(FIRST_REVISION..=self.revision).contains(&revision) {
            return self.complete_list();
        }
        let mut entries: Vec<_> = self.entries.iter().map(|(node, entry)| (*node, *entry)).collect();
        entries.retain(|(_, entry)| entry.revision > revision);
        entries.sort_by_key(|(_, entry)| entry.revision);
        Update { revision: self.revision, complete: false, entries }
    }
}

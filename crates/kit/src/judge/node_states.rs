//! Tracks the condition of each render node and its reachability from each proxy.

use crate::observation::{Condition, Seen};
use crate::plan::{NodeId, ProxyId};
use crate::time::Micros;
use std::collections::BTreeMap;

/// State of one render node.
#[derive(Clone, Copy, Debug)]
struct NodeState {
    condition: Condition,
    /// When the node last began or stopped to return lines.
    lines_changed_at: Micros,
    /// Number of process starts and ends. A connection of an earlier generation has ended with its process.
    generation: u32,
    /// When the generation last changed; `None` in the first generation.
    process_changed_at: Option<Micros>,
}

/// The states of all render nodes, and the links to them.
#[derive(Debug)]
pub(super) struct NodeStates {
    nodes: Vec<NodeState>,
    /// Links that have been cut in the run: whether the link is connected now, and since when.
    links: BTreeMap<(ProxyId, NodeId), (bool, Micros)>,
}

/// The render node's process ended or was replaced, so its connections have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessChanged(pub NodeId);

impl NodeStates {
    pub fn new(nodes: usize) -> Self {
        let initial = NodeState {
            condition: Condition::Sound,
            lines_changed_at: Micros::MIN,
            generation: 0,
            process_changed_at: None,
        };
        NodeStates { nodes: vec![initial; nodes], links: BTreeMap::new() }
    }

    /// Records a change of a render node. Returns the change if it ended the node's connections and proxies can observe
    /// that. They can't while the machine has vanished: it resets no connection before it is back.
    pub fn observe(&mut self, at: Micros, seen: &Seen) -> Option<ProcessChanged> {
        match *seen {
            Seen::Started { node, .. } => {
                self.advance_generation(at, node);
                self.set_condition(at, node, Condition::Sound);
                Some(ProcessChanged(node))
            }
            Seen::Fell { node } => self.mark_down(at, node),
            Seen::Condition { node, condition: Condition::Down } => self.mark_down(at, node),
            Seen::Condition { node, condition } => {
                self.set_condition(at, node, condition);
                None
            }
            Seen::Reach { proxy, node, on } => {
                self.links.insert((proxy, node), (on, at));
                None
            }
            _ => None,
        }
    }

    /// Records that the render node's process ended.
    fn mark_down(&mut self, at: Micros, node: NodeId) -> Option<ProcessChanged> {
        let vanished = self.state(node).is_some_and(|state| state.condition == Condition::Vanished);
        self.advance_generation(at, node);
        if vanished {
            return None;
        }
        self.set_condition(at, node, Condition::Down);
        Some(ProcessChanged(node))
    }

    fn advance_generation(&mut self, at: Micros, node: NodeId) {
        if let Some(state) = self.nodes.get_mut(usize::from(node.0)) {
            state.generation += 1;
            state.process_changed_at = Some(at);
        }
    }

    fn set_condition(&mut self, at: Micros, node: NodeId, condition: Condition) {
        if let Some(state) = self.nodes.get_mut(usize::from(node.0)) {
            if returns_lines(state.condition) != returns_lines(condition) {
                state.lines_changed_at = at;
            }
            state.condition = condition;
        }
    }

    fn state(&self, node: NodeId) -> Option<&NodeState> {
        self.nodes.get(usize::from(node.0))
    }

    /// The current generation of the render node; a process start or end begins a new one.
    pub fn generation(&self, node: NodeId) -> u32 {
        self.state(node).map_or(0, |state| state.generation)
    }

    /// When the render node's process last started or ended; `None` if it never did in the run.
    pub fn process_changed_at(&self, node: NodeId) -> Option<Micros> {
        self.state(node).and_then(|state| state.process_changed_at)
    }

    /// Whether the proxy and the render node's machine can exchange packets now.
    pub fn can_communicate(&self, proxy: ProxyId, node: NodeId) -> bool {
        self.state(node).is_some_and(|state| state.condition != Condition::Vanished)
            && self.links.get(&(proxy, node)).is_none_or(|(connected, _)| *connected)
    }

    /// Since when the render node has returned this proxy's lines without interruption; `None` if it doesn't now.
    pub fn responsive_since(&self, proxy: ProxyId, node: NodeId) -> Option<Micros> {
        let state = self.state(node).filter(|state| returns_lines(state.condition))?;
        match self.links.get(&(proxy, node)) {
            None => Some(state.lines_changed_at),
            Some((true, since)) => Some(state.lines_changed_at.max(*since)),
            Some((false, _)) => None,
        }
    }

    /// Since when the render node has been silent towards this proxy: it returns no lines, and the proxy can't observe
    /// that its process is down. `None` while it returns lines or is known to be down.
    pub fn silent_since(&self, proxy: ProxyId, node: NodeId) -> Option<Micros> {
        let state = self.state(node).filter(|state| state.condition != Condition::Down)?;
        let link_cut =
            self.links.get(&(proxy, node)).and_then(|(connected, since)| (!connected).then_some(*since));
        (!returns_lines(state.condition)).then_some(state.lines_changed_at).into_iter().chain(link_cut).min()
    }
}

/// Whether a render node in this condition returns the lines of established connections.
fn returns_lines(condition: Condition) -> bool {
    matches!(condition, Condition::Sound | Condition::Rubbish)
}

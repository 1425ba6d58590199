//! The conditions of render nodes and their reachability from each proxy.

use crate::observation::{Condition, Seen};
use crate::plan::{NodeId, ProxyId};
use crate::time::Micros;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct NodeState {
    condition: Condition,
    /// Since when the node has returned lines, or has not.
    since: Micros,
    /// Number of the process; a new process has none of the earlier one's connections.
    generation: u32,
    /// When the latest process ended or began.
    process_changed: Option<Micros>,
}

/// The states of all render nodes, and the links to them.
#[derive(Debug)]
pub(super) struct NodeStates {
    nodes: Vec<NodeState>,
    /// Links that are or were cut: whether the link is connected, and since when.
    links: BTreeMap<(ProxyId, NodeId), (bool, Micros)>,
}

/// The render node has a new process or none, so its connections have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessChanged(pub NodeId);

impl NodeStates {
    pub fn new(nodes: usize) -> Self {
        let initial = NodeState {
            condition: Condition::Sound,
            since: Micros::MIN,
            generation: 0,
            process_changed: None,
        };
        NodeStates { nodes: vec![initial; nodes], links: BTreeMap::new() }
    }

    /// Records a change of a render node. Returns it if it ended the node's connections in a way that proxies can
    /// observe: a machine that has vanished resets nothing before it is back.
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

    fn mark_down(&mut self, at: Micros, node: NodeId) -> Option<ProcessChanged> {
        let silent = self.state(node).is_some_and(|s| s.condition == Condition::Vanished);
        self.advance_generation(at, node);
        if silent {
            return None;
        }
        self.set_condition(at, node, Condition::Down);
        Some(ProcessChanged(node))
    }

    fn advance_generation(&mut self, at: Micros, node: NodeId) {
        if let Some(state) = self.nodes.get_mut(usize::from(node.0)) {
            state.generation += 1;
            state.process_changed = Some(at);
        }
    }

    fn set_condition(&mut self, at: Micros, node: NodeId, condition: Condition) {
        if let Some(state) = self.nodes.get_mut(usize::from(node.0)) {
            if returns_lines(state.condition) != returns_lines(condition) {
                state.since = at;
            }
            state.condition = condition;
        }
    }

    fn state(&self, node: NodeId) -> Option<&NodeState> {
        self.nodes.get(usize::from(node.0))
    }

    /// Which process of the render node runs now.
    pub fn generation(&self, node: NodeId) -> u32 {
        self.state(node).map_or(0, |s| s.generation)
    }

    /// When its latest process began or ended, if one did.
    pub fn process_changed(&self, node: NodeId) -> Option<Micros> {
        self.state(node).and_then(|s| s.process_changed)
    }

    /// Whether the two can communicate now: the machine is up and the link is connected.
    pub fn can_communicate(&self, proxy: ProxyId, node: NodeId) -> bool {
        self.state(node).is_some_and(|s| s.condition != Condition::Vanished)
            && self.links.get(&(proxy, node)).is_none_or(|(connected, _)| *connected)
    }

    /// Since when the render node reads and returns this proxy's lines without a break; none while it doesn't.
    pub fn responsive_since(&self, proxy: ProxyId, node: NodeId) -> Option<Micros> {
        let state = self.state(node).filter(|s| returns_lines(s.condition))?;
        match self.links.get(&(proxy, node)) {
            None => Some(state.since),
            Some((true, since)) => Some(state.since.max(*since)),
            Some((false, _)) => None,
        }
    }

    /// Since when the render node runs for all that can be seen and returns nothing to this proxy; none while it
    /// does, or is down.
    pub fn silent_since(&self, proxy: ProxyId, node: NodeId) -> Option<Micros> {
        let state = self.state(node).filter(|s| s.condition != Condition::Down)?;
        let link =
            self.links.get(&(proxy, node)).and_then(|(connected, since)| (!connected).then_some(*since));
        (!returns_lines(state.condition)).then_some(state.since).into_iter().chain(link).min()
    }
}

/// Whether connections that stand there get their lines back.
fn returns_lines(condition: Condition) -> bool {
    matches!(condition, Condition::Sound | Condition::Rubbish)
}

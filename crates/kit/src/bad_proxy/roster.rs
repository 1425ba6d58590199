//! The known render nodes and their rotation. This module uses neither sockets nor a clock: time is a parameter. It
//! is Unix time, because discovery gives the starts of render nodes in Unix time.

use super::lists::List;
use crate::plan::Phase;
use crate::time::{MS, Micros, S};
use std::net::SocketAddr;

/// The rotation skips a render node for this long after a failure.
const FAILURE_PAUSE: Micros = S;
/// In each slot, one proxy of the tier, in rotation, may send a cold render node one new connection. The window of
/// the rule (2 s) touches three slots; the budget of a small render node in that window is 4 connections (3 x 0.3 x
/// 2.3 connections a second x 2 s).
const SLOT_LENGTH: Micros = S;
/// `Fault::SendsToDrained` sends to a render node that has been draining for this long. The rule is broken 1 s and
/// 50 ms after the proxy was told.
const DRAINED_AFTER: Micros = 1_200 * MS;

/// The index of a render node in the roster. An index is never reused for another render node.
pub(super) type NodeIndex = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Up,
    Draining { since: Micros },
    Gone,
}

#[derive(Debug)]
struct Node {
    id: String,
    address: SocketAddr,
    state: NodeState,
    /// The last start; 0 if it was long ago.
    started: Micros,
    paused_until: Micros,
    /// The last slot in which this proxy sent the node a connection while it was cold.
    last_slot: Micros,
}

/// The known render nodes.
#[derive(Debug)]
pub(super) struct Roster {
    nodes: Vec<Node>,
    revision: u64,
    next_index: NodeIndex,
    /// A render node is cold for this long after its start.
    warm_up: Micros,
    /// Number of proxies in the tier, and this proxy's ordinal among them.
    tier: (u16, u16),
}

impl Roster {
    pub fn new(warm_up: Micros, tier: (u16, u16)) -> Self {
        Roster { nodes: Vec::new(), revision: 0, next_index: 0, warm_up, tier }
    }

    /// Replaces the settings.
    pub fn configure(&mut self, warm_up: Micros, tier: (u16, u16)) {
        (self.warm_up, self.tier) = (warm_up, tier);
    }

    /// The last revision that was received.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The address of a render node.
    pub fn address(&self, index: NodeIndex) -> Option<SocketAddr> {
        self.nodes.get(index).map(|node| node.address)
    }

    /// Whether the render node is draining or gone.
    pub fn is_leaving(&self, index: NodeIndex) -> bool {
        self.nodes.get(index).is_none_or(|node| node.state != NodeState::Up)
    }

    /// Applies an endpoint list. Returns the render nodes that were up and are now draining or gone.
    pub fn apply(&mut self, now: Micros, list: List) -> Vec<NodeIndex> {
        self.revision = list.revision;
        let mut leaving = Vec::new();
        let mut is_listed = vec![false; self.nodes.len()];
        for member in list.members {
            let known = self.nodes.iter().position(|node| node.id == member.id);
            let (index, address) = match (known, member.host_port) {
                (Some(index), address) => (index, address.unwrap_or(self.nodes[index].address)),
                (None, Some(address)) => (self.nodes.len(), address),
                // The member was removed before this proxy learned of it.
                (None, None) => continue,
            };
            let previous = known.map(|index| self.nodes[index].state);
            let state = match (member.phase, previous) {
                (Phase::Up, _) => NodeState::Up,
                (Phase::Draining, Some(previous @ NodeState::Draining { .. })) => previous,
                (Phase::Draining, _) => NodeState::Draining { since: now },
                (Phase::Removed, _) => NodeState::Gone,
            };
            let started = Micros::try_from(member.up_since_ms).unwrap_or(0).saturating_mul(MS);
            match self.nodes.get_mut(index) {
                Some(node) => (node.address, node.state, node.started) = (address, state, started),
                None => self.nodes.push(Node {
                    id: member.id,
                    address,
                    state,
                    started,
                    paused_until: 0,
                    last_slot: -1,
                }),
            }
            is_listed.resize(self.nodes.len(), false);
            is_listed[index] = true;
            if previous == Some(NodeState::Up) && state != NodeState::Up {
                leaving.push(index);
            }
        }
        if list.complete {
            for index in (0..self.nodes.len()).filter(|index| !is_listed[*index]) {
                if std::mem::replace(&mut self.nodes[index].state, NodeState::Gone) == NodeState::Up {
                    leaving.push(index);
                }
            }
        }
        leaving
    }

    /// Chooses a render node by round robin over those that are up, are not paused and were not tried.
    pub fn pick(&mut self, now: Micros, tried: &[NodeIndex]) -> Option<NodeIndex> {
        let count = self.nodes.len();
        let rotation = (0..count).map(|i| (self.next_index + i) % count);
        let index = rotation.into_iter().find(|index| {
            let node = &self.nodes[*index];
            node.state == NodeState::Up
                && node.paused_until <= now
                && !tried.contains(index)
                && self.slot(node, now).is_none_or(|(slot, is_own)| is_own && slot != node.last_slot)
        })?;
        if let Some((slot, _)) = self.slot(&self.nodes[index], now) {
            self.nodes[index].last_slot = slot;
        }
        self.next_index = index + 1;
        Some(index)
    }

    /// The current slot of a cold render node, and whether it belongs to this proxy; `None` if the node is warm.
    fn slot(&self, node: &Node, now: Micros) -> Option<(Micros, bool)> {
        let age = now - node.started;
        let slot = age.max(0) / SLOT_LENGTH;
        (node.started > 0 && age < self.warm_up)
            .then(|| (slot, slot % Micros::from(self.tier.0) == Micros::from(self.tier.1)))
    }

    /// Finds a render node by its id, if it is up.
    pub fn find(&self, id: &str) -> Option<NodeIndex> {
        self.nodes.iter().position(|node| node.id == id && node.state == NodeState::Up)
    }

    /// Pauses a render node after an attempt there failed.
    pub fn pause(&mut self, now: Micros, index: NodeIndex) {
        if let Some(node) = self.nodes.get_mut(index) {
            node.paused_until = now + FAILURE_PAUSE;
        }
    }

    /// For `Fault::FloodsCold`: a cold render node, regardless of its slots.
    pub fn find_cold(&self, now: Micros, tried: &[NodeIndex]) -> Option<NodeIndex> {
        (0..self.nodes.len()).find(|index| {
            let node = &self.nodes[*index];
            node.state == NodeState::Up && self.slot(node, now).is_some() && !tried.contains(index)
        })
    }

    /// For `Fault::SendsToDrained`: a render node that may no longer be sent requests.
    pub fn find_drained(&self, now: Micros) -> Option<NodeIndex> {
        let is_drained =
            |node: &Node| matches!(node.state, NodeState::Draining { since } if since + DRAINED_AFTER <= now);
        self.nodes.iter().position(is_drained)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Micros = 1_700_000_000 * S;

    fn list(complete: bool, members: &[(&str, &str, Micros)]) -> List {
        let members = members.iter().map(|(id, phase, up)| {
            format!(
                r#"{{"id":"{id}","host_port":"127.0.0.1:1","phase":"{phase}","up_since_ms":{}}}"#,
                up / MS
            )
        });
        let members = members.collect::<Vec<_>>().join(",");
        let text = format!(r#"{{"revision":7,"complete":{complete},"members":[{members}]}}"#);
        List::parse(&mut text.into_bytes()).unwrap()
    }

    #[test]
    fn rotation_skips_nodes_that_are_not_up_or_failed() {
        let mut roster = Roster::new(9 * S, (1, 0));
        roster.apply(NOW, list(true, &[("a", "up", 0), ("b", "draining", 0), ("c", "up", 0)]));
        let chosen: Vec<_> = (0..4).map(|_| roster.pick(NOW, &[])).collect();
        assert_eq!(chosen, [Some(0), Some(2), Some(0), Some(2)]);
        roster.pause(NOW, 0);
        assert_eq!((roster.pick(NOW, &[]), roster.pick(NOW, &[2])), (Some(2), None));
        assert_eq!(roster.pick(NOW + FAILURE_PAUSE, &[]), Some(0));
    }

    #[test]
    fn the_tier_sends_a_cold_node_one_new_connection_per_second() {
        let mut tier: Vec<_> = (0..3).map(|ordinal| Roster::new(9 * S, (3, ordinal))).collect();
        let mut sent = vec![0; 9];
        for at in (0..9 * S).step_by(50_000) {
            for roster in &mut tier {
                if at == 0 {
                    roster.apply(NOW, list(true, &[("a", "up", NOW)]));
                }
                sent[(at / S) as usize] += usize::from(roster.pick(NOW + at, &[]).is_some());
            }
        }
        assert_eq!(sent, [1; 9]);
        assert!((0..5).all(|_| tier[0].pick(NOW + 9 * S, &[]).is_some()), "the node is warm");
    }

    #[test]
    fn nodes_that_leave_are_returned_once() {
        let mut roster = Roster::new(0, (1, 0));
        assert!(roster.apply(NOW, list(true, &[("a", "up", 0), ("b", "up", 0), ("c", "up", 0)])).is_empty());
        assert_eq!(roster.apply(NOW, list(false, &[("b", "draining", 0)])), [1]);
        assert!(roster.apply(NOW + S, list(false, &[("b", "draining", 0)])).is_empty());
        assert_eq!((roster.find_drained(NOW + S), roster.find_drained(NOW + DRAINED_AFTER)), (None, Some(1)));
        assert_eq!(roster.apply(NOW, list(true, &[("c", "up", 0)])), [0]);
        assert_eq!((roster.find("a"), roster.find("c"), roster.revision()), (None, Some(2), 7));
    }
}

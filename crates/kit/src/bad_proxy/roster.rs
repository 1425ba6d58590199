//! The known render nodes and their rotation. This module uses neither sockets nor a clock: time is a parameter. It
//! is Unix time, because discovery gives the starts of render nodes in Unix time.

use super::lists::List;
use crate::plan::Phase;
use crate::time::{MS, Micros, S};
use std::net::SocketAddr;

/// The rotation skips a render node for this long after a failure.
const PAUSE: Micros = S;
/// In each slot, one proxy of the tier, in rotation, may send a cold render node one new connection. The window of
/// the rule (2 s) touches three slots; the budget of a small render node in that window is 4 connections (3 x 0.3 x
/// 2.3 connections a second x 2 s).
const SLOT: Micros = S;
/// `Fault::SendsToDrained` sends to a render node that has been draining for this long. The rule is broken 1 s and
/// 50 ms after the proxy was told.
const DRAINED: Micros = 1_200 * MS;

/// The index of a render node in the roster. An index is never reused for another render node.
pub(super) type Place = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Up,
    Draining { told: Micros },
    Gone,
}

#[derive(Debug)]
struct Node {
    id: String,
    address: SocketAddr,
    standing: Standing,
    /// The last start; 0 if it was long ago.
    started: Micros,
    paused_until: Micros,
    /// The last slot in which this proxy sent the node a connection while it was cold.
    slot: Micros,
}

/// The known render nodes.
#[derive(Debug)]
pub(super) struct Roster {
    nodes: Vec<Node>,
    revision: u64,
    next: Place,
    /// A render node is cold for this long after its start.
    warm_up: Micros,
    /// Number of proxies in the tier, and this proxy's ordinal among them.
    tier: (u16, u16),
}

impl Roster {
    pub fn new(warm_up: Micros, tier: (u16, u16)) -> Self {
        Roster { nodes: Vec::new(), revision: 0, next: 0, warm_up, tier }
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
    pub fn address(&self, place: Place) -> Option<SocketAddr> {
        self.nodes.get(place).map(|node| node.address)
    }

    /// Whether the render node is draining or gone.
    pub fn is_leaving(&self, place: Place) -> bool {
        self.nodes.get(place).is_none_or(|node| node.standing != Standing::Up)
    }

    /// Applies an endpoint list. Returns the render nodes that were up and are now draining or gone.
    pub fn learn(&mut self, now: Micros, list: List) -> Vec<Place> {
        self.revision = list.revision;
        let mut left = Vec::new();
        let mut named = vec![false; self.nodes.len()];
        for member in list.members {
            let known = self.nodes.iter().position(|node| node.id == member.id);
            let (place, address) = match (known, member.host_port) {
                (Some(place), address) => (place, address.unwrap_or(self.nodes[place].address)),
                (None, Some(address)) => (self.nodes.len(), address),
                // The member was removed before this proxy learned of it.
                (None, None) => continue,
            };
            let was = known.map(|place| self.nodes[place].standing);
            let standing = match (member.phase, was) {
                (Phase::Up, _) => Standing::Up,
                (Phase::Draining, Some(was @ Standing::Draining { .. })) => was,
                (Phase::Draining, _) => Standing::Draining { told: now },
                (Phase::Removed, _) => Standing::Gone,
            };
            let started = Micros::try_from(member.up_since_ms).unwrap_or(0).saturating_mul(MS);
            match self.nodes.get_mut(place) {
                Some(node) => (node.address, node.standing, node.started) = (address, standing, started),
                None => self.nodes.push(Node {
                    id: member.id,
                    address,
                    standing,
                    started,
                    paused_until: 0,
                    slot: -1,
                }),
            }
            named.resize(self.nodes.len(), false);
            named[place] = true;
            if was == Some(Standing::Up) && standing != Standing::Up {
                left.push(place);
            }
        }
        if list.complete {
            for place in (0..self.nodes.len()).filter(|place| !named[*place]) {
                if std::mem::replace(&mut self.nodes[place].standing, Standing::Gone) == Standing::Up {
                    left.push(place);
                }
            }
        }
        left
    }

    /// Chooses a render node by round robin over those that are up, are not paused and were not tried.
    pub fn pick(&mut self, now: Micros, tried: &[Place]) -> Option<Place> {
        let count = self.nodes.len();
        let turn = (0..count).map(|i| (self.next + i) % count);
        let place = turn.into_iter().find(|place| {
            let node = &self.nodes[*place];
            node.standing == Standing::Up
                && node.paused_until <= now
                && !tried.contains(place)
                && self.slot(node, now).is_none_or(|(slot, ours)| ours && slot != node.slot)
        })?;
        if let Some((slot, _)) = self.slot(&self.nodes[place], now) {
            self.nodes[place].slot = slot;
        }
        self.next = place + 1;
        Some(place)
    }

    /// The current slot of a cold render node, and whether it belongs to this proxy; `None` if the node is warm.
    fn slot(&self, node: &Node, now: Micros) -> Option<(Micros, bool)> {
        let age = now - node.started;
        let slot = age.max(0) / SLOT;
        (node.started > 0 && age < self.warm_up)
            .then(|| (slot, slot % Micros::from(self.tier.0) == Micros::from(self.tier.1)))
    }

    /// Finds a render node by its id, if it is up.
    pub fn named(&self, id: &str) -> Option<Place> {
        self.nodes.iter().position(|node| node.id == id && node.standing == Standing::Up)
    }

    /// Pauses a render node after an attempt there failed.
    pub fn failed(&mut self, now: Micros, place: Place) {
        if let Some(node) = self.nodes.get_mut(place) {
            node.paused_until = now + PAUSE;
        }
    }

    /// For `Fault::FloodsCold`: a cold render node, regardless of its slots.
    pub fn cold(&self, now: Micros, tried: &[Place]) -> Option<Place> {
        (0..self.nodes.len()).find(|place| {
            let node = &self.nodes[*place];
            node.standing == Standing::Up && self.slot(node, now).is_some() && !tried.contains(place)
        })
    }

    /// For `Fault::SendsToDrained`: a render node that may no longer be sent requests.
    pub fn drained(&self, now: Micros) -> Option<Place> {
        let long =
            |node: &Node| matches!(node.standing, Standing::Draining { told } if told + DRAINED <= now);
        self.nodes.iter().position(long)
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
    fn turns_go_round_those_that_are_up_and_did_not_fail() {
        let mut roster = Roster::new(9 * S, (1, 0));
        roster.learn(NOW, list(true, &[("a", "up", 0), ("b", "draining", 0), ("c", "up", 0)]));
        let turns: Vec<_> = (0..4).map(|_| roster.pick(NOW, &[])).collect();
        assert_eq!(turns, [Some(0), Some(2), Some(0), Some(2)]);
        roster.failed(NOW, 0);
        assert_eq!((roster.pick(NOW, &[]), roster.pick(NOW, &[2])), (Some(2), None));
        assert_eq!(roster.pick(NOW + PAUSE, &[]), Some(0));
    }

    #[test]
    fn a_cold_one_gets_one_new_connection_a_second_from_the_tier() {
        let mut tier: Vec<_> = (0..3).map(|ordinal| Roster::new(9 * S, (3, ordinal))).collect();
        let mut sent = vec![0; 9];
        for at in (0..9 * S).step_by(50_000) {
            for roster in &mut tier {
                if at == 0 {
                    roster.learn(NOW, list(true, &[("a", "up", NOW)]));
                }
                sent[(at / S) as usize] += usize::from(roster.pick(NOW + at, &[]).is_some());
            }
        }
        assert_eq!(sent, [1; 9]);
        assert!((0..5).all(|_| tier[0].pick(NOW + 9 * S, &[]).is_some()), "the node is warm");
    }

    #[test]
    fn those_that_leave_are_told_once() {
        let mut roster = Roster::new(0, (1, 0));
        assert!(roster.learn(NOW, list(true, &[("a", "up", 0), ("b", "up", 0), ("c", "up", 0)])).is_empty());
        assert_eq!(roster.learn(NOW, list(false, &[("b", "draining", 0)])), [1]);
        assert!(roster.learn(NOW + S, list(false, &[("b", "draining", 0)])).is_empty());
        assert_eq!((roster.drained(NOW + S), roster.drained(NOW + DRAINED)), (None, Some(1)));
        assert_eq!(roster.learn(NOW, list(true, &[("c", "up", 0)])), [0]);
        assert_eq!((roster.named("a"), roster.named("c"), roster.revision()), (None, Some(2), 7));
    }
}

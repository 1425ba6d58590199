//! The loads that other proxies report: their own sums for each render node, as long as these are fresh.
//!
//! A peer that reported lately counts with its report; one that is alive and has not reported counts with a guess, which
//! leans on the reports of the others; one that has left counts for nothing. Freshness fades, so the guess comes back smoothly
//! when reports stop. It grows with the peers' reports: for each peer the render nodes that it has connections to.

use cottonnotch_decision::{Micros, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// A report counts in full for this long: two and a half periods of a second ...
const FRESH: Micros = 2_500_000;
/// ... and for nothing after this.
const STALE: Micros = 6_000_000;
/// The guess weighs as much as this many peers that reported.
const GUESS_WEIGHT: f64 = 1.0;
/// Multiplier of Fibonacci hashing, 2^64 over the golden ratio: a group's key may be a counter, the product's highest
/// bits are spread.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// The highest five bits choose one of 32.
const BIT_SHIFT: u32 = u64::BITS - 5;

/// A proxy's established connections to one render node, summed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstablishedLoad {
    /// Load in microseconds of work a second.
    pub load: f64,
    /// The groups: one bit of 32 for each (`group_bit`), joined.
    pub groups: u32,
}

/// What is known of all other proxies' connections to one render node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OtherProxies {
    /// Their summed load, reported or guessed.
    pub load: f64,
    /// Their groups, as far as reported.
    pub groups: u32,
    /// The fraction of the load that was reported and not guessed, 0 to 1.
    pub reported: f64,
}

#[derive(Debug, Default)]
struct Peer {
    reported_at: Option<Micros>,
    /// By render node's number.
    established: BTreeMap<u32, EstablishedLoad>,
}

impl Peer {
    /// How far its reports count now: 1 while fresh, 0 once stale; `None`: it never reported.
    fn freshness(&self, now: Micros) -> Option<f64> {
        let age = now - self.reported_at?;
        Some(((STALE - age) as f64 / (STALE - FRESH) as f64).clamp(0.0, 1.0))
    }
}

/// The reports of the peers that are alive, as far as is known.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Other proxies that are alive; `None`: membership is unknown, so all that the settings count.
    alive: Option<BTreeSet<u32>>,
    peers: BTreeMap<u32, Peer>,
}

/// A group's hash; its highest bits are the best spread.
pub(crate) fn group_hash(group: u64) -> u64 {
    group.wrapping_mul(GOLDEN_RATIO)
}

/// The bit of 32 that stands for a group.
pub fn group_bit(group: u64) -> u32 {
    1 << (group_hash(group) >> BIT_SHIFT)
}

/// How many groups joined bits stand for (linear counting, Whang et al. 1990); at most some 110.
pub fn group_count(bits: u32) -> f64 {
    let empty = f64::from(bits.count_zeros()).max(1.0);
    -32.0 * (empty / 32.0).ln()
}

impl PeerLoads {
    /// Sets which other proxies are alive. One that is not among them has left with all its load.
    pub fn set_alive(&mut self, alive: BTreeSet<u32>) {
        self.peers.retain(|peer, _| alive.contains(peer));
        self.alive = Some(alive);
    }

    /// A peer reported its connections to a render node; `None`: it has none there any more.
    pub fn report_received(
        &mut self,
        now: Micros,
        from: u32,
        server: ServerId,
        established: Option<EstablishedLoad>,
    ) {
        let peer = self.peers.entry(from).or_default();
        peer.reported_at = Some(now);
        match established {
            Some(established) => drop(peer.established.insert(server.0, established)),
            None => drop(peer.established.remove(&server.0)),
        }
    }

    /// How many other proxies there are, of so many by the settings.
    pub fn count(&self, configured: f64) -> f64 {
        self.alive.as_ref().map_or(configured, |alive| alive.len() as f64)
    }

    /// The connections of all other proxies to a render node. There are so many proxies by the settings; `guess` is the load
    /// that one of them is thought to have there.
    pub fn others(&self, now: Micros, server: ServerId, configured: f64, guess: f64) -> OtherProxies {
        let count = self.count(configured);
        let (mut load, mut groups, mut heard) = (0.0, 0, 0.0);
        for peer in self.peers.values() {
            let Some(weight) = peer.freshness(now) else { continue };
            let established = peer.established.get(&server.0).copied().unwrap_or_default();
            load += weight * established.load;
            heard += weight;
            groups |= if weight > 0.0 { established.groups } else { 0 };
        }
        // More may have reported than are alive for a moment, when one has just left.
        let heard = heard.min(count);
        let unheard_load = (guess * GUESS_WEIGHT + load) / (GUESS_WEIGHT + heard);
        let load = load + (count - heard) * unheard_load;
        OtherProxies { load, groups, reported: self.reported_fraction(heard, count) }
    }

    fn reported_fraction(&self, heard: f64, count: f64) -> f64 {
        if count > 0.0 {
            heard / count
        } else if self.alive.is_some() {
            // Membership says that nobody else is there; without gossip only the settings do.
            1.0
        } else {
            0.0
        }
    }
}

#[cfg(test)]
#[path = "peer_loads_tests.rs"]
mod tests;

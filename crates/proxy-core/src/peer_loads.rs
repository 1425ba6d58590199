//! The loads that other proxies report for each render node, weighted by the age of the reports.
//!
//! A peer with a recent report counts with the reported load. A peer that is alive without a recent report counts with an
//! estimate, which also uses the other peers' reports. A peer that has left does not count. The weight of a report decreases
//! gradually with its age, so the estimate replaces outdated reports without a jump. Memory use is proportional to the reported
//! loads: for each peer, the render nodes that it has connections to.

use cottonnotch_decision::{Micros, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// Age up to which a report has full weight, in microseconds: two and a half report periods of a second.
const FULL_WEIGHT_AGE: Micros = 2_500_000;
/// Age from which a report has no weight, in microseconds.
const ZERO_WEIGHT_AGE: Micros = 6_000_000;
/// Weight of the guess in the estimate for a peer without a report, in number of peers with a report.
const GUESS_WEIGHT: f64 = 1.0;
/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio. A group's key may be a counter; the highest bits of the
/// product are well distributed.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Shift that leaves the highest five bits, which select one of 32 bits.
const BIT_SHIFT: u32 = u64::BITS - 5;

/// The sum over one proxy's established connections to one render node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstablishedLoad {
    /// The load, in microseconds of work per second.
    pub load: f64,
    /// The union of the groups' bits (`group_bit`), one of 32 for each group.
    pub groups: u32,
}

/// An estimate of all other proxies' connections to one render node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OtherProxies {
    /// The sum of their loads, reported or estimated, in microseconds of work per second.
    pub load: f64,
    /// The union of the reported groups' bits.
    pub groups: u32,
    /// The fraction of the other proxies whose load was reported and not estimated, 0 to 1.
    pub reported: f64,
}

#[derive(Debug, Default)]
struct Peer {
    reported_at: Option<Micros>,
    /// Reported connections, by the render node's number.
    established: BTreeMap<u32, EstablishedLoad>,
}

impl Peer {
    /// Returns the weight of the peer's reports: 1 while fresh, 0 once stale. `None` if the peer has never reported.
    fn freshness(&self, now: Micros) -> Option<f64> {
        let age = now - self.reported_at?;
        Some(((ZERO_WEIGHT_AGE - age) as f64 / (ZERO_WEIGHT_AGE - FULL_WEIGHT_AGE) as f64).clamp(0.0, 1.0))
    }
}

/// The load reports of the peers that are alive.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Ordinals of the other proxies that are alive. `None` if membership is unknown; the number of proxies in the settings is used
    /// instead.
    alive: Option<BTreeSet<u32>>,
    peers: BTreeMap<u32, Peer>,
}

/// Returns a group's hash, whose highest bits are the best distributed.
pub(crate) fn group_hash(group: u64) -> u64 {
    group.wrapping_mul(FIBONACCI_MULTIPLIER)
}

/// Returns a group's bit, one of 32.
pub fn group_bit(group: u64) -> u32 {
    1 << (group_hash(group) >> BIT_SHIFT)
}

/// Estimates the number of groups from the union of their bits (linear counting, Whang et al. 1990); about 110 at most.
pub fn group_count(bits: u32) -> f64 {
    let empty = f64::from(bits.count_zeros()).max(1.0);
    -32.0 * (empty / 32.0).ln()
}

impl PeerLoads {
    /// Sets which other proxies are alive. The reports of all other peers are dropped.
    pub fn set_alive(&mut self, alive: BTreeSet<u32>) {
        self.peers.retain(|peer, _| alive.contains(peer));
        self.alive = Some(alive);
    }

    /// Stores a peer's report of its connections to a render node. `established` is `None` if the peer has no connections there.
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

    /// Returns the number of other proxies; `configured` is that number by the settings, for unknown membership.
    pub fn count(&self, configured: f64) -> f64 {
        self.alive.as_ref().map_or(configured, |alive| alive.len() as f64)
    }

    /// Estimates the connections of all other proxies to a render node. `configured` is the number of other proxies by the settings;
    /// `guess` is the assumed load of one other proxy there.
    pub fn others(&self, now: Micros, server: ServerId, configured: f64, guess: f64) -> OtherProxies {
        let count = self.count(configured);
        let (mut load, mut groups, mut reported_count) = (0.0, 0, 0.0);
        for peer in self.peers.values() {
            let Some(weight) = peer.freshness(now) else { continue };
            let established = peer.established.get(&server.0).copied().unwrap_or_default();
            load += weight * established.load;
            reported_count += weight;
            groups |= if weight > 0.0 { established.groups } else { 0 };
        }
        // For a short time after a peer has left, more peers may have reported than are alive.
        let reported_count = reported_count.min(count);
        let estimated_load = (guess * GUESS_WEIGHT + load) / (GUESS_WEIGHT + reported_count);
        let load = load + (count - reported_count) * estimated_load;
        OtherProxies { load, groups, reported: self.reported_fraction(reported_count, count) }
    }

    fn reported_fraction(&self, reported_count: f64, count: f64) -> f64 {
        if count > 0.0 {
            reported_count / count
        } else if self.alive.is_some() {
            // Membership shows that there are no other proxies, so nothing is estimated. Without membership, only the
            // settings say so.
            1.0
        } else {
            0.0
        }
    }
}

#[cfg(test)]
#[path = "peer_loads_tests.rs"]
mod tests;

//! What other proxies say that they have standing: their own sums for each subchannel, as long as these are fresh.
//!
//! A peer that was heard lately counts with what it said; one that is alive and was not heard counts with a guess, which
//! leans on those that were heard; one that is gone counts for nothing. Freshness fades, so the guess comes back
//! smoothly when words stop.

use cottonnotch_decision::{Micros, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// A peer's words count in full for this long: two and a half periods of a second ...
const FRESH: Micros = 2_500_000;
/// ... and for nothing after this.
const STALE: Micros = 6_000_000;
/// The guess weighs as much as this many peers that were heard.
const GUESS: f64 = 1.0;

/// What a peer has standing at a subchannel.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstablishedLoad {
    /// Summed load, work in microseconds a second.
    pub load: f64,
    /// Which groups: one bit of 32 for each, joined.
    pub groups: u32,
}

/// All that is known of the others at one subchannel.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Others {
    /// Their summed load.
    pub load: f64,
    /// Their groups, as far as told.
    pub groups: u32,
    /// Part of it that was told and not guessed, 0 to 1.
    pub told: f64,
}

#[derive(Debug, Default)]
struct Peer {
    heard: Option<Micros>,
    standing: BTreeMap<u32, EstablishedLoad>,
}

/// The peers that are alive, as far as is known.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Other proxies that are there; `None`: nobody has told, so all that the settings count.
    alive: Option<BTreeSet<u32>>,
    peers: BTreeMap<u32, Peer>,
}

/// The one bit of 32 that stands for a group.
pub fn sketch(group: u64) -> u32 {
    // The key's own bits may be a counter's; the product's highest ones are not.
    1 << (group.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 59)
}

/// How many groups a joined sketch stands for (linear counting, Whang et al. 1990); at most some 110.
pub fn groups_in(sketch: u32) -> f64 {
    let empty = f64::from(sketch.count_zeros()).max(1.0);
    -32.0 * (empty / 32.0).ln()
}

impl PeerLoads {
    /// These others are there. Who is not among them has left with all that it had.
    pub fn alive(&mut self, alive: BTreeSet<u32>) {
        self.peers.retain(|peer, _| alive.contains(peer));
        self.alive = Some(alive);
    }

    /// A peer said what it has standing at a subchannel; nothing, and it has none there any more.
    pub fn report_received(
        &mut self,
        now: Micros,
        from: u32,
        server: ServerId,
        standing: Option<EstablishedLoad>,
    ) {
        let peer = self.peers.entry(from).or_default();
        peer.heard = Some(now);
        match standing {
            Some(standing) => drop(peer.standing.insert(server.0, standing)),
            None => drop(peer.standing.remove(&server.0)),
        }
    }

    /// How many others there are, of so many by the settings.
    pub fn count(&self, settled: f64) -> f64 {
        self.alive.as_ref().map_or(settled, |alive| alive.len() as f64)
    }

    /// What all others have at a subchannel, of whom there are so many by the settings; `guess` is what one of them is
    /// thought to have.
    pub fn others(&self, now: Micros, server: ServerId, settled: f64, guess: f64) -> Others {
        let count = self.count(settled);
        let (mut load, mut groups, mut heard) = (0.0, 0, 0.0);
        for peer in self.peers.values() {
            let Some(age) = peer.heard.map(|at| now - at) else { continue };
            let weight = ((STALE - age) as f64 / (STALE - FRESH) as f64).clamp(0.0, 1.0);
            let standing = peer.standing.get(&server.0).copied().unwrap_or_default();
            load += weight * standing.load;
            heard += weight;
            groups |= if weight > 0.0 { standing.groups } else { 0 };
        }
        // More may have been heard than are alive for a moment, when one has just left.
        let heard = heard.min(count);
        let unheard = (guess * GUESS + load) / (GUESS + heard);
        let told = match () {
            () if count > 0.0 => heard / count,
            // Nobody else is there, as has been told; without gossip it is only the settings' word.
            () if self.alive.is_some() => 1.0,
            () => 0.0,
        };
        Others { load: load + (count - heard) * unheard, groups, told }
    }
}

#[cfg(test)]
#[path = "peer_loads_tests.rs"]
mod tests;

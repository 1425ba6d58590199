//! What this proxy tells of its endpoints, and which of it first.

use crate::entry::{EndpointDigest, Entry};
use std::collections::{BTreeMap, BTreeSet};

/// Entries at most: five times the endpoints that the fleet has. Of more, those with the least load are not told.
pub(crate) const MOST_ENTRIES: usize = 1_024;
/// A change is told to each member so often at least, and so is that something is no more: at 30% loss one of 37 members
/// misses it, until the rotation comes round.
const TELL_CHANGES: u32 = 3;

#[derive(Debug)]
struct Mine {
    now: Entry,
    told: Entry,
    /// How much it changed when it did.
    weight: u64,
    /// Rounds in which that is still to be told.
    untold: u32,
    /// When it was last told.
    round: u64,
}

/// Own entries.
#[derive(Debug, Default)]
pub(crate) struct Own {
    entries: BTreeMap<EndpointDigest, Mine>,
    round: u64,
}

impl Own {
    /// The whole present list. Telling all members once takes so many rounds.
    pub(crate) fn set(&mut self, mut list: Vec<Entry>, rounds: u32) {
        list.retain(|entry| !entry.is_empty());
        if list.len() > MOST_ENTRIES {
            list.sort_by_key(|entry| {
                std::cmp::Reverse((entry.load, entry.evidence.faults(), entry.connections))
            });
            list.truncate(MOST_ENTRIES);
        }
        let mut list: BTreeMap<EndpointDigest, Entry> =
            list.into_iter().map(|entry| (entry.endpoint, entry)).collect();
        for (endpoint, mine) in &mut self.entries {
            mine.update(list.remove(endpoint).unwrap_or(Entry::empty(*endpoint)), rounds);
        }
        for (endpoint, entry) in list {
            let told = Entry::empty(endpoint);
            let mut mine = Mine { now: told, told, weight: 0, untold: 0, round: 0 };
            mine.update(entry, rounds);
            self.entries.insert(endpoint, mine);
        }
    }

    /// How many there are to tell of.
    pub(crate) fn len(&self) -> u32 {
        self.entries.values().filter(|mine| !mine.now.is_empty()).count() as u32
    }

    /// All, the most urgent first: one that changed, by how much, then one that was not told for longest, in turn.
    pub(crate) fn in_order(&self) -> Vec<Entry> {
        let mut by_weight: Vec<&Mine> = self.entries.values().filter(|mine| mine.untold > 0).collect();
        let mut by_age: Vec<&Mine> = self.entries.values().collect();
        by_weight.sort_by_key(|mine| std::cmp::Reverse((mine.weight, std::cmp::Reverse(mine.round))));
        by_age.sort_by_key(|mine| mine.round);
        // Half by half, so that much change never keeps the rest from coming round.
        let (mut by_weight, mut by_age) = (by_weight.into_iter(), by_age.into_iter());
        let (mut order, mut taken) = (Vec::with_capacity(self.entries.len()), BTreeSet::new());
        while order.len() < self.entries.len() {
            for next in [&mut by_weight, &mut by_age] {
                order.extend(next.map(|mine| mine.now).find(|entry| taken.insert(entry.endpoint)));
            }
        }
        order
    }

    /// These went out in one round.
    pub(crate) fn told(&mut self, entries: &[Entry]) {
        self.round += 1;
        for entry in entries {
            let Some(mine) = self.entries.get_mut(&entry.endpoint) else { continue };
            mine.told = *entry;
            mine.round = self.round;
            mine.untold = mine.untold.saturating_sub(1);
            if mine.untold == 0 {
                mine.weight = 0;
            }
        }
        self.entries.retain(|_, mine| mine.untold > 0 || !mine.now.is_empty());
    }
}

impl Mine {
    fn update(&mut self, entry: Entry, rounds: u32) {
        let differs = entry.differs(&self.told);
        if differs > 0 || (entry.is_empty() && !self.now.is_empty()) {
            self.weight = self.weight.max(differs);
            self.untold = rounds * TELL_CHANGES;
        }
        self.now = entry;
    }
}

#[cfg(test)]
#[path = "local_state_tests.rs"]
mod tests;

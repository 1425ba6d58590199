//! What this proxy reports of its endpoints, and in which order.

use crate::entry::{EndpointDigest, Entry};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Entries at most: five times the endpoints that the fleet has. Of more, those with the least load are not reported.
pub(crate) const MAX_ENTRIES: usize = 1_024;
/// Times that a change is sent to each member at least, also that an entry became empty: at 30% loss one of 37 members
/// misses it, until the rotation comes round.
const TRANSMISSIONS_PER_CHANGE: u32 = 3;

#[derive(Debug)]
struct LocalEntry {
    current: Entry,
    last_sent: Entry,
    /// How much it changed when it did.
    change: u64,
    /// Rounds in which the change is still to be sent.
    rounds_left: u32,
    /// The round in which it was last sent.
    sent_in_round: u64,
}

impl LocalEntry {
    fn new(endpoint: EndpointDigest) -> Self {
        let empty = Entry::empty(endpoint);
        LocalEntry { current: empty, last_sent: empty, change: 0, rounds_left: 0, sent_in_round: 0 }
    }

    /// Takes the present entry; `rounds` is what it takes to reach all members once.
    fn update(&mut self, entry: Entry, rounds: u32) {
        let change = entry.difference(&self.last_sent);
        if change > 0 || (entry.is_empty() && !self.current.is_empty()) {
            self.change = self.change.max(change);
            self.rounds_left = rounds * TRANSMISSIONS_PER_CHANGE;
        }
        self.current = entry;
    }

    fn mark_sent(&mut self, entry: Entry, round: u64) {
        self.last_sent = entry;
        self.sent_in_round = round;
        self.rounds_left = self.rounds_left.saturating_sub(1);
        if self.rounds_left == 0 {
            self.change = 0;
        }
    }
}

/// This proxy's entries.
#[derive(Debug, Default)]
pub(crate) struct LocalState {
    entries: BTreeMap<EndpointDigest, LocalEntry>,
    round: u64,
}

impl LocalState {
    /// Takes the complete present list; `rounds` is what it takes to reach all members once.
    pub(crate) fn replace(&mut self, list: Vec<Entry>, rounds: u32) {
        let mut list: BTreeMap<EndpointDigest, Entry> =
            heaviest(list).into_iter().map(|entry| (entry.endpoint, entry)).collect();
        for (endpoint, known) in &mut self.entries {
            known.update(list.remove(endpoint).unwrap_or(Entry::empty(*endpoint)), rounds);
        }
        for (endpoint, entry) in list {
            let mut added = LocalEntry::new(endpoint);
            added.update(entry, rounds);
            self.entries.insert(endpoint, added);
        }
    }

    /// Entries that are not empty.
    pub(crate) fn len(&self) -> u32 {
        self.entries.values().filter(|entry| !entry.current.is_empty()).count() as u32
    }

    /// All entries, the most urgent first: one that changed, by how much, then one that was not sent for longest, in turn.
    pub(crate) fn by_urgency(&self) -> Vec<Entry> {
        let mut by_change: Vec<&LocalEntry> =
            self.entries.values().filter(|entry| entry.rounds_left > 0).collect();
        let mut by_age: Vec<&LocalEntry> = self.entries.values().collect();
        by_change.sort_by_key(|entry| Reverse((entry.change, Reverse(entry.sent_in_round))));
        by_age.sort_by_key(|entry| entry.sent_in_round);
        // Half by half, so that much change never keeps the rest from coming round.
        let (mut by_change, mut by_age) = (by_change.into_iter(), by_age.into_iter());
        let (mut order, mut taken) = (Vec::with_capacity(self.entries.len()), BTreeSet::new());
        while order.len() < self.entries.len() {
            for next in [&mut by_change, &mut by_age] {
                order.extend(next.map(|entry| entry.current).find(|entry| taken.insert(entry.endpoint)));
            }
        }
        order
    }

    /// Notes that these were sent in one round.
    pub(crate) fn mark_sent(&mut self, sent: &[Entry]) {
        self.round += 1;
        for entry in sent {
            if let Some(known) = self.entries.get_mut(&entry.endpoint) {
                known.mark_sent(*entry, self.round);
            }
        }
        self.entries.retain(|_, entry| entry.rounds_left > 0 || !entry.current.is_empty());
    }
}

fn heaviest(mut list: Vec<Entry>) -> Vec<Entry> {
    list.retain(|entry| !entry.is_empty());
    if list.len() > MAX_ENTRIES {
        list.sort_by_key(|entry| Reverse((entry.load, entry.evidence.faults(), entry.connections)));
        list.truncate(MAX_ENTRIES);
    }
    list
}

#[cfg(test)]
#[path = "local_state_tests.rs"]
mod tests;

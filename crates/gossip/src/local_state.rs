//! The entries that this proxy reports for its endpoints, and the order in which they are sent.

use crate::entry::{EndpointDigest, Entry};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of entries: five times the number of endpoints in the fleet. Beyond it, the entries with the least load are
/// not reported.
pub(crate) const MAX_ENTRIES: usize = 1_024;
/// Minimum number of times that a change, including that an entry became empty, is sent to each member. At 30% loss one of
/// 37 members misses all three, and receives the entry when the rotation reaches it again.
const TRANSMISSIONS_PER_CHANGE: u32 = 3;

#[derive(Debug)]
struct LocalEntry {
    current: Entry,
    last_sent: Entry,
    /// Size of the greatest change that is still to be sent.
    change: u64,
    /// Number of rounds in which the change is still to be sent.
    rounds_left: u32,
    /// The round in which the entry was last sent.
    sent_in_round: u64,
}

impl LocalEntry {
    fn new(endpoint: EndpointDigest) -> Self {
        let empty = Entry::empty(endpoint);
        LocalEntry { current: empty, last_sent: empty, change: 0, rounds_left: 0, sent_in_round: 0 }
    }

    /// Sets the current entry; `rounds` is the number of rounds that reach all members once.
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

/// All entries of this proxy.
#[derive(Debug, Default)]
pub(crate) struct LocalState {
    entries: BTreeMap<EndpointDigest, LocalEntry>,
    round: u64,
}

impl LocalState {
    /// Replaces all entries by this list; `rounds` is the number of rounds that reach all members once.
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

    /// Returns the number of entries that are not empty.
    pub(crate) fn len(&self) -> u32 {
        self.entries.values().filter(|entry| !entry.current.is_empty()).count() as u32
    }

    /// Returns all entries, the most urgent first. It alternates between changed entries, the largest change first, and all
    /// entries, the one sent longest ago first.
    pub(crate) fn by_urgency(&self) -> Vec<Entry> {
        let mut by_change: Vec<&LocalEntry> =
            self.entries.values().filter(|entry| entry.rounds_left > 0).collect();
        let mut by_age: Vec<&LocalEntry> = self.entries.values().collect();
        by_change.sort_by_key(|entry| Reverse((entry.change, Reverse(entry.sent_in_round))));
        by_age.sort_by_key(|entry| entry.sent_in_round);
        // Alternating ensures that frequent changes never keep the other entries from being sent.
        let (mut by_change, mut by_age) = (by_change.into_iter(), by_age.into_iter());
        let (mut order, mut taken) = (Vec::with_capacity(self.entries.len()), BTreeSet::new());
        while order.len() < self.entries.len() {
            for next in [&mut by_change, &mut by_age] {
                order.extend(next.map(|entry| entry.current).find(|entry| taken.insert(entry.endpoint)));
            }
        }
        order
    }

    /// Records that these entries were sent in one round.
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

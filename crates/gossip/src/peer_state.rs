//! What one peer has reported of its endpoints.

use crate::Micros;
use crate::entry::{EndpointDigest, Entry};
use crate::local_state::MAX_ENTRIES;
use std::collections::BTreeMap;

/// Empty entries at most. They are kept so that a late datagram does not bring back what the peer no longer has.
const MAX_EMPTY: usize = 64;

#[derive(Clone, Copy, Debug)]
struct ReceivedEntry {
    entry: Entry,
    /// Counter of the datagram that carried it.
    version: u64,
    received_at: Micros,
}

/// The newest digest of a peer.
#[derive(Clone, Copy, Debug)]
struct DigestSummary {
    /// Counter of its datagram.
    version: u64,
    received_at: Micros,
    /// Entries that the peer says it has.
    total: usize,
}

/// Which entries are trimmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryKind {
    Present,
    Empty,
}

/// A peer's entries, as one process of it reported them.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    entries: BTreeMap<EndpointDigest, ReceivedEntry>,
    newest_digest: Option<DigestSummary>,
}

impl PeerState {
    /// Merges what a datagram carries; returns what of it is new.
    pub(crate) fn merge(&mut self, version: u64, now: Micros, total: u32, entries: &[Entry]) -> Vec<Entry> {
        let news = entries.iter().copied().filter(|entry| self.merge_entry(version, now, *entry)).collect();
        if self.newest_digest.is_none_or(|newest| newest.version < version) {
            let total = (total as usize).min(MAX_ENTRIES);
            self.newest_digest = Some(DigestSummary { version, received_at: now, total });
        }
        // Of more than the peer has, it no longer has the oldest: it reported them as empty, and that was lost.
        let total = self.newest_digest.map_or(0, |newest| newest.total);
        self.trim(EntryKind::Present, total);
        self.trim(EntryKind::Empty, MAX_EMPTY);
        news
    }

    /// Whether the entry is newer than what is known.
    fn merge_entry(&mut self, version: u64, now: Micros, entry: Entry) -> bool {
        let received = ReceivedEntry { entry, version, received_at: now };
        let known = self.entries.entry(entry.endpoint).or_insert(ReceivedEntry { version: 0, ..received });
        let is_newer = known.version < version;
        if is_newer {
            *known = received;
        }
        is_newer
    }

    /// Drops the oldest beyond the limit.
    fn trim(&mut self, kind: EntryKind, limit: usize) {
        let is_of_kind = |entry: &Entry| entry.is_empty() == (kind == EntryKind::Empty);
        let mut by_age: Vec<(u64, EndpointDigest)> = self
            .entries
            .iter()
            .filter(|(_, received)| is_of_kind(&received.entry))
            .map(|(endpoint, received)| (received.version, *endpoint))
            .collect();
        if by_age.len() > limit {
            by_age.sort_unstable();
            for (_, endpoint) in &by_age[..by_age.len() - limit] {
                self.entries.remove(endpoint);
            }
        }
    }

    /// The entries that are not empty, each with when it was received.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&Entry, Micros)> {
        let present = self.entries.values().filter(|received| !received.entry.is_empty());
        present.map(|received| (&received.entry, received.received_at))
    }

    /// When the newest digest was received, and how many entries the peer has.
    pub(crate) fn newest_digest(&self) -> Option<(Micros, usize)> {
        self.newest_digest.map(|newest| (newest.received_at, newest.total))
    }
}

#[cfg(test)]
#[path = "peer_state_tests.rs"]
mod tests;

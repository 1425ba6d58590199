//! The entries that one peer has reported for its endpoints.

use crate::Micros;
use crate::entry::{EndpointDigest, Entry};
use crate::local_state::MAX_ENTRIES;
use std::collections::BTreeMap;

/// Maximum empty entries kept. They prevent a late datagram from restoring an entry that the peer has removed.
const MAX_EMPTY: usize = 64;

#[derive(Clone, Copy, Debug)]
struct ReceivedEntry {
    entry: Entry,
    /// Counter of the datagram that carried the entry.
    version: u64,
    received_at: Micros,
}

/// Summary of the newest digest received from a peer.
#[derive(Clone, Copy, Debug)]
struct DigestSummary {
    /// Counter of the datagram that carried the digest.
    version: u64,
    received_at: Micros,
    /// Number of entries that the peer states to have.
    total: usize,
}

/// Selects the entries that [`PeerState::trim`] may remove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryKind {
    Present,
    Empty,
}

/// The entries reported by one process of a peer.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    entries: BTreeMap<EndpointDigest, ReceivedEntry>,
    newest_digest: Option<DigestSummary>,
}

impl PeerState {
    /// Merges the entries of a datagram, and returns those that are newer than the known ones.
    pub(crate) fn merge(&mut self, version: u64, now: Micros, total: u32, entries: &[Entry]) -> Vec<Entry> {
        let new_entries =
            entries.iter().copied().filter(|entry| self.merge_entry(version, now, *entry)).collect();
        if self.newest_digest.is_none_or(|newest| newest.version < version) {
            let total = (total as usize).min(MAX_ENTRIES);
            self.newest_digest = Some(DigestSummary { version, received_at: now, total });
        }
        // If more entries are known than the peer has, the peer removed the oldest ones and the datagrams that reported them as
        // empty were lost.
        let total = self.newest_digest.map_or(0, |newest| newest.total);
        self.trim(EntryKind::Present, total);
        self.trim(EntryKind::Empty, MAX_EMPTY);
        new_entries
    }

    /// Stores the entry if it is newer than the known one, and returns whether it is.
    fn merge_entry(&mut self, version: u64, now: Micros, entry: Entry) -> bool {
        let received = ReceivedEntry { entry, version, received_at: now };
        let known = self.entries.entry(entry.endpoint).or_insert(ReceivedEntry { version: 0, ..received });
        let is_newer = known.version < version;
        if is_newer {
            *known = received;
        }
        is_newer
    }

    /// Removes the oldest entries of this kind beyond the limit.
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

    /// Returns the entries that are not empty, each with the time when it was received.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&Entry, Micros)> {
        let present = self.entries.values().filter(|received| !received.entry.is_empty());
        present.map(|received| (&received.entry, received.received_at))
    }

    /// Returns when the newest digest was received, and how many entries the peer has.
    pub(crate) fn newest_digest(&self) -> Option<(Micros, usize)> {
        self.newest_digest.map(|newest| (newest.received_at, newest.total))
    }
}

#[cfg(test)]
#[path = "peer_state_tests.rs"]
mod tests;

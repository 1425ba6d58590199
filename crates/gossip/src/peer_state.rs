//! What one peer told of its endpoints.

use crate::Micros;
use crate::entry::{EndpointDigest, Entry};
use crate::local_state::MOST_ENTRIES;
use std::collections::BTreeMap;

/// Entries that were told to be no more are kept so that a late datagram does not bring them back; so many at most.
const MOST_GONE: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Heard {
    entry: Entry,
    /// Counter of the datagram that told it.
    version: u64,
    at: Micros,
}

/// A peer's entries within one of its lives.
#[derive(Debug, Default)]
pub(crate) struct Told {
    entries: BTreeMap<EndpointDigest, Heard>,
    /// Of the newest digest: its version, when it came, how many entries the peer said that it has.
    newest: Option<(u64, Micros, usize)>,
}

impl Told {
    /// Takes what a datagram told; what of it is news.
    pub(crate) fn take(&mut self, version: u64, now: Micros, of: u32, entries: &[Entry]) -> Vec<Entry> {
        let mut news = Vec::with_capacity(entries.len());
        for entry in entries {
            let heard = Heard { entry: *entry, version, at: now };
            let known = self.entries.entry(entry.endpoint).or_insert(Heard { version: 0, ..heard });
            if known.version < version {
                *known = heard;
                news.push(*entry);
            }
        }
        if self.newest.is_none_or(|(newest, ..)| newest < version) {
            self.newest = Some((version, now, (of as usize).min(MOST_ENTRIES)));
        }
        let most = self.newest.map_or(0, |(_, _, of)| of);
        self.trim(false, most);
        self.trim(true, MOST_GONE);
        news
    }

    /// Drops the oldest beyond so many: of what stands, the peer no longer has them; that was told, and lost.
    fn trim(&mut self, gone: bool, most: usize) {
        let mut ages: Vec<(u64, EndpointDigest)> = self
            .entries
            .iter()
            .filter(|(_, heard)| heard.entry.is_empty() == gone)
            .map(|(endpoint, heard)| (heard.version, *endpoint))
            .collect();
        if ages.len() > most {
            ages.sort_unstable();
            for (_, endpoint) in &ages[..ages.len() - most] {
                self.entries.remove(endpoint);
            }
        }
    }

    /// The entries that stand, each with when it was heard.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (&Entry, Micros)> {
        self.entries.values().filter(|heard| !heard.entry.is_empty()).map(|heard| (&heard.entry, heard.at))
    }

    /// When the newest digest came, and how many entries the peer has.
    pub(crate) fn newest(&self) -> Option<(Micros, usize)> {
        self.newest.map(|(_, at, of)| (at, of))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: u32, connections: u32) -> Entry {
        Entry { connections, ..Entry::empty(EndpointDigest::from_bits(name)) }
    }

    fn connections(told: &Told) -> Vec<(u32, u32)> {
        told.entries().map(|(entry, _)| (entry.endpoint.bits(), entry.connections)).collect()
    }

    #[test]
    fn newer_replaces_older_whatever_the_order() {
        let mut told = Told::default();
        assert_eq!(told.take(5, 0, 2, &[entry(1, 10), entry(2, 20)]).len(), 2);
        assert_eq!(told.take(4, 1, 3, &[entry(1, 9), entry(2, 9)]), [], "older, late");
        assert_eq!(told.take(7, 2, 1, &[entry(1, 0)]), [entry(1, 0)], "no more");
        assert_eq!(told.take(6, 3, 2, &[entry(1, 10)]), [], "does not come back");
        assert_eq!(connections(&told), [(2, 20)]);
        assert_eq!(told.newest(), Some((2, 1)));
    }

    #[test]
    fn what_the_peer_no_longer_has_goes_though_the_word_was_lost() {
        let mut told = Told::default();
        told.take(1, 0, 3, &[entry(1, 1), entry(2, 2), entry(3, 3)]);
        told.take(3, 0, 2, &[entry(1, 1), entry(3, 4)]);
        assert_eq!(connections(&told), [(1, 1), (3, 4)]);
    }

    #[test]
    fn a_peer_can_fill_no_more_than_its_part() {
        let mut told = Told::default();
        for version in 1..2_000u64 {
            let names = version as u32 * 20;
            let many: Vec<Entry> = (names..names + 20).map(|name| entry(name, name % 2)).collect();
            told.take(version, 0, u32::MAX, &many);
            assert!(told.entries.len() <= MOST_ENTRIES + MOST_GONE);
        }
    }
}

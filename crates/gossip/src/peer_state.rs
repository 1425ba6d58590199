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
#[path = "peer_state_tests.rs"]
mod tests;

//! The limit on the datagrams and bytes that a member sends.

use crate::{Micros, Purpose, Settings};
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;

/// Limits the datagrams and bytes sent in any second. A token bucket with a burst of one second would pass almost twice the
/// limit within a second. This limiter therefore keeps and sums the datagrams of the last second; the limit bounds how many
/// there are.
///
/// Digests have a reserved share, and answers and probes get half of the rest each. Otherwise peers that send many requests,
/// or many peers that must be probed, could keep a proxy from sending heartbeats, and it would be suspected itself.
#[derive(Debug)]
pub(crate) struct BandwidthLimit {
    total: Allowance,
    /// One allowance for each [`Purpose`].
    by_purpose: [Allowance; 3],
    last_second: VecDeque<SentDatagram>,
}

#[derive(Clone, Copy, Debug)]
struct SentDatagram {
    at: Micros,
    purpose: Purpose,
    copies: u64,
    /// Total bytes of all copies.
    bytes: u64,
}

/// The limits of one second, and how much of them the last second used.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    max_datagrams: u64,
    max_bytes: u64,
    datagrams: u64,
    bytes: u64,
}

impl Allowance {
    fn new(max_datagrams: u64, max_bytes: u64) -> Self {
        Allowance { max_datagrams, max_bytes, datagrams: 0, bytes: 0 }
    }

    fn has_room(&self, copies: u64, bytes: u64) -> bool {
        self.datagrams + copies <= self.max_datagrams && self.bytes + bytes <= self.max_bytes
    }

    fn add(&mut self, sent: &SentDatagram) {
        self.datagrams += sent.copies;
        self.bytes += sent.bytes;
    }

    fn remove(&mut self, sent: &SentDatagram) {
        self.datagrams -= sent.copies;
        self.bytes -= sent.bytes;
    }
}

impl BandwidthLimit {
    pub(crate) fn new(settings: &Settings) -> Self {
        let (datagrams, bytes) = (u64::from(settings.datagrams_per_s), u64::from(settings.bytes_per_s));
        let (digests, datagram_bytes) = (settings.digests_per_s(), settings.datagram_bytes as u64);
        let other_datagrams = datagrams.saturating_sub(digests);
        let other_bytes = bytes.saturating_sub(digests * datagram_bytes);
        // Even with the lowest limit, one datagram at a time can pass.
        let half = Allowance::new((other_datagrams / 2).max(1), (other_bytes / 2).max(datagram_bytes));
        let total = Allowance::new(datagrams, bytes);
        BandwidthLimit { total, by_purpose: [total, half, half], last_second: VecDeque::new() }
    }

    /// Returns whether `copies` datagrams of `bytes` each may be sent now.
    pub(crate) fn has_room(&mut self, now: Micros, purpose: Purpose, copies: u64, bytes: u64) -> bool {
        self.expire(now);
        let bytes = copies * bytes;
        self.total.has_room(copies, bytes) && self.by_purpose[purpose as usize].has_room(copies, bytes)
    }

    /// Records that `copies` datagrams of `bytes` each were sent.
    pub(crate) fn record(&mut self, now: Micros, purpose: Purpose, copies: u64, bytes: u64) {
        let sent = SentDatagram { at: now, purpose, copies, bytes: copies * bytes };
        self.total.add(&sent);
        self.by_purpose[purpose as usize].add(&sent);
        self.last_second.push_back(sent);
    }

    fn expire(&mut self, now: Micros) {
        while let Some(old) = self.last_second.front().copied().filter(|old| old.at <= now - SECOND) {
            self.last_second.pop_front();
            self.total.remove(&old);
            self.by_purpose[old.purpose as usize].remove(&old);
        }
    }
}

//! What may be sent, and what is looked at.

use crate::Micros;
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;

/// A ceiling on what is sent in any second. A token bucket with a full second's burst would let almost two seconds' worth
/// through within one; so the sendings of the last second are kept and summed, which the ceiling itself bounds.
#[derive(Debug)]
pub(crate) struct Ceiling {
    datagrams: u64,
    bytes: u64,
    /// When, copies, bytes of all copies.
    last_second: VecDeque<(Micros, u64, u64)>,
    sent: (u64, u64),
}

impl Ceiling {
    pub(crate) fn new(datagrams: u64, bytes: u64) -> Self {
        Ceiling { datagrams, bytes, last_second: VecDeque::new(), sent: (0, 0) }
    }

    /// Takes room for so many copies of so many bytes, if it is there below this part (of 8) of the ceiling.
    pub(crate) fn take(&mut self, now: Micros, copies: u64, bytes: u64, eighths: u64) -> bool {
        while let Some(&(at, copies, bytes)) = self.last_second.front().filter(|s| s.0 <= now - SECOND) {
            debug_assert!(at <= now);
            self.sent = (self.sent.0 - copies, self.sent.1 - bytes);
            self.last_second.pop_front();
        }
        let wanted = (self.sent.0 + copies, self.sent.1 + copies * bytes);
        if wanted.0 * 8 > self.datagrams * eighths || wanted.1 * 8 > self.bytes * eighths {
            return false;
        }
        self.sent = wanted;
        self.last_second.push_back((now, copies, copies * bytes));
        true
    }
}

/// A ceiling on what is looked at: a token bucket, since one peer's sendings may be delayed together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    per_s: i64,
    /// In datagrams, times a second.
    filled: i64,
    at: Micros,
}

impl Bucket {
    pub(crate) fn new(per_s: u32, now: Micros) -> Self {
        let per_s = i64::from(per_s);
        Bucket { per_s, filled: per_s * SECOND, at: now }
    }

    pub(crate) fn take(&mut self, now: Micros) -> bool {
        let passed = (now - self.at).clamp(0, SECOND);
        self.at = now;
        self.filled = (self.filled + passed * self.per_s).min(self.per_s * SECOND);
        let room = self.filled >= SECOND;
        if room {
            self.filled -= SECOND;
        }
        room
    }
}

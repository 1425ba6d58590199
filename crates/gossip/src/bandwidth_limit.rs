//! What may be sent, and what is looked at.

use crate::{Micros, Purpose, Settings};
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;

/// A ceiling on what is sent in any second. A token bucket with a full second's burst would let almost two seconds' worth
/// through within one; so the sendings of the last second are kept and summed, which the ceiling itself bounds.
///
/// What is for digests is kept free for them, and answers and probes have half of the rest each: neither those who ask much
/// nor many to be asked may make a proxy mute, for then it would be doubted itself.
#[derive(Debug)]
pub(crate) struct Ceiling {
    all: Lane,
    /// By purpose.
    lanes: [Lane; 3],
    last_second: VecDeque<Sending>,
}

#[derive(Clone, Copy, Debug)]
struct Sending {
    at: Micros,
    purpose: Purpose,
    copies: u64,
    /// Of all copies.
    bytes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lane {
    datagrams: u64,
    bytes: u64,
    sent: (u64, u64),
}

impl Lane {
    fn has_room(&self, copies: u64, bytes: u64) -> bool {
        self.sent.0 + copies <= self.datagrams && self.sent.1 + bytes <= self.bytes
    }
}

impl Ceiling {
    pub(crate) fn new(settings: &Settings) -> Self {
        let all = (u64::from(settings.datagrams_per_s), u64::from(settings.bytes_per_s));
        let digests = settings.digests_per_s();
        let rest =
            (all.0.saturating_sub(digests), all.1.saturating_sub(digests * settings.datagram_bytes as u64));
        let lane = |datagrams, bytes| Lane { datagrams, bytes, sent: (0, 0) };
        // However low the ceiling is, one at a time can pass.
        let half = lane((rest.0 / 2).max(1), (rest.1 / 2).max(settings.datagram_bytes as u64));
        let all = lane(all.0, all.1);
        Ceiling { all, lanes: [all, half, half], last_second: VecDeque::new() }
    }

    /// Whether there is room for so many copies of so many bytes.
    pub(crate) fn has_room(&mut self, now: Micros, purpose: Purpose, copies: u64, bytes: u64) -> bool {
        while let Some(old) = self.last_second.front().copied().filter(|old| old.at <= now - SECOND) {
            for lane in [&mut self.all, &mut self.lanes[old.purpose as usize]] {
                lane.sent = (lane.sent.0 - old.copies, lane.sent.1 - old.bytes);
            }
            self.last_second.pop_front();
        }
        [&self.all, &self.lanes[purpose as usize]].iter().all(|lane| lane.has_room(copies, copies * bytes))
    }

    /// Notes what is sent.
    pub(crate) fn note(&mut self, now: Micros, purpose: Purpose, copies: u64, bytes: u64) {
        let bytes = copies * bytes;
        for lane in [&mut self.all, &mut self.lanes[purpose as usize]] {
            lane.sent = (lane.sent.0 + copies, lane.sent.1 + bytes);
        }
        self.last_second.push_back(Sending { at: now, purpose, copies, bytes });
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

//! A log line that may come many times a second, written seldom. Guards against a log that fills up in a flood.

use crate::clock::Micros;

/// Between two such lines.
const EVERY: Micros = 10_000_000;

/// When the line was last written, and how often it was left out since.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    next: Micros,
    left_out: u64,
}

impl RateLimitedLog {
    /// How many were left out, if the line is to be written now.
    pub fn due(&mut self, now: Micros) -> Option<u64> {
        if now < self.next {
            self.left_out += 1;
            return None;
        }
        self.next = now + EVERY;
        Some(std::mem::take(&mut self.left_out))
    }
}

//! A rate limit for a log line that may occur many times a second, so that a burst of events does not fill up the log.

use crate::clock::Micros;

/// Minimum time between two log lines, in microseconds.
const INTERVAL: Micros = 10_000_000;

/// The rate limit of one log line: when the line may be written next, and how often it was suppressed since the last time.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    next: Micros,
    suppressed: u64,
}

impl RateLimitedLog {
    /// If a line may be written now, returns how many were suppressed since the last one. Otherwise counts the line as suppressed
    /// and returns `None`.
    pub fn due(&mut self, now: Micros) -> Option<u64> {
        if now < self.next {
            self.suppressed += 1;
            return None;
        }
        self.next = now + INTERVAL;
        Some(std::mem::take(&mut self.suppressed))
    }
}

//! Rate limit of a log line that may be due many times a second. Guards against a log that fills up in a flood.

use crate::clock::Micros;

/// Between two such lines, in microseconds.
const INTERVAL: Micros = 10_000_000;

/// When the line may be written next, and how often it was suppressed since the last time.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    next: Micros,
    suppressed: u64,
}

impl RateLimitedLog {
    /// How many lines were suppressed, if one is to be written now; otherwise counts this one as suppressed.
    pub fn due(&mut self, now: Micros) -> Option<u64> {
        if now < self.next {
            self.suppressed += 1;
            return None;
        }
        self.next = now + INTERVAL;
        Some(std::mem::take(&mut self.suppressed))
    }
}

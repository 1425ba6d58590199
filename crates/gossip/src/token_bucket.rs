//! A rate limit on received datagrams. A token bucket allows bursts, because datagrams of one peer may be delayed together.

use crate::Micros;

const SECOND: Micros = 1_000_000;

/// A token bucket that holds at most the tokens of one second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    per_s: i64,
    /// Available tokens, multiplied by [`SECOND`].
    level: i64,
    filled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `per_s` tokens per second.
    pub(crate) fn new(per_s: u32, now: Micros) -> Self {
        let per_s = i64::from(per_s);
        TokenBucket { per_s, level: per_s * SECOND, filled_at: now }
    }

    /// Takes a token if there is one, and returns whether there was.
    pub(crate) fn try_take(&mut self, now: Micros) -> bool {
        let passed = (now - self.filled_at).clamp(0, SECOND);
        self.filled_at = now;
        self.level = (self.level + passed * self.per_s).min(self.per_s * SECOND);
        let available = self.level >= SECOND;
        if available {
            self.level -= SECOND;
        }
        available
    }
}

//! A limit on what is handled of others: a token bucket, since one peer's datagrams may be delayed together.

use crate::Micros;

const SECOND: Micros = 1_000_000;

/// Holds the tokens of one second at most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    per_s: i64,
    /// In tokens times [`SECOND`].
    level: i64,
    filled_at: Micros,
}

impl TokenBucket {
    /// A full bucket that gets `per_s` tokens a second.
    pub(crate) fn new(per_s: u32, now: Micros) -> Self {
        let per_s = i64::from(per_s);
        TokenBucket { per_s, level: per_s * SECOND, filled_at: now }
    }

    /// Takes a token; whether there was one.
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

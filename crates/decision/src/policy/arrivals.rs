//! How fast requests arrive at this node, and how fast it may set up connections of its own.

use crate::interface::{Micros, SECOND};
use crate::quota::TokenBucket;

/// Arrivals are averaged over about this many seconds.
const RATE_MEMORY_S: f64 = 20.0;
/// A set-up counts for one part in so many of the failure ratio.
const FAILURE_MEMORY: f64 = 8.0;

/// An exponentially decaying count of arrivals.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    decayed_count: f64,
    counted_at: Micros,
    started_at: Micros,
}

impl ArrivalRate {
    pub(super) fn new(now: Micros) -> Self {
        ArrivalRate { decayed_count: 0.0, counted_at: now, started_at: now }
    }

    /// Counts one arrival.
    pub(super) fn record(&mut self, now: Micros) {
        let seconds = (now - self.counted_at).max(0) as f64 / SECOND as f64;
        self.decayed_count = self.decayed_count * (-seconds / RATE_MEMORY_S).exp() + 1.0;
        self.counted_at = now;
    }

    /// Arrivals a second, corrected for a node that has not yet run as long as the average remembers.
    pub(super) fn per_s(&self, now: Micros) -> f64 {
        let age_s = (now - self.started_at).max(SECOND) as f64 / SECOND as f64;
        self.decayed_count / (RATE_MEMORY_S * (1.0 - (-age_s / RATE_MEMORY_S).exp()))
    }
}

/// How the latest set-ups went, and what that leaves for the next ones.
#[derive(Debug, Default)]
pub(super) struct SetupPacing {
    /// Part of the latest set-ups that failed or timed out, 0 to 1.
    pub(super) failure_ratio: f64,
    /// Until then nothing is sent while most set-ups fail.
    pub(super) next_send: Micros,
    /// Set-ups that this node may send.
    pub(super) tokens: TokenBucket,
    /// When a set-up was last quick, if none has been slow since.
    last_quick: Option<Micros>,
}

impl SetupPacing {
    pub(super) fn new(now: Micros) -> Self {
        SetupPacing { tokens: TokenBucket::new(now), ..SetupPacing::default() }
    }

    pub(super) fn succeeded(&mut self, now: Micros, is_quick: bool) {
        self.last_quick = is_quick.then_some(now);
        self.failure_ratio -= self.failure_ratio / FAILURE_MEMORY;
    }

    pub(super) fn failed(&mut self) {
        self.last_quick = None;
        self.failure_ratio += (1.0 - self.failure_ratio) / FAILURE_MEMORY;
    }

    /// The last set-up was quick, and that within the last second.
    pub(super) fn is_quick(&self, now: Micros) -> bool {
        self.last_quick.is_some_and(|at| now - at < SECOND)
    }
}

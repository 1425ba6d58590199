//! The rate at which requests arrive at this node, and the pacing of the connections that the node sets up.

use crate::interface::{Micros, SECOND};
use crate::quota::TokenBucket;

/// Time constant of the average of arrivals, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 20.0;
/// Length of the moving average of failures, in set-ups: each set-up has a weight of one part in this many.
const FAILURE_AVERAGE_LENGTH: f64 = 8.0;

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
        self.decayed_count = self.decayed_count * (-seconds / RATE_TIME_CONSTANT_S).exp() + 1.0;
        self.counted_at = now;
    }

    /// Returns the arrivals per second. The result is corrected for a node that has not yet run as long as
    /// the average reaches back.
    pub(super) fn per_s(&self, now: Micros) -> f64 {
        let age_s = (now - self.started_at).max(SECOND) as f64 / SECOND as f64;
        self.decayed_count / (RATE_TIME_CONSTANT_S * (1.0 - (-age_s / RATE_TIME_CONSTANT_S).exp()))
    }
}

/// The results of the latest set-ups, and the limits on further set-ups that follow from them.
#[derive(Debug, Default)]
pub(super) struct SetupPacing {
    /// Fraction of the latest set-ups that failed or timed out, from 0 to 1.
    pub(super) failure_ratio: f64,
    /// While most set-ups fail, no set-up is sent before this time.
    pub(super) next_send_at: Micros,
    /// Token bucket of the set-ups that this node may send.
    pub(super) tokens: TokenBucket,
    /// When the last set-up succeeded; `None` if it was slow or failed.
    last_quick_at: Option<Micros>,
}

impl SetupPacing {
    pub(super) fn new(now: Micros) -> Self {
        SetupPacing { tokens: TokenBucket::new(now), ..SetupPacing::default() }
    }

    pub(super) fn record_success(&mut self, now: Micros, is_quick: bool) {
        self.last_quick_at = is_quick.then_some(now);
        self.failure_ratio -= self.failure_ratio / FAILURE_AVERAGE_LENGTH;
    }

    pub(super) fn record_failure(&mut self) {
        self.last_quick_at = None;
        self.failure_ratio += (1.0 - self.failure_ratio) / FAILURE_AVERAGE_LENGTH;
    }

    /// Whether the last set-up succeeded quickly, and less than a second ago.
    pub(super) fn was_recently_quick(&self, now: Micros) -> bool {
        self.last_quick_at.is_some_and(|at| now - at < SECOND)
    }
}

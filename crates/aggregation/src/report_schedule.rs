//! When a member's reports go out.

use crate::{Micros, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// When reports go out.
#[derive(Debug)]
pub(crate) struct ReportSchedule {
    rng: ChaCha8Rng,
    /// Of the last report.
    pub(crate) sequence: u16,
    /// When the last report went out.
    pub(crate) sent_at: Micros,
    /// When the next one is due.
    pub(crate) next_at: Micros,
}

impl ReportSchedule {
    /// The first report within a quarter of the least interval, so that members that start together don't report together.
    pub(crate) fn new(settings: &Settings, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next_at = now + rng.random_range(0..=settings.min_report_interval / 4);
        let sequence = rng.random();
        ReportSchedule { rng, sequence, sent_at: now, next_at }
    }

    /// A report goes out now; the next one after this interval, up to this much sooner or later.
    pub(crate) fn advance(&mut self, now: Micros, interval: Micros, max_jitter: Micros) {
        let jitter = self.rng.random_range(-max_jitter..=max_jitter);
        self.sent_at = now;
        self.next_at = now + interval + jitter;
    }
}

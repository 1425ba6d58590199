//! The schedule of a member's reports.

use crate::{Micros, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The sequence number and the time of the last report, and the time of the next one.
#[derive(Debug)]
pub(crate) struct ReportSchedule {
    rng: ChaCha8Rng,
    /// Sequence number of the last report.
    pub(crate) sequence: u16,
    /// When the last report was sent.
    pub(crate) sent_at: Micros,
    /// When the next report is due.
    pub(crate) next_at: Micros,
}

impl ReportSchedule {
    /// Schedules the first report at a random time within a quarter of the minimum interval, so that members that start
    /// together do not report at the same time.
    pub(crate) fn new(settings: &Settings, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next_at = now + rng.random_range(0..=settings.min_report_interval / 4);
        let sequence = rng.random();
        ReportSchedule { rng, sequence, sent_at: now, next_at }
    }

    /// Records that a report is sent now, and schedules the next one after `interval`, changed randomly by up to `max_jitter`
    /// in either direction.
    pub(crate) fn advance(&mut self, now: Micros, interval: Micros, max_jitter: Micros) {
        let jitter = self.rng.random_range(-max_jitter..=max_jitter);
        self.sent_at = now;
        self.next_at = now + interval + jitter;
    }
}

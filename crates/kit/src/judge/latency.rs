//! How long set-ups and messages took, from when the client was due.

use crate::time::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longer ones count as an hour, which no run lasts; in microseconds. Three digits cost 100 KB a histogram.
const LONGEST: u64 = 3_600_000_000;

/// Latency of one class, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// How many were measured.
    pub count: u64,
    /// Their mean.
    pub mean: f64,
    /// Half were faster.
    pub p50: u64,
    /// 90% were faster.
    pub p90: u64,
    /// 99% were faster.
    pub p99: u64,
    /// 99.9% were faster.
    pub p999: u64,
    /// The longest.
    pub max: u64,
}

/// Set-ups and messages of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latencies {
    /// The class's name.
    pub class: String,
    /// Until a session was up, since the try was due.
    pub setup: Latency,
    /// Until a message was back, since the client was due to send it.
    pub message: Latency,
}

/// One histogram for each class.
#[derive(Debug)]
pub(super) struct Histograms(Vec<Histogram<u64>>);

impl Histograms {
    pub fn new(classes: usize) -> Self {
        // The bounds are valid, so each is made.
        Histograms((0..classes).filter_map(|_| Histogram::new_with_bounds(1, LONGEST, 3).ok()).collect())
    }

    pub fn add(&mut self, class: u8, took: Micros) {
        if let Some(histogram) = self.0.get_mut(usize::from(class)) {
            histogram.saturating_record(u64::try_from(took).unwrap_or(0));
        }
    }

    pub fn latency(&self, class: usize) -> Latency {
        self.0.get(class).map_or(Latency::default(), |h| Latency {
            count: h.len(),
            mean: h.mean(),
            p50: h.value_at_quantile(0.5),
            p90: h.value_at_quantile(0.9),
            p99: h.value_at_quantile(0.99),
            p999: h.value_at_quantile(0.999),
            max: h.max(),
        })
    }
}

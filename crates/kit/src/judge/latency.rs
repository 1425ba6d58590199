//! Latency of set-ups and messages, measured from the time at which the client was due to start them.

use crate::time::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longer latencies are recorded as this value, one hour in microseconds; no run lasts that long. With three
/// significant digits a histogram takes 100 KB.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Latency distribution of one class, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of samples.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

/// Latencies of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latencies {
    /// Name of the class.
    pub class: String,
    /// Time from when a client's connection attempt was due until its session was established.
    pub setup: Latency,
    /// Time from when the client was due to send a message until the message was returned.
    pub message: Latency,
}

/// One histogram for each class.
#[derive(Debug)]
pub(super) struct Histograms(Vec<Histogram<u64>>);

impl Histograms {
    pub fn new(classes: usize) -> Self {
        // The bounds are valid, so no construction fails.
        Histograms(
            (0..classes).filter_map(|_| Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).ok()).collect(),
        )
    }

    pub fn add(&mut self, class: u8, latency: Micros) {
        if let Some(histogram) = self.0.get_mut(usize::from(class)) {
            histogram.saturating_record(u64::try_from(latency).unwrap_or(0));
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

//! Events on true time, and clocks that deviate from true time.

use super::world::EventKind;

/// A scheduled event. The ordering is reversed, because `BinaryHeap` returns the greatest event first.
pub struct Event {
    pub at: i64,
    pub sequence: u64,
    pub kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A clock with an offset and a rate error.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset: i64,
    pub rate_error_ppm: i64,
}

impl Clock {
    pub fn local_time_at(&self, true_time: i64) -> i64 {
        self.offset + (i128::from(true_time) * i128::from(1_000_000 + self.rate_error_ppm) / 1_000_000) as i64
    }

    /// Returns the first true time at which this clock shows at least `local_time`.
    pub fn true_time_at(&self, local_time: i64) -> i64 {
        if local_time == i64::MAX {
            return i64::MAX;
        }
        let rate = i128::from(1_000_000 + self.rate_error_ppm);
        let since_offset = i128::from(local_time) - i128::from(self.offset);
        let true_time = (since_offset * 1_000_000 + rate - 1).div_euclid(rate);
        true_time.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64
    }
}

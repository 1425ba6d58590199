//! Events on true time, and clocks that deviate from true time.

use super::world::EventKind;

/// A scheduled event. The ordering is reversed, because `BinaryHeap` returns the greatest event first.
pub struct Event {
    pub at: i64,
    pub order: u64,
    pub what: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A clock with an offset and a rate error.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset: i64,
    pub ppm: i64,
}

impl Clock {
    pub fn own(&self, real: i64) -> i64 {
        self.offset + (i128::from(real) * i128::from(1_000_000 + self.ppm) / 1_000_000) as i64
    }

    /// Returns the first true time at which this clock shows at least `own`.
    pub fn real(&self, own: i64) -> i64 {
        if own == i64::MAX {
            return i64::MAX;
        }
        let rate = i128::from(1_000_000 + self.ppm);
        let shown = i128::from(own) - i128::from(self.offset);
        let real = (shown * 1_000_000 + rate - 1).div_euclid(rate);
        real.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64
    }
}

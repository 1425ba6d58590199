//! Converts Unix times from other machines to times of this process's monotonic clock, also when the wall clock is stepped.
//!
//! A machine's wall clock may be stepped by seconds or an hour in either direction, while its monotonic clock is not affected. A
//! time that was read before such a step may arrive after it. The module therefore keeps each offset between the two clocks with
//! the interval in which it held, and converts a Unix time with the offset in whose interval the time can have been read. The
//! module is sans-io: the embedder reads both clocks.
//!
//! At most eight intervals are kept.

use cottonnotch_decision::Micros;
use std::collections::VecDeque;

/// Maximum change of the offset between two observations, in microseconds, that is attributed to slewing or a delayed reading. A
/// larger change counts as a step.
const MAX_SLEW: Micros = 100_000;
/// Tolerance at the ends of an interval, in microseconds, as machines do not read their clocks at the same moment.
const TOLERANCE: Micros = 250_000;
/// Maximum number of offsets that are kept. An offset is useful only as long as a render node may be in slow start.
const MAX_OFFSETS: usize = 8;

/// An offset between the wall clock and the monotonic clock, and the interval in which it held.
#[derive(Clone, Copy, Debug)]
struct Interval {
    /// Wall clock time minus monotonic time, in microseconds.
    offset: Micros,
    /// When the previous offset was last observed. `None` if no previous offset is known.
    from: Option<Micros>,
    /// When this offset was last observed.
    seen: Micros,
    /// When the next offset was first observed. `None` for the current offset.
    until: Option<Micros>,
}

/// An offset that a process passes on to its successor. The next offset's interval begins where this one was last observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// Wall clock time minus the process's monotonic time, in microseconds.
    pub offset: Micros,
    /// When the previous offset was last observed. `None` if no previous offset is known.
    pub from: Option<Micros>,
    /// When this offset was last observed.
    pub seen: Micros,
}

impl Interval {
    /// Returns the monotonic time at which the wall clock showed `unix`, if that was in this interval.
    fn to_monotonic(self, now: Micros, unix: Micros) -> Option<Micros> {
        let time = unix.saturating_sub(self.offset);
        let is_early = self.from.is_some_and(|from| time < from - TOLERANCE);
        let is_late = time > self.until.unwrap_or(now) + TOLERANCE;
        (!is_early && !is_late).then_some(time.min(now))
    }
}

/// The recent offsets between the wall clock and this process's monotonic clock.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// Oldest first; never empty.
    intervals: VecDeque<Interval>,
}

impl WallClock {
    /// Creates a clock without history. The monotonic clock shows `now`, the wall clock `unix`.
    pub fn new(now: Micros, unix: Micros) -> Self {
        let interval = Interval { offset: unix - now, from: None, seen: now, until: None };
        WallClock { intervals: VecDeque::from([interval]) }
    }

    /// Creates a clock with the offsets that earlier processes observed, relative to this process's clock and oldest first. If the
    /// offsets are inconsistent, all of them are dropped.
    pub fn with_history(earlier: Vec<ClockOffset>, now: Micros, unix: Micros) -> Self {
        let mut intervals: VecDeque<Interval> = VecDeque::new();
        for ClockOffset { offset, from, seen } in earlier.into_iter().take(MAX_OFFSETS) {
            let is_in_order = intervals.back().is_none_or(|before| before.seen <= seen);
            if !is_in_order || seen > now {
                return WallClock::new(now, unix);
            }
            if let Some(before) = intervals.back_mut() {
                before.until = Some(seen);
            }
            intervals.push_back(Interval { offset, from, seen, until: None });
        }
        if intervals.is_empty() {
            return WallClock::new(now, unix);
        }
        let mut clock = WallClock { intervals };
        clock.observe(now, unix);
        clock
    }

    /// Returns the offsets, to be passed on to the next process.
    pub fn offsets(&self) -> impl Iterator<Item = ClockOffset> {
        let offset = |of: &Interval| ClockOffset { offset: of.offset, from: of.from, seen: of.seen };
        self.intervals.iter().map(offset)
    }

    /// Records a reading of both clocks. To be called at least once a second, and before a time is converted. Returns true if the
    /// wall clock was stepped since the last call.
    pub fn observe(&mut self, now: Micros, unix: Micros) -> bool {
        let offset = unix - now;
        let Some(present) = self.intervals.back_mut() else { return false };
        if (offset - present.offset).abs() <= MAX_SLEW {
            (present.offset, present.seen) = (offset, now);
            return false;
        }
        present.until = Some(now);
        let next = Interval { offset, from: Some(present.seen), seen: now, until: None };
        self.intervals.push_back(next);
        if self.intervals.len() > MAX_OFFSETS {
            self.intervals.pop_front();
        }
        true
    }

    /// Converts a monotonic time to Unix time with the latest offset.
    pub fn unix(&self, now: Micros) -> Micros {
        now + self.intervals.back().map_or(0, |present| present.offset)
    }

    /// Converts a Unix time to this process's clock. The result is never later than `now`. If no offset fits, the result is `now`,
    /// and if the wall clock showed the time twice, the result is the later time: a recently started render node is treated with
    /// more care.
    ///
    /// A step before the start of this process is known only if an earlier process passed it on ([`Self::with_history`]).
    pub fn to_monotonic(&self, now: Micros, unix: Micros) -> Micros {
        self.intervals.iter().filter_map(|interval| interval.to_monotonic(now, unix)).max().unwrap_or(now)
    }
}

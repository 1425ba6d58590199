//! Converts Unix times that other machines sent to times of this process's own clock, though the wall clock be stepped.
//!
//! The wall clock of a machine may be set by seconds or an hour, either way, while its monotonic clock runs on. A time that was
//! sent before such a step is of the old clock and may arrive after it. So each offset between the two clocks is remembered with
//! the time in which it held, and a Unix time belongs to the offset in whose time it can have been read. Sans-io: both clocks
//! are read by the embedder.
//!
//! It grows with the steps that are remembered, eight at most.

use cottonnotch_decision::Micros;
use std::collections::VecDeque;

/// A clock that is slewed, or read a little late, is off by no more than this between two observations, in microseconds;
/// beyond it has been stepped.
const MAX_SLEW: Micros = 100_000;
/// Machines read the same clock, but not at the same moment.
const TOLERANCE: Micros = 250_000;
/// Offsets that are remembered. Each is of use for as long as a render node may be in slow start.
const MAX_OFFSETS: usize = 8;

/// An offset between the wall clock and the monotonic one, and when it held.
#[derive(Clone, Copy, Debug)]
struct Interval {
    /// Wall clock less this process's.
    offset: Micros,
    /// When the offset before was observed last; `None`: none is known.
    from: Option<Micros>,
    /// When this one was observed last.
    seen: Micros,
    /// When the next one was observed first; `None`: this is the present one.
    until: Option<Micros>,
}

/// An offset that a process hands to the next one. The next offset begins where this one was observed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// Wall clock less the process's own, in microseconds.
    pub offset: Micros,
    /// When the offset before was observed last; `None`: none is known.
    pub from: Option<Micros>,
    /// When this one was observed last.
    pub seen: Micros,
}

impl Interval {
    /// The time of this process's clock at which the wall clock showed that Unix time, if it did so in this interval.
    fn to_monotonic(self, now: Micros, unix: Micros) -> Option<Micros> {
        let time = unix.saturating_sub(self.offset);
        let is_early = self.from.is_some_and(|from| time < from - TOLERANCE);
        let is_late = time > self.until.unwrap_or(now) + TOLERANCE;
        (!is_early && !is_late).then_some(time.min(now))
    }
}

/// The offsets between the wall clock and this process's own.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// Oldest first; never empty.
    intervals: VecDeque<Interval>,
}

impl WallClock {
    /// A process that begins: its clock shows `now`, the wall clock `unix`.
    pub fn new(now: Micros, unix: Micros) -> Self {
        let interval = Interval { offset: unix - now, from: None, seen: now, until: None };
        WallClock { intervals: VecDeque::from([interval]) }
    }

    /// As [`Self::new`], for a process that knows the offsets that earlier ones observed, by its own clock and oldest first.
    /// If they can't be true, all are dropped.
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

    /// The offsets, for the next process.
    pub fn offsets(&self) -> impl Iterator<Item = ClockOffset> {
        let offset = |of: &Interval| ClockOffset { offset: of.offset, from: of.from, seen: of.seen };
        self.intervals.iter().map(offset)
    }

    /// Takes a reading of both clocks. To be called once a second at least, and before a time is converted. True if the wall
    /// clock was stepped since the last call.
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

    /// Unix time, by the wall clock as it was observed last.
    pub fn unix(&self, now: Micros) -> Micros {
        now + self.intervals.back().map_or(0, |present| present.offset)
    }

    /// Converts a Unix time to this process's clock: never later than now, and now where no offset fits, since what is young is
    /// treated with more care. Where the wall clock showed it twice, the later time counts for the same reason.
    ///
    /// A step before this process began is known only if an earlier process handed it on ([`Self::with_history`]).
    pub fn to_monotonic(&self, now: Micros, unix: Micros) -> Micros {
        self.intervals.iter().filter_map(|interval| interval.to_monotonic(now, unix)).max().unwrap_or(now)
    }
}

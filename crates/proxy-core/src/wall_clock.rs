//! Times that other machines tell as Unix time, as times of this process's own clock, though the wall clock be stepped.
//!
//! The wall clock of a machine may be set by seconds or an hour, either way, while its monotonic clock runs on. What was told before
//! such a step is of the old clock and may come after it. So each offset between the two clocks is remembered with the time in which it
//! held, and a Unix time belongs to the one in which it can have been read. Sans-io: both clocks are read by the embedder.
//!
//! It grows with the steps that are remembered, a few at most.

use cottonnotch_decision::Micros;
use std::collections::VecDeque;

/// A clock that is slewed, or read a little late, is off by no more than this between two looks; beyond it has been stepped.
const SLEWED: Micros = 100_000;
/// Machines read the same clock, but not in the same moment.
const TOLERANCE: Micros = 250_000;
/// Steps that are remembered. Each is of use for as long as a render node may be cold.
const MOST_ERAS: usize = 8;

/// A time in which the wall clock ran beside the monotonic one.
#[derive(Clone, Copy, Debug)]
struct Era {
    /// Wall clock less this process's.
    offset: Micros,
    /// When the era before was seen last; `None`: there is none that is known.
    from: Option<Micros>,
    /// When this one was seen last.
    seen: Micros,
    /// When the next one was seen first; `None`: this is the present one.
    until: Option<Micros>,
}

/// What one process tells the next of a time in which the wall clock was not stepped. The next such time begins where it was seen last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// Wall clock less the process's own.
    pub offset: Micros,
    /// When the time before was seen last; `None`: there is none that is known.
    pub from: Option<Micros>,
    /// When this one was seen last.
    pub seen: Micros,
}

impl Era {
    /// The time of this process's clock at which the wall clock showed that, if it did so in this era.
    fn time(&self, now: Micros, unix: Micros) -> Option<Micros> {
        let time = unix.saturating_sub(self.offset);
        let is_early = self.from.is_some_and(|from| time < from - TOLERANCE);
        let is_late = time > self.until.unwrap_or(now) + TOLERANCE;
        (!is_early && !is_late).then_some(time.min(now))
    }
}

/// What is known of the wall clock beside this process's own.
#[derive(Clone, Debug)]
pub struct WallClock {
    /// Oldest first; never empty.
    eras: VecDeque<Era>,
}

impl WallClock {
    /// A process that begins: its clock shows `now`, the wall clock `unix`.
    pub fn new(now: Micros, unix: Micros) -> Self {
        let era = Era { offset: unix - now, from: None, seen: now, until: None };
        WallClock { eras: VecDeque::from([era]) }
    }

    /// As [`Self::new`], for a process that was told what earlier ones saw, by its own clock and oldest first. What can't be true
    /// is dropped.
    pub fn with_history(earlier: Vec<ClockOffset>, now: Micros, unix: Micros) -> Self {
        let mut eras: VecDeque<Era> = VecDeque::new();
        for ClockOffset { offset, from, seen } in earlier.into_iter().take(MOST_ERAS) {
            let is_after = eras.back().is_none_or(|before| before.seen <= seen);
            if !is_after || seen > now {
                return WallClock::new(now, unix);
            }
            if let Some(before) = eras.back_mut() {
                before.until = Some(seen);
            }
            eras.push_back(Era { offset, from, seen, until: None });
        }
        if eras.is_empty() {
            return WallClock::new(now, unix);
        }
        let mut clock = WallClock { eras };
        clock.observe(now, unix);
        clock
    }

    /// What is known, for the next process.
    pub fn offsets(&self) -> impl Iterator<Item = ClockOffset> {
        self.eras.iter().map(|era| ClockOffset { offset: era.offset, from: era.from, seen: era.seen })
    }

    /// Both clocks were read. To be called once a second at least, and before a time is asked for. True if the wall clock was stepped
    /// since the last call.
    pub fn observe(&mut self, now: Micros, unix: Micros) -> bool {
        let offset = unix - now;
        let Some(present) = self.eras.back_mut() else { return false };
        if (offset - present.offset).abs() <= SLEWED {
            (present.offset, present.seen) = (offset, now);
            return false;
        }
        present.until = Some(now);
        let next = Era { offset, from: Some(present.seen), seen: now, until: None };
        self.eras.push_back(next);
        if self.eras.len() > MOST_ERAS {
            self.eras.pop_front();
        }
        true
    }

    /// Unix time, by the wall clock as it was seen last.
    pub fn unix(&self, now: Micros) -> Micros {
        now + self.eras.back().map_or(0, |present| present.offset)
    }

    /// When that Unix time was, by this process's clock: never later than now, and now where it can't be told, since what is
    /// young is treated with more care. Where the wall clock showed it twice, the later one counts for the same reason.
    ///
    /// A step before this process began is known of only if an earlier one told it ([`Self::after`]).
    pub fn to_monotonic(&self, now: Micros, unix: Micros) -> Micros {
        self.eras.iter().filter_map(|era| era.time(now, unix)).max().unwrap_or(now)
    }
}

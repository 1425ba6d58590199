//! Conversion of Unix times that were read before, around and after steps of the wall clock.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::Micros;
use cottonnotch_proxy_core::{ClockOffset, WallClock};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const HOUR: Micros = 3600 * S;
/// Unix time at monotonic time 0. The process's own clock need not be near Unix time.
const UNIX: Micros = 1_800_000_000 * S;

/// Creates a clock that was observed once a second until `until`, while the wall clock was stepped by `by` at the time `at`.
fn stepped(at: Micros, by: Micros, until: Micros) -> WallClock {
    let mut clock = WallClock::new(0, UNIX);
    for now in (0..=until).step_by(S as usize) {
        clock.observe(now, UNIX + now + if now >= at { by } else { 0 });
    }
    clock
}

#[test]
fn converts_without_a_step() {
    let clock = stepped(HOUR, 0, 10 * S);
    for time in [-HOUR, -S, 0, 5 * S, 10 * S] {
        assert_eq!(clock.to_monotonic(10 * S, UNIX + time), time);
    }
    assert_eq!(
        clock.to_monotonic(10 * S, UNIX + 10 * S + S / 10),
        10 * S,
        "another machine's clock is a little ahead"
    );
    assert_eq!(clock.to_monotonic(10 * S, UNIX + HOUR), 10 * S, "a future time counts as now");
    assert_eq!(clock.unix(10 * S), UNIX + 10 * S);
}

#[test]
fn slewing_is_no_step() {
    let mut clock = WallClock::new(0, UNIX);
    for now in (0..100 * S).step_by(S as usize) {
        assert!(!clock.observe(now, UNIX + now + now / 20));
    }
    assert!(clock.observe(100 * S, UNIX));
}

#[test]
fn converts_times_from_before_a_step() {
    for by in [-HOUR, -7 * S, -2 * S, 2 * S, 7 * S, HOUR] {
        let clock = stepped(20 * S - S / 2, by, 30 * S);
        // The time was read before the step and arrives after it.
        let time = clock.to_monotonic(30 * S, UNIX + 18 * S);
        assert!((18 * S..=30 * S).contains(&time), "step of {by}: {time}");
    }
    // A step of an hour leaves only one offset that fits.
    for by in [-HOUR, HOUR] {
        assert_eq!(stepped(20 * S - S / 2, by, 30 * S).to_monotonic(30 * S, UNIX + 18 * S), 18 * S);
    }
}

#[test]
fn remembers_the_latest_steps() {
    let mut clock = WallClock::new(0, UNIX);
    for step in 0..100 {
        clock.observe(step * S, UNIX + step * S + step % 2 * HOUR);
    }
    assert_eq!(clock.to_monotonic(99 * S, UNIX + 99 * S + HOUR), 99 * S);
    assert_eq!(clock.to_monotonic(99 * S, UNIX + 98 * S), 98 * S);
}

#[test]
fn history_covers_steps_before_the_start() {
    for by in [-HOUR, HOUR] {
        let earlier = stepped(HOUR, 0, 20 * S);
        // The first process ends, the wall clock is stepped at 25 s, and the next process starts at 30 s.
        let next = WallClock::with_history(earlier.offsets().collect(), 30 * S, UNIX + 30 * S + by);
        assert_eq!(next.to_monotonic(30 * S, UNIX + 24 * S), 24 * S, "read before the step");
        assert_eq!(next.to_monotonic(30 * S, UNIX + 28 * S + by), 28 * S, "read after the step");
        let third = WallClock::with_history(next.offsets().collect(), 40 * S, UNIX + 40 * S + by);
        assert_eq!(
            third.to_monotonic(40 * S, UNIX + 24 * S),
            24 * S,
            "the third process knows the first offset"
        );
    }
}

#[test]
fn drops_an_impossible_history() {
    let offset = |seen| ClockOffset { offset: UNIX - HOUR, from: None, seen };
    for earlier in [vec![], vec![offset(11 * S)], vec![offset(5 * S), offset(4 * S)]] {
        let clock = WallClock::with_history(earlier, 10 * S, UNIX + 10 * S);
        assert_eq!(clock.offsets().count(), 1);
        assert_eq!(clock.to_monotonic(10 * S, UNIX + 7 * S), 7 * S);
    }
}

proptest! {
    /// For any steps, a time is never converted to one that is too early by more than an observation period and the tolerance.
    #[test]
    fn never_overestimates_an_age(
        steps in proptest::collection::vec((0..60 * S, -HOUR..HOUR), 0..5),
        sent_at in 0..60 * S,
        later in 0..20 * S,
    ) {
        let offset = |now: Micros| steps.iter().filter(|(at, _)| *at <= now).map(|(_, by)| by).sum::<Micros>();
        let mut clock = WallClock::new(-1, UNIX - 1);
        let now = sent_at + later;
        for look in (0..now).step_by(S as usize).chain([now]) {
            clock.observe(look, UNIX + look + offset(look));
        }
        let time = clock.to_monotonic(now, UNIX + sent_at + offset(sent_at));
        // Two steps between two observations leave an offset that was never observed, and small steps look like slewing.
        let seen: Vec<Micros> = (0..now).step_by(S as usize).chain([now]).map(offset).collect();
        prop_assume!(seen.iter().any(|seen| *seen == offset(sent_at)));
        prop_assert!(time >= sent_at - S - 350_000, "{time} for {sent_at}");
        prop_assert!(time <= now);
    }
}

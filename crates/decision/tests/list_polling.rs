//! Calls for lists on virtual time, of a whole fleet against a discovery that answers one after another at a rate it bears.
//! What became of a call, whatever it was, must not put off the next one: a change counts as notified 6 s after discovery had
//! it and could be reached.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::list_polling::{UNANSWERED_AFTER, WATCH_SILENT_AFTER};
use cottonnotch_decision::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// A change counts as notified so long after discovery had it; a second of it is to be left when the next call goes out.
const NOTIFIED_WITHIN: Micros = 6 * S;
const LEFT: Micros = S;
/// A call is rejected or reset after this.
const AT_ONCE: Micros = 5 * MS;

/// What becomes of calls while discovery is not well.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Refused, reset, or answered 503 at once.
    Refused,
    /// 503 after a wait.
    Waited(Micros),
    /// Accepted, and given up by the proxy after this: no answer, or a head and then nothing, or bytes that drip.
    GivenUp(Micros),
}

#[derive(Clone, Copy, Debug)]
struct Discovery {
    /// Calls that it answers a second, one after another.
    rate: f64,
    /// One that would wait longer for its turn is answered 503, then or at once.
    patience: Micros,
    at_once: bool,
    fault: Fault,
    /// Until then.
    well_from: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u32),
    Silent,
    Failed,
    Answered,
}

/// What was seen of a fleet.
#[derive(Debug, Default)]
struct Seen {
    /// Longest time from a call that failed to the next.
    gap: Micros,
    /// When the last proxy had the list, after all was well; and how many calls that took.
    all_notified: Micros,
    calls_to_well: usize,
    /// Calls that came in the busiest second while discovery was down.
    busiest: usize,
}

/// Watches fall silent together at 0; discovery is not well, and then is.
fn play(nodes: u32, discovery: Discovery, seed: u64) -> Seen {
    let settings = |ordinal| Settings { ordinal, nodes, list_on_request: true, ..Settings::default() };
    let fleet = (0..nodes).map(|n| Balancer::new(settings(n), seed ^ (u64::from(n) << 20), 0));
    let mut fleet: Vec<Balancer> = fleet.collect();
    let mut due: BinaryHeap<Reverse<(Micros, u32, Due)>> =
        (0..nodes).map(|n| Reverse((WATCH_SILENT_AFTER, n, Due::Silent))).collect();
    let (mut last, mut calls) = (vec![None; nodes as usize], Vec::new());
    let (mut seen, mut notified, mut free) = (Seen::default(), 0, 0);
    let mut recent: VecDeque<Micros> = VecDeque::new();
    while notified < nodes {
        let Reverse((now, n, what)) = due.pop().expect("calls never stop");
        assert!(now < 10 * 60 * S, "seed {seed}, {nodes} proxies, {discovery:?}: {notified} told");
        let event = match what {
            Due::Timer(token) => Event::Timer(token),
            Due::Silent => Event::ListSilent,
            Due::Failed => Event::ListFailed,
            Due::Answered => {
                (notified, seen.all_notified) = (notified + 1, now - discovery.well_from);
                Event::List { full: false, copy: false, entries: Vec::new() }
            }
        };
        let mut out = Vec::new();
        fleet[n as usize].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Timer { after, token } => due.push(Reverse((now + after, n, Due::Timer(token)))),
                Action::WatchList => {
                    let before: Option<Micros> = last[n as usize].replace(now);
                    seen.gap = seen.gap.max(before.map_or(0, |before| now - before));
                    calls.push(now);
                    recent.push_back(now);
                    while recent.front().is_some_and(|at| now - at > S) {
                        recent.pop_front();
                    }
                    seen.busiest = seen.busiest.max(recent.len());
                    seen.calls_to_well += usize::from(now >= discovery.well_from);
                    let (after, what) = if now < discovery.well_from {
                        match discovery.fault {
                            Fault::Refused => (AT_ONCE, Due::Failed),
                            Fault::Waited(wait) => (wait, Due::Failed),
                            Fault::GivenUp(wait) => (wait, Due::Silent),
                        }
                    } else {
                        let begins = free.max(now);
                        if begins - now > discovery.patience {
                            (if discovery.at_once { AT_ONCE } else { discovery.patience }, Due::Failed)
                        } else {
                            free = begins + (S as f64 / discovery.rate) as Micros;
                            (free - now, Due::Answered)
                        }
                    };
                    due.push(Reverse((now + after, n, what)));
                }
                _ => {}
            }
        }
    }
    seen
}

/// Sizes, the rate that discovery was seen to bear at about that size, how long it lets calls wait, and whether it says so at once.
const FLEETS: [(u32, f64, Micros, bool); 5] = [
    (1, 4.0, 800 * MS, true),
    (30, 4.0, 800 * MS, true),
    (300, 75.0, 2 * S, false),
    (440, 75.0, 2 * S, false),
    (440, 110.0, 800 * MS, true),
];

const FAULTS: [Fault; 5] = [
    Fault::Refused,
    Fault::Waited(800 * MS),
    Fault::Waited(2 * S),
    Fault::Waited(3 * S),
    Fault::GivenUp(UNANSWERED_AFTER),
];

/// Whatever became of a call, the next one goes out with a second left of the six.
#[test]
fn next_poll_leaves_a_second_of_six() {
    let mut worst = Vec::new();
    for (nodes, rate, patience, at_once) in FLEETS {
        for fault in FAULTS {
            // From one call that fails to an outage of half a minute.
            for down in [3, 6, 12, 30] {
                for seed in 0..4 {
                    let discovery = Discovery { rate, patience, at_once, fault, well_from: down * S };
                    let seen = play(nodes, discovery, seed);
                    println!("{nodes} proxies, {down} s {fault:?}, seed {seed}: {seen:?}");
                    worst.push((seen.gap, nodes, fault, down, seed));
                }
            }
        }
    }
    for (nodes, ..) in FLEETS {
        let of = worst.iter().filter(|(_, n, ..)| *n == nodes).max_by_key(|(gap, ..)| *gap).unwrap();
        println!("WORST of {nodes}: {of:?}");
    }
    let worst = worst.iter().max_by_key(|(gap, ..)| *gap).unwrap();
    assert!(worst.0 <= NOTIFIED_WITHIN - LEFT, "a gap of {} us: {worst:?}", worst.0);
}

#[test]
fn polling_fleet_does_not_overload_discovery() {
    for (nodes, rate, patience, at_once) in FLEETS {
        for fault in [Fault::Refused, Fault::Waited(2 * S)] {
            for seed in 0..4 {
                let discovery = Discovery { rate, patience, at_once, fault, well_from: 30 * S };
                let seen = play(nodes, discovery, seed);
                let notified =
                    format!("seed {seed}, {nodes} proxies at {rate} a second, {fault:?}: {seen:?}");
                println!("{notified}");
                // One after another it takes so long; and who is rejected at the last comes back within the time for that.
                let least = (f64::from(nodes) / rate * S as f64) as Micros;
                assert!(seen.all_notified <= least * 3 / 2 + NOTIFIED_WITHIN, "{notified}");
                assert!(seen.calls_to_well <= 5 * nodes as usize + 5, "{notified}");
                // A call, and two more after the first two waits, which are short.
                assert!(seen.busiest <= 3 * nodes as usize, "{notified}");
            }
        }
    }
}

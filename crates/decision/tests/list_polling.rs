//! Simulates on virtual time how a whole fleet polls a discovery service that answers calls one after another
//! at a limited rate. No outcome of a call may delay the next one for too long, because a change counts as
//! notified 6 s after discovery had it and could be reached.
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
/// Time after which a change that discovery has counts as notified.
const NOTIFIED_WITHIN: Micros = 6 * S;
/// Part of that time that must be left when the next call goes out.
const MARGIN: Micros = S;
/// Time after which a node must have stopped sending to a server, from when its drain counts as notified.
const STOPS_SENDING_WITHIN: Micros = S;
/// Time after which a call is rejected or reset, if that happens at once.
const REJECTION_DELAY: Micros = 5 * MS;

/// Result of calls while discovery is faulty.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The call is refused, reset, or answered with 503 at once.
    RejectedAtOnce,
    /// The call is answered with 503 after this time.
    RejectedAfter(Micros),
    /// The call is accepted, but its answer is missing, stops after the head, or arrives too slowly. The
    /// proxy gives the call up after this time.
    GivenUpAfter(Micros),
}

#[derive(Clone, Copy, Debug)]
struct Discovery {
    /// Calls per second that discovery answers, one after another.
    rate: f64,
    /// Longest time that a call may wait in the queue. A call that would wait longer is answered with 503.
    max_wait: Micros,
    /// Whether that 503 is sent at once, or after the longest waiting time.
    rejects_at_once: bool,
    fault: Fault,
    /// When the fault ends.
    fault_ends_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Timer(u32),
    Silent,
    Failed,
    Answered,
}

/// When a change of the list counts as notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListMode {
    /// Some time after discovery had it and could be reached.
    OnRequest,
    /// As soon as discovery has it and can be reached.
    Pushed,
}

/// Results of the simulation of a fleet.
#[derive(Debug, Default)]
struct SimulationResult {
    /// Longest time between two consecutive calls of a proxy.
    max_call_gap: Micros,
    /// Time from the end of the fault until all proxies had the list.
    time_to_notify_all: Micros,
    /// Longest time from the end of the fault until a proxy's first call.
    max_time_to_call: Micros,
    /// Number of calls after the end of the fault.
    calls_after_fault: usize,
    /// Number of calls in the busiest second.
    max_calls_in_a_second: usize,
}

/// Simulates a fleet whose watches all receive their last message at time 0, and a discovery that is faulty
/// until `fault_ends_at`.
fn simulate(nodes: u32, mode: ListMode, discovery: Discovery, seed: u64) -> SimulationResult {
    let list_pushed = mode == ListMode::Pushed;
    let settings =
        |ordinal| Settings { ordinal, nodes, list_on_request: true, list_pushed, ..Settings::default() };
    let fleet = (0..nodes).map(|n| Balancer::new(settings(n), seed ^ (u64::from(n) << 20), 0));
    let mut fleet: Vec<Balancer> = fleet.collect();
    let mut schedule: BinaryHeap<Reverse<(Micros, u32, SimEvent)>> =
        (0..nodes).map(|n| Reverse((WATCH_SILENT_AFTER, n, SimEvent::Silent))).collect();
    let (mut last_call, mut calls) = (vec![None; nodes as usize], Vec::new());
    let (mut result, mut notified, mut service_free_at) = (SimulationResult::default(), 0, 0);
    let mut recent: VecDeque<Micros> = VecDeque::new();
    while notified < nodes {
        let Reverse((now, n, sim_event)) = schedule.pop().expect("calls never stop");
        assert!(now < 10 * 60 * S, "seed {seed}, {nodes} proxies, {discovery:?}: {notified} notified");
        let event = match sim_event {
            SimEvent::Timer(token) => Event::Timer(token),
            SimEvent::Silent => Event::ListSilent,
            SimEvent::Failed => Event::ListFailed,
            SimEvent::Answered => {
                (notified, result.time_to_notify_all) = (notified + 1, now - discovery.fault_ends_at);
                Event::List { full: false, copy: false, entries: Vec::new() }
            }
        };
        let mut out = Vec::new();
        fleet[n as usize].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Timer { after, token } => {
                    schedule.push(Reverse((now + after, n, SimEvent::Timer(token))))
                }
                Action::WatchList => {
                    let before: Option<Micros> = last_call[n as usize].replace(now);
                    result.max_call_gap = result.max_call_gap.max(before.map_or(0, |before| now - before));
                    calls.push(now);
                    recent.push_back(now);
                    while recent.front().is_some_and(|at| now - at > S) {
                        recent.pop_front();
                    }
                    result.max_calls_in_a_second = result.max_calls_in_a_second.max(recent.len());
                    result.calls_after_fault += usize::from(now >= discovery.fault_ends_at);
                    if before.is_none_or(|before| before < discovery.fault_ends_at) {
                        result.max_time_to_call = result.max_time_to_call.max(now - discovery.fault_ends_at);
                    }
                    let (after, sim_event) = if now < discovery.fault_ends_at {
                        match discovery.fault {
                            Fault::RejectedAtOnce => (REJECTION_DELAY, SimEvent::Failed),
                            Fault::RejectedAfter(wait) => (wait, SimEvent::Failed),
                            Fault::GivenUpAfter(wait) => (wait, SimEvent::Silent),
                        }
                    } else {
                        let starts_at = service_free_at.max(now);
                        if starts_at - now > discovery.max_wait {
                            (
                                if discovery.rejects_at_once { REJECTION_DELAY } else { discovery.max_wait },
                                SimEvent::Failed,
                            )
                        } else {
                            service_free_at = starts_at + (S as f64 / discovery.rate) as Micros;
                            (service_free_at - now, SimEvent::Answered)
                        }
                    };
                    schedule.push(Reverse((now + after, n, sim_event)));
                }
                _ => {}
            }
        }
    }
    result
}

/// Fleets: the number of proxies, and the rate, `max_wait` and `rejects_at_once` of discovery. The rates are
/// those that discovery was observed to sustain at about that fleet size.
const FLEETS: [(u32, f64, Micros, bool); 5] = [
    (1, 4.0, 800 * MS, true),
    (30, 4.0, 800 * MS, true),
    (300, 75.0, 2 * S, false),
    (440, 75.0, 2 * S, false),
    (440, 110.0, 800 * MS, true),
];

const FAULTS: [Fault; 5] = [
    Fault::RejectedAtOnce,
    Fault::RejectedAfter(800 * MS),
    Fault::RejectedAfter(2 * S),
    Fault::RejectedAfter(3 * S),
    Fault::GivenUpAfter(UNANSWERED_AFTER),
];

/// After any outcome of a call, the next call goes out at least one second before a change counts as
/// notified.
#[test]
fn next_poll_leaves_a_second_of_six() {
    let mut worst = Vec::new();
    for (nodes, rate, max_wait, rejects_at_once) in FLEETS {
        for fault in FAULTS {
            // The outages last from a single failed call to half a minute.
            for down in [3, 6, 12, 30] {
                for seed in 0..4 {
                    let discovery =
                        Discovery { rate, max_wait, rejects_at_once, fault, fault_ends_at: down * S };
                    let result = simulate(nodes, ListMode::OnRequest, discovery, seed);
                    println!("{nodes} proxies, {down} s {fault:?}, seed {seed}: {result:?}");
                    worst.push((result.max_call_gap, nodes, fault, down, seed));
                }
            }
        }
    }
    for (nodes, ..) in FLEETS {
        let largest = worst.iter().filter(|(_, n, ..)| *n == nodes).max_by_key(|(gap, ..)| *gap).unwrap();
        println!("largest gap of {nodes} proxies: {largest:?}");
    }
    let worst = worst.iter().max_by_key(|(gap, ..)| *gap).unwrap();
    assert!(worst.0 <= NOTIFIED_WITHIN - MARGIN, "a gap of {} us: {worst:?}", worst.0);
}

#[test]
fn polling_fleet_does_not_overload_discovery() {
    for (nodes, rate, max_wait, rejects_at_once) in FLEETS {
        for fault in [Fault::RejectedAtOnce, Fault::RejectedAfter(2 * S)] {
            for seed in 0..4 {
                let discovery = Discovery { rate, max_wait, rejects_at_once, fault, fault_ends_at: 30 * S };
                let result = simulate(nodes, ListMode::OnRequest, discovery, seed);
                let context =
                    format!("seed {seed}, {nodes} proxies at {rate} a second, {fault:?}: {result:?}");
                println!("{context}");
                // Discovery needs this time to answer all proxies. A proxy that is rejected last calls again
                // within the usual time.
                let min_time = (f64::from(nodes) / rate * S as f64) as Micros;
                assert!(result.time_to_notify_all <= min_time * 3 / 2 + NOTIFIED_WITHIN, "{context}");
                assert!(result.calls_after_fault <= 5 * nodes as usize + 5, "{context}");
                // Each proxy makes one call, and two more after the first two backoffs, which are short.
                assert!(result.max_calls_in_a_second <= 3 * nodes as usize, "{context}");
            }
        }
    }
}

/// Where lists are pushed, each proxy calls a discovery that is back in time for the drains that it has.
#[test]
fn returned_discovery_of_pushed_lists_is_called_in_time() {
    for (nodes, rate, max_wait, rejects_at_once) in FLEETS {
        // A call that waits for its rejection as discovery returns goes first.
        for (fault, wait) in
            [(Fault::RejectedAtOnce, REJECTION_DELAY), (Fault::RejectedAfter(800 * MS), 800 * MS)]
        {
            for down in [3, 6, 12, 30, 120] {
                for seed in 0..4 {
                    let discovery =
                        Discovery { rate, max_wait, rejects_at_once, fault, fault_ends_at: down * S };
                    let result = simulate(nodes, ListMode::Pushed, discovery, seed);
                    let context = format!("{nodes} proxies, {down} s {fault:?}, seed {seed}: {result:?}");
                    assert!(result.max_time_to_call <= wait + STOPS_SENDING_WITHIN, "{context}");
                }
            }
        }
    }
}

/// Frequent calls of pushed lists are no burst: a proxy makes about one in two thirds of a second, and one that is
/// rejected last calls again within a second.
#[test]
fn polling_fleet_of_pushed_lists_does_not_overload_discovery() {
    for (nodes, rate, max_wait, rejects_at_once) in FLEETS {
        for seed in 0..4 {
            let (fault, fault_ends_at) = (Fault::RejectedAtOnce, 30 * S);
            let discovery = Discovery { rate, max_wait, rejects_at_once, fault, fault_ends_at };
            let result = simulate(nodes, ListMode::Pushed, discovery, seed);
            let context = format!("seed {seed}, {nodes} proxies at {rate} a second: {result:?}");
            println!("{context}");
            let min_time = (f64::from(nodes) / rate * S as f64) as Micros;
            assert!(result.time_to_notify_all <= min_time * 3 / 2 + max_wait + S, "{context}");
            assert!(result.max_calls_in_a_second <= 3 * nodes as usize, "{context}");
            let calls_of_a_proxy = 2 * (result.time_to_notify_all / S + 1) as usize;
            assert!(result.calls_after_fault <= calls_of_a_proxy * nodes as usize, "{context}");
        }
    }
}

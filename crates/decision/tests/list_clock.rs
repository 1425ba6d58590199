//! Measures on virtual time how much of the six seconds after the last message of a silent watch is left when
//! a new watch has answered. Each call to discovery fails or answers after 50 ms.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::list_polling::{WATCH_SILENT_AFTER, silent_after};
use cottonnotch_decision::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Time from a call to its answer or failure.
const CALL_DURATION: Micros = 50 * MS;
/// Time after the last message of a silent watch at which the changes that it misses count as notified.
const NOTIFIED_WITHIN: Micros = 6 * S;
/// Time after that notification from which a withdrawn server must get no new connections.
const GRACE: Micros = S;

fn node(ordinal: u32, nodes: u32, seed: u64) -> Balancer {
    let settings = Settings { ordinal, nodes, list_on_request: true, ..Settings::default() };
    Balancer::new(settings, seed ^ (u64::from(ordinal) << 20), 0)
}

/// Returns when a new watch of the node answers, and the times of its calls. The last message of the old
/// watch was at time 0, and the first `failures` calls fail.
fn simulate_reopening(node: &mut Balancer, failures: usize) -> (Micros, Vec<Micros>) {
    let mut out = Vec::new();
    let mut now = WATCH_SILENT_AFTER;
    let mut calls = Vec::new();
    node.handle(now, Event::ListSilent, &mut out);
    loop {
        let [Action::Timer { after, token }] = out[..] else { panic!("{out:?}") };
        now += after;
        out.clear();
        node.handle(now, Event::Timer(token), &mut out);
        assert_eq!(out[0], Action::WatchList);
        calls.push(now);
        now += CALL_DURATION;
        out.clear();
        if calls.len() > failures {
            return (now, calls);
        }
        node.handle(now, Event::ListFailed, &mut out);
    }
}

#[test]
fn notifies_within_six_seconds_of_silence() {
    for nodes in [2, 100, 300] {
        for failures in 0..=2 {
            let mut worst = 0;
            let mut first = Vec::new();
            for seed in 0..20 {
                for ordinal in 0..nodes {
                    // This is the case of a watch that falls silent right after a heartbeat, which is an
                    // empty line. If it falls silent right before the next heartbeat, 2 s later, that much
                    // more time is left.
                    let (after, calls) = simulate_reopening(&mut node(ordinal, nodes, seed), failures);
                    worst = worst.max(after);
                    first.push(calls[0]);
                }
            }
            let left = NOTIFIED_WITHIN - worst;
            println!(
                "{nodes} nodes, {failures} failed calls: {} ms left after a heartbeat, {} ms before one",
                left / MS,
                left / MS + 2_000
            );
            let wanted = if failures < 2 || nodes == 2 { 0 } else { -GRACE };
            assert!(left > wanted, "{nodes} nodes, {failures} failed: {left}");
            if nodes == 2 {
                assert!(first.iter().all(|at| at - WATCH_SILENT_AFTER < 10 * MS), "two nodes call at once");
            }
        }
    }
}

#[test]
fn polls_after_common_silence_are_spread() {
    for (nodes, most) in [(2, 2), (100, 50), (300, 60)] {
        for seed in 0..10 {
            let mut calls: Vec<Micros> = (0..nodes)
                .map(|ordinal| simulate_reopening(&mut node(ordinal, nodes, seed), 0).1[0])
                .collect();
            calls.sort_unstable();
            let window =
                |i: usize| calls.iter().filter(|at| (calls[i]..calls[i] + 100 * MS).contains(at)).count();
            let peak = (0..calls.len()).map(window).max().unwrap();
            assert!(peak <= most, "seed {seed}, {nodes} nodes: {peak} calls within 100 ms");
        }
    }
}

/// The backoff also applies to a service that answers and then breaks off each time.
#[test]
fn flapping_service_is_polled_with_backoff() {
    let mut node = node(0, 2, 7);
    let (mut now, mut calls, mut out) = (0, 0, Vec::new());
    node.handle(now, Event::ListFailed, &mut out);
    while now < 60 * S {
        let Some(Action::Timer { after, token }) =
            out.iter().find(|a| matches!(a, Action::Timer { .. })).cloned()
        else {
            panic!("{out:?}")
        };
        now += after;
        out.clear();
        node.handle(now, Event::Timer(token), &mut out);
        calls += 1;
        out.clear();
        node.handle(
            now + CALL_DURATION,
            Event::List { full: true, copy: false, entries: Vec::new() },
            &mut out,
        );
        node.handle(now + 2 * CALL_DURATION, Event::ListFailed, &mut out);
        now += 2 * CALL_DURATION;
    }
    assert!((6..=20).contains(&calls), "{calls} calls in a minute");
    // A subscription that lasted resets the count of failures, so the next failure has the shortest backoff.
    node.handle(now, Event::List { full: true, copy: false, entries: Vec::new() }, &mut out);
    out.clear();
    node.handle(now + 3 * S, Event::ListFailed, &mut out);
    assert!(matches!(out[..], [Action::Timer { after, .. }] if after < S), "{out:?}");
}

/// Returns the actions of a node after it has loaded the copy of the list that it starts with.
fn actions_after_start(ordinal: u32, nodes: u32, list_pushed: bool) -> Vec<Action> {
    let polled = Settings { ordinal, nodes, list_on_request: true, ..Settings::default() };
    let settings = Settings { list_pushed, ..polled };
    let mut out = Vec::new();
    let copy = Event::List { full: true, copy: true, entries: Vec::new() };
    Balancer::new(settings, u64::from(ordinal), 0).handle(0, copy, &mut out);
    out
}

#[test]
fn pushed_list_is_polled_at_once() {
    for nodes in [1, 5, 300] {
        for ordinal in 0..nodes {
            let out = actions_after_start(ordinal, nodes, true);
            assert_eq!(out.first(), Some(&Action::WatchList), "{nodes} nodes: {out:?}");
        }
    }
}

#[test]
fn requested_list_is_polled_in_turn_after_joint_start() {
    for nodes in [2_u32, 300] {
        let after = |ordinal| match actions_after_start(ordinal, nodes, false)[..] {
            [Action::Timer { after, .. }] => after,
            ref other => panic!("{other:?}"),
        };
        let calls: Vec<Micros> = (0..nodes).map(after).collect();
        assert!(calls.iter().all(|at| (1..=S).contains(at)), "{calls:?}");
        let together = calls.iter().filter(|at| **at < 100 * MS).count();
        assert!(nodes < 300 || together < 60, "{together} of {nodes} nodes call within 100 ms");
    }
}

/// The first call is repeated soon after a failure, and is given up later if it is not answered.
#[test]
fn first_poll_is_retried() {
    let settings = Settings { nodes: 5, list_on_request: true, list_pushed: true, ..Settings::default() };
    let mut node = Balancer::new(settings, 3, 0);
    let mut out = Vec::new();
    node.handle(0, Event::List { full: true, copy: true, entries: Vec::new() }, &mut out);
    let [Action::WatchList, Action::Timer { after: given_up, token }] = out[..] else { panic!("{out:?}") };
    out.clear();
    node.handle(CALL_DURATION, Event::ListFailed, &mut out);
    let [Action::Timer { after, .. }] = out[..] else { panic!("{out:?}") };
    assert!(after < S && after < given_up, "{after}");
    out.clear();
    node.handle(CALL_DURATION + after, Event::Timer(token), &mut out);
    assert_eq!(out.first(), Some(&Action::WatchList));
}

/// The longer an answer takes, the sooner a watch counts as silent, but never before a heartbeat is overdue.
#[test]
fn slow_answers_shorten_silence() {
    const HEARTBEAT_INTERVAL: Micros = 2 * S;
    assert_eq!(silent_after(0), WATCH_SILENT_AFTER);
    for answer_time in (0..20 * S).step_by(100_000) {
        let silent = silent_after(answer_time);
        assert!((HEARTBEAT_INTERVAL + 200 * MS..=WATCH_SILENT_AFTER).contains(&silent));
        let is_told_in_time = silent + answer_time <= NOTIFIED_WITHIN + GRACE;
        assert!(is_told_in_time || answer_time > 4_750 * MS, "{answer_time}: {silent}");
    }
}

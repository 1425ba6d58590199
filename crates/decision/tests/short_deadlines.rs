//! Deadlines of tens of milliseconds, classes without a target, and idempotency windows that end while a
//! request is queued.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_decision::*;

/// Settings with `classes` classes of this deadline, and a target of half of it.
fn settings_with_deadline(deadline: Micros, classes: usize) -> Settings {
    let short = Class { target: deadline / 2, deadline, ..class(Idempotency::Idempotent) };
    Settings { classes: vec![short; classes], ..settings(Idempotency::Idempotent) }
}

#[test]
fn any_deadline_gets_attempt_and_timely_rejection() {
    for deadline in [10 * MS, 40 * MS, 100 * MS, 300 * MS, S, 2 * S] {
        let mut node = Node::new(settings_with_deadline(deadline, 1), 2);
        let context = format!("deadline {} ms", deadline / MS);
        let (first, timeout) =
            sent(&node.send_request(1, deadline)).unwrap_or_else(|| panic!("{context}: no attempt was made"));
        assert!((1..=deadline / 2).contains(&timeout), "{context}: time-out {timeout}");
        // Half of the client's time has passed, and the other server is healthy.
        node.run_to(node.now + deadline / 2);
        let (second, _) = sent(&node.end_attempt(1, first, Outcome::TimedOut, false))
            .unwrap_or_else(|| panic!("{context}: no second attempt with half of the time left"));
        assert_ne!(first, second, "{context}");
        // The second server is full and there is no other, so the request is answered before the client
        // gives up.
        let gives_up = node.now + deadline / 2;
        node.end_attempt(1, second, Outcome::Full, false);
        node.run_to(gives_up - 1);
        assert!(rejected(&node.actions), "{context}: no answer in time");
    }
}

#[test]
fn queued_request_is_answered_before_deadline() {
    for deadline in [40 * MS, 100 * MS, 300 * MS, S, 60 * S] {
        let mut node = Node::new(settings_with_deadline(deadline, 1), 0);
        let gives_up = node.now + deadline;
        node.send_request(1, deadline);
        node.run_to(gives_up - deadline.min(S) / 100);
        assert!(rejected(&node.actions), "deadline {} ms", deadline / MS);
    }
}

#[test]
fn deadlines_over_a_second_use_full_margins() {
    for deadline in [S, 2 * S, 60 * S] {
        let mut node = Node::new(settings_with_deadline(deadline, 1), 1);
        assert!(sent(&node.send_request(1, 60 * MS)).is_some());
        assert!(rejected(&node.send_request(2, 60 * MS - 1)), "too little time is left for an attempt");
    }
}

#[test]
fn attempt_without_target_gets_half_the_time_left() {
    let without_target = Class { target: 0, ..class(Idempotency::Idempotent) };
    let mut node =
        Node::new(Settings { classes: vec![without_target], ..settings(Idempotency::Idempotent) }, 2);
    assert_eq!(sent(&node.send_request(1, 600 * MS)).expect("sent").1, 300 * MS);
    let unbounded = sent(&node.notify(Event::Request(request(2, None)))).expect("sent");
    assert_eq!(unbounded.1, S);
}

fn keyed(scope: Scope, window: Micros) -> Settings {
    let long = Class { deadline: 30 * S, ..class(Idempotency::Keyed { scope, window }) };
    Settings { classes: vec![long], ..settings(Idempotency::Idempotent) }
}

#[test]
fn queued_retry_is_answered_at_window_end() {
    for (scope, rejectable) in [(Scope::All, true), (Scope::Zone, false), (Scope::Cell, false)] {
        for window in [120 * MS, 380 * MS, 777 * MS] {
            let mut node = Node::new(keyed(scope, window), 1);
            let started_at = node.now;
            let at = sent(&node.send_request(1, 30 * S)).expect("sent").0;
            node.run_to(started_at + 20 * MS);
            assert!(
                sent(&node.end_attempt(1, at, Outcome::Reset, false)).is_none(),
                "the only server is paused"
            );
            node.run_to(started_at + window - 1);
            assert!(
                !rejected(&node.actions) && !failed(&node.actions),
                "{scope:?}, window {window} us: the request was answered while a repeat was still allowed"
            );
            node.run_to(started_at + window + MS);
            let answered = if rejectable { rejected(&node.actions) } else { failed(&node.actions) };
            assert!(
                answered,
                "{scope:?}, window {} ms: the request was queued beyond the window's end",
                window / MS
            );
        }
    }
}

#[test]
fn cell_bound_retry_waits_for_its_cell() {
    // Each cell has two servers. Both servers of the first cell are paused, and those of the other cells
    // are not.
    let mut node = Node::new(keyed(Scope::Cell, 20 * S), 6);
    node.run_to(100 * S + 100 * MS);
    let first = sent(&node.send_request(1, 30 * S)).expect("sent").0;
    let second = sent(&node.end_attempt(1, first, Outcome::Reset, false))
        .expect("the cell's other server gets the retry")
        .0;
    assert_eq!(first.0 / 2, second.0 / 2);
    let earlier_timers = node.timers.len();
    assert!(sent(&node.end_attempt(1, second, Outcome::Full, false)).is_none(), "the request is queued");
    let next_timer = node.timers[earlier_timers..].iter().map(|(at, _)| *at).min();
    assert!(
        next_timer >= Some(101 * S),
        "the queue is not tried again before the pauses end: {next_timer:?}"
    );
}

#[test]
fn cell_bound_retry_stays_in_its_cell() {
    // The server moves to another cell while the attempt is in progress. The servers of its old cell have
    // seen the request's key.
    let mut node = Node::new(keyed(Scope::Cell, 20 * S), 6);
    let at = sent(&node.send_request(1, 30 * S)).expect("sent").0;
    let moved =
        Entry { cell: (at.0 / 2 + 1) % 3, started: Some(node.now), ..entry(at.0, ServerState::Ready) };
    node.notify(Event::List { full: false, copy: false, entries: vec![moved] });
    let next =
        sent(&node.end_attempt(1, at, Outcome::Reset, false)).expect("the old cell has another server").0;
    assert_eq!((at.0 / 2, next != at), (next.0 / 2, true), "from {at:?} to {next:?}");
}

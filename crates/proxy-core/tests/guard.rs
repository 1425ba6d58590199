//! Each rule of the guard, with steps that keep the rule and steps that violate it.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::*;
use cottonnotch_proxy_core::{FinalAnswer, Guard, ListScope, Violation};

const S: Micros = 1_000_000;
const ID: RequestId = RequestId(1);

fn settings(idempotency: Idempotency) -> Settings {
    let class = Class {
        target: 0,
        deadline: 2 * S,
        message_latency_objective: 0,
        attempts: 3,
        idempotency,
        priority_weight: 1.0,
    };
    let tenant = Tenant { allowance_per_s: 0.0, allowance_open: 100.0 };
    Settings {
        nodes: 1,
        classes: vec![class],
        tenants: vec![tenant],
        slow_start_from: 0.3,
        slow_start_window: 10 * S,
        overload_multiple: 3.0,
        overload_window: 2 * S,
        ..Settings::default()
    }
}

fn entry(server: u32, cell: u32, state: ServerState, started: Option<Micros>) -> Entry {
    Entry { server: ServerId(server), digest: 0, state, zone: ZoneId(0), cell, started, weight: 1.0 }
}

fn request(id: u64) -> Request {
    let (class, left) = (ClassId(0), Some(2 * S));
    Request { id: RequestId(id), class, tenant: None, left, load_hint: None, group: None, again: false }
}

/// Creates a guard with two servers, in cells 0 and 1, and one request that arrived at time 0.
fn guard(idempotency: Idempotency) -> Guard {
    let mut guard = Guard::new(settings(idempotency));
    guard.listed(
        0,
        ListScope::Complete,
        &[entry(0, 0, ServerState::Ready, None), entry(1, 1, ServerState::Ready, None)],
    );
    guard.requested(0, &request(1));
    guard
}

#[test]
fn accepts_an_orderly_request() {
    let mut guard = guard(Idempotency::Idempotent);
    guard.check_attempt(1, ID, ServerId(0)).unwrap();
    guard.attempt_written(2, ID).unwrap();
    guard.attempt_ended(ID, Outcome::TimedOut);
    guard.check_attempt(3, ID, ServerId(1)).unwrap();
    guard.established(4, ID).unwrap();
    guard.closed(ID).unwrap();
    guard.requested(5, &request(2));
    guard.answered(6, RequestId(2), FinalAnswer::Rejected).unwrap();
    assert!(guard.finish().is_empty());
    assert!(guard.violations().iter().all(|(_, count)| count == 0));
}

#[test]
fn limits_attempts_to_pending_requests() {
    let mut guard = guard(Idempotency::Idempotent);
    assert_eq!(guard.check_attempt(1, RequestId(9), ServerId(0)), Err(Violation::AttemptWithoutRequest));
    guard.check_attempt(1, ID, ServerId(0)).unwrap();
    assert_eq!(guard.check_attempt(2, ID, ServerId(1)), Err(Violation::ConcurrentAttempt));
    for _ in 0..2 {
        guard.attempt_ended(ID, Outcome::ConnectFailed);
        guard.check_attempt(3, ID, ServerId(1)).unwrap();
    }
    guard.attempt_ended(ID, Outcome::ConnectFailed);
    assert_eq!(guard.check_attempt(4, ID, ServerId(1)), Err(Violation::TooManyAttempts));
    guard.client_left(ID);
    assert_eq!(guard.check_attempt(5, ID, ServerId(1)), Err(Violation::AttemptWithoutRequest));
    assert_eq!(guard.violations().of(Violation::AttemptWithoutRequest), 2);
}

#[test]
fn rejects_attempts_to_stopped_servers() {
    let mut guard = guard(Idempotency::Idempotent);
    guard.listed(1, ListScope::Changes, &[entry(0, 0, ServerState::Draining, None)]);
    assert_eq!(guard.check_attempt(2, ID, ServerId(0)), Err(Violation::AttemptToStoppedServer));
    guard.check_attempt(3, ID, ServerId(1)).unwrap();
    guard.listed(4, ListScope::Complete, &[entry(0, 0, ServerState::Ready, None)]);
    assert_eq!(guard.attempt_written(5, ID), Ok(()), "the attempt was already being sent");
    assert_eq!(
        guard.attempt_written(2 * S, ID),
        Err(Violation::AttemptToStoppedServer),
        "over a second after the list"
    );
}

#[test]
fn limits_retries_by_idempotency() {
    let retry = |idempotency, outcome, server, at| {
        let mut guard = guard(idempotency);
        guard.check_attempt(0, ID, ServerId(0)).unwrap();
        guard.attempt_ended(ID, outcome);
        guard.check_attempt(at, ID, ServerId(server))
    };
    assert_eq!(retry(Idempotency::NotIdempotent, Outcome::Reset, 1, 1), Err(Violation::RetriedNotIdempotent));
    assert_eq!(retry(Idempotency::NotIdempotent, Outcome::Full, 1, 1), Ok(()));
    let keyed = |scope| Idempotency::Keyed { scope, window: S };
    assert_eq!(retry(keyed(Scope::Cell), Outcome::TimedOut, 1, 1), Err(Violation::RetriedOutsideScope));
    assert_eq!(retry(keyed(Scope::Cell), Outcome::TimedOut, 0, S - 1), Ok(()));
    assert_eq!(retry(keyed(Scope::All), Outcome::Error, 1, S), Err(Violation::RetriedAfterWindow));
}

#[test]
fn rejection_requires_a_harmless_retry() {
    let reject = |idempotency, outcome| {
        let mut guard = guard(idempotency);
        guard.check_attempt(0, ID, ServerId(0)).unwrap();
        guard.attempt_ended(ID, outcome);
        guard.answered(1, ID, FinalAnswer::Rejected)
    };
    let zone = Idempotency::Keyed { scope: Scope::Zone, window: S };
    assert_eq!(reject(Idempotency::NotIdempotent, Outcome::Cancelled), Err(Violation::RejectedAfterEffect));
    assert_eq!(reject(zone, Outcome::Reset), Err(Violation::RejectedAfterEffect));
    assert_eq!(reject(zone, Outcome::NotSent), Ok(()));
    assert_eq!(reject(Idempotency::Keyed { scope: Scope::All, window: S }, Outcome::Reset), Ok(()));
}

#[test]
fn requires_one_answer_in_time() {
    let mut guard = guard(Idempotency::Idempotent);
    guard.check_attempt(1, ID, ServerId(0)).unwrap();
    assert_eq!(guard.answered(2, ID, FinalAnswer::Failed), Err(Violation::AnsweredDuringAttempt));
    assert_eq!(guard.answered(3, ID, FinalAnswer::Failed), Err(Violation::AnswerWithoutRequest));
    assert_eq!(guard.established(3, ID), Err(Violation::AnswerWithoutRequest));
    assert_eq!(guard.closed(ID), Err(Violation::ClosedNotEstablished));
    guard.requested(0, &request(2));
    guard.requested(0, &request(3));
    guard.requested(0, &request(4));
    assert!(guard.overdue(2 * S + S / 2).is_empty(), "up to half a second late, a request is not lost");
    assert_eq!(
        guard.answered(2 * S + S / 2 + 1, RequestId(2), FinalAnswer::Failed),
        Err(Violation::AnsweredLate)
    );
    assert_eq!(guard.overdue(3 * S), [RequestId(3), RequestId(4)]);
    assert!(guard.overdue(4 * S).is_empty(), "returned once");
    assert_eq!(guard.answered(4 * S, RequestId(3), FinalAnswer::Failed), Ok(()), "counted before");
    guard.requested(4 * S, &request(5));
    assert_eq!(guard.finish(), [RequestId(5)]);
    assert_eq!(guard.violations().of(Violation::Unanswered), 3);
}

#[test]
fn bounds_attempts_to_a_server_in_slow_start() {
    // Two servers share 100 connections that fill them in 10 s. At 0.3 of its capacity, a server may get 3 x 0.3 x 5 attempts
    // per second, which are 9 in a window of 2 s, and 21 with the margin for random variation.
    for started in [Some(-3600 * S), Some(5 * S), Some(3600 * S)] {
        let mut guard = Guard::new(settings(Idempotency::Idempotent));
        guard.listed(
            0,
            ListScope::Complete,
            &[entry(0, 0, ServerState::Ready, None), entry(1, 1, ServerState::Removed, None)],
        );
        guard.listed(5 * S, ListScope::Changes, &[entry(1, 1, ServerState::Removed, None)]);
        guard.listed(5 * S + 1, ListScope::Changes, &[entry(1, 1, ServerState::Ready, started)]);
        let sent = (0..40).filter(|id| {
            guard.requested(6 * S, &request(100 + id));
            guard.check_attempt(6 * S, RequestId(100 + id), ServerId(1)).is_ok()
        });
        assert!((18..30).contains(&sent.count()), "listed as started at {started:?}");
        assert!(guard.violations().of(Violation::SlowStartOverBudget) > 0);
    }
}

/// A weight that tells the load is no size: an empty server has the share of any other.
#[test]
fn bounds_attempts_in_slow_start_by_size_only() {
    let live = Settings { weights: WeightMeaning::Live, ..settings(Idempotency::Idempotent) };
    let mut guard = Guard::new(live);
    let warm = Entry { weight: 0.1, ..entry(0, 0, ServerState::Ready, None) };
    guard.listed(0, ListScope::Complete, &[warm, entry(1, 1, ServerState::Removed, None)]);
    guard.listed(5 * S, ListScope::Changes, &[entry(1, 1, ServerState::Removed, None)]);
    let cold = Entry { weight: 2.0, ..entry(1, 1, ServerState::Ready, Some(5 * S)) };
    guard.listed(5 * S + 1, ListScope::Changes, &[cold]);
    let sent = (0..60).filter(|id| {
        guard.requested(6 * S, &request(100 + id));
        guard.check_attempt(6 * S, RequestId(100 + id), ServerId(1)).is_ok()
    });
    assert!((18..30).contains(&sent.count()));
}

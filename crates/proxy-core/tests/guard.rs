//! Each rule of the guard, kept and broken.

use cottonnotch_decision::*;
use cottonnotch_proxy_core::{FinalAnswer, Guard, Violation};

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

/// Two servers, of cells 0 and 1, and one request that was taken at 0.
fn guard(idempotency: Idempotency) -> Guard {
    let mut guard = Guard::new(settings(idempotency));
    guard.listed(0, true, &[entry(0, 0, ServerState::Ready, None), entry(1, 1, ServerState::Ready, None)]);
    guard.requested(0, &request(1));
    guard
}

#[test]
fn a_request_that_is_tried_answered_and_closed_in_order_breaks_nothing() {
    let mut guard = guard(Idempotency::Idempotent);
    guard.send(1, ID, ServerId(0)).unwrap();
    guard.written(2, ID).unwrap();
    guard.attempt_ended(ID, Outcome::TimedOut);
    guard.send(3, ID, ServerId(1)).unwrap();
    guard.up(4, ID).unwrap();
    guard.closed(ID).unwrap();
    guard.requested(5, &request(2));
    guard.answered(6, RequestId(2), FinalAnswer::Refused).unwrap();
    assert!(guard.finish().is_empty());
    assert!(guard.violations().all().all(|(_, count)| count == 0));
}

#[test]
fn sending_is_for_requests_that_are_owed_an_answer_one_attempt_at_a_time() {
    let mut guard = guard(Idempotency::Idempotent);
    assert_eq!(guard.send(1, RequestId(9), ServerId(0)), Err(Violation::SentUnowed));
    guard.send(1, ID, ServerId(0)).unwrap();
    assert_eq!(guard.send(2, ID, ServerId(1)), Err(Violation::SecondAttemptOut));
    for _ in 0..2 {
        guard.attempt_ended(ID, Outcome::ConnectFailed);
        guard.send(3, ID, ServerId(1)).unwrap();
    }
    guard.attempt_ended(ID, Outcome::ConnectFailed);
    assert_eq!(guard.send(4, ID, ServerId(1)), Err(Violation::TooManyAttempts));
    guard.client_left(ID);
    assert_eq!(guard.send(5, ID, ServerId(1)), Err(Violation::SentUnowed));
    assert_eq!(guard.violations().of(Violation::SentUnowed), 2);
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_or_is_gone() {
    let mut guard = guard(Idempotency::Idempotent);
    guard.listed(1, false, &[entry(0, 0, ServerState::Draining, None)]);
    assert_eq!(guard.send(2, ID, ServerId(0)), Err(Violation::SentToStopped));
    guard.send(3, ID, ServerId(1)).unwrap();
    guard.listed(4, true, &[entry(0, 0, ServerState::Ready, None)]);
    assert_eq!(guard.written(5, ID), Ok(()), "it was on its way");
    assert_eq!(guard.written(2 * S, ID), Err(Violation::SentToStopped), "over a second after the list");
}

#[test]
fn what_may_have_run_is_repeated_only_as_its_effect_allows() {
    let repeat = |idempotency, outcome, server, at| {
        let mut guard = guard(idempotency);
        guard.send(0, ID, ServerId(0)).unwrap();
        guard.attempt_ended(ID, outcome);
        guard.send(at, ID, ServerId(server))
    };
    assert_eq!(repeat(Idempotency::NotIdempotent, Outcome::Reset, 1, 1), Err(Violation::RepeatedUnsafe));
    assert_eq!(repeat(Idempotency::NotIdempotent, Outcome::Full, 1, 1), Ok(()));
    let keyed = |scope| Idempotency::Keyed { scope, window: S };
    assert_eq!(repeat(keyed(Scope::Cell), Outcome::TimedOut, 1, 1), Err(Violation::RepeatedElsewhere));
    assert_eq!(repeat(keyed(Scope::Cell), Outcome::TimedOut, 0, S - 1), Ok(()));
    assert_eq!(repeat(keyed(Scope::All), Outcome::Error, 1, S), Err(Violation::RepeatedLate));
}

#[test]
fn a_refusal_promises_that_a_repeat_is_harmless() {
    let refuse = |idempotency, outcome| {
        let mut guard = guard(idempotency);
        guard.send(0, ID, ServerId(0)).unwrap();
        guard.attempt_ended(ID, outcome);
        guard.answered(1, ID, FinalAnswer::Refused)
    };
    let zone = Idempotency::Keyed { scope: Scope::Zone, window: S };
    assert_eq!(refuse(Idempotency::NotIdempotent, Outcome::Cancelled), Err(Violation::RefusedAfterEffect));
    assert_eq!(refuse(zone, Outcome::Reset), Err(Violation::RefusedAfterEffect));
    assert_eq!(refuse(zone, Outcome::NotSent), Ok(()));
    assert_eq!(refuse(Idempotency::Keyed { scope: Scope::All, window: S }, Outcome::Reset), Ok(()));
}

#[test]
fn each_request_gets_one_answer_in_its_time_and_none_while_an_attempt_is_out() {
    let mut guard = guard(Idempotency::Idempotent);
    guard.send(1, ID, ServerId(0)).unwrap();
    assert_eq!(guard.answered(2, ID, FinalAnswer::Failed), Err(Violation::AnsweredWhileOut));
    assert_eq!(guard.answered(3, ID, FinalAnswer::Failed), Err(Violation::AnsweredUnowed));
    assert_eq!(guard.up(3, ID), Err(Violation::AnsweredUnowed));
    assert_eq!(guard.closed(ID), Err(Violation::ClosedUnserved));
    guard.requested(0, &request(2));
    guard.requested(0, &request(3));
    guard.requested(0, &request(4));
    assert!(guard.overdue(2 * S + S / 2).is_empty(), "up to half a second late it only earns nothing");
    assert_eq!(
        guard.answered(2 * S + S / 2 + 1, RequestId(2), FinalAnswer::Failed),
        Err(Violation::AnsweredLate)
    );
    assert_eq!(guard.overdue(3 * S), [RequestId(3), RequestId(4)]);
    assert!(guard.overdue(4 * S).is_empty(), "told once");
    assert_eq!(guard.answered(4 * S, RequestId(3), FinalAnswer::Failed), Ok(()), "counted before");
    guard.requested(4 * S, &request(5));
    assert_eq!(guard.finish(), [RequestId(5)]);
    assert_eq!(guard.violations().of(Violation::Unanswered), 3);
}

#[test]
fn a_cold_server_gets_no_more_from_one_proxy_than_all_may_send_whatever_its_start_is_told_to_be() {
    // Two servers share 100 connections that fill them in 10 s: at 0.3 of its capacity a server bears 3 x 0.3 x 5 a second,
    // 9 in a window of 2 s, and 21 with chance.
    for told in [Some(-3600 * S), Some(5 * S), Some(3600 * S)] {
        let mut guard = Guard::new(settings(Idempotency::Idempotent));
        guard.listed(
            0,
            true,
            &[entry(0, 0, ServerState::Ready, None), entry(1, 1, ServerState::Removed, None)],
        );
        guard.listed(5 * S, false, &[entry(1, 1, ServerState::Removed, None)]);
        guard.listed(5 * S + 1, false, &[entry(1, 1, ServerState::Ready, told)]);
        let sent = (0..40).filter(|id| {
            guard.requested(6 * S, &request(100 + id));
            guard.send(6 * S, RequestId(100 + id), ServerId(1)).is_ok()
        });
        assert!((18..30).contains(&sent.count()), "told to have started at {told:?}");
        assert!(guard.violations().of(Violation::ColdOverBudget) > 0);
    }
}

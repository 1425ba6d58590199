//! For each rule, traces that violate this rule only, and the same traces without the fault, which pass.

use crate::fixtures::{RequestIds, Trace, assert_passes, assert_violates, established, judge, request_ids};
use cottonnotch_kit::judge::Rule;
use cottonnotch_kit::observation::{
    Answer, AttemptEnd, ClientClose, Condition, MisbehaviorOutcome, NodeAnswer, ProxyClose, Seen, Signal,
};
use cottonnotch_kit::plan::Phase;
use cottonnotch_kit::plan::{NodeId, ProxyId, SessionId};

fn is_end(seen: &Seen) -> bool {
    matches!(seen, Seen::Left { .. } | Seen::AttemptOver { .. })
}

#[test]
fn one_final_answer() {
    let (good, ids) = established();
    assert_passes(&good);
    let verdict = assert_violates(Rule::OneFinalAnswer, good.clone().answered(1011.0, ids, Answer::Busy(0)));
    let text = verdict.to_string();
    for part in ["one-final-answer", "0000000000000001", "node-0", "n0", "BUSY", "1.011", "| "] {
        assert!(text.contains(part), "no '{part}' in {text}");
    }

    let mut refused = Trace::default();
    refused.rejected(1000.0, ids);
    assert_passes(&refused);
    // No answer: the proxy closes the connection, or keeps it open until the client gives up or the run ends.
    let unanswered = refused.without(|s| matches!(s, Seen::Answered { .. }));
    assert_violates(Rule::OneFinalAnswer, &unanswered);
    let silent = unanswered.without(|s| matches!(s, Seen::Ended { .. }));
    assert_violates(Rule::OneFinalAnswer, &silent);
    assert_violates(Rule::OneFinalAnswer, silent.clone().client_closed(2070.0, ids, ClientClose::GaveUp));
    // A late answer, an answer within the slack, and an attempt after the final answer.
    assert_violates(Rule::OneFinalAnswer, silent.clone().answered(2060.0, ids, Answer::Busy(0)));
    assert_passes(silent.clone().answered(2057.9, ids, Answer::Busy(0)));
    let more = ids.with_attempt(1, 1);
    assert_violates(
        Rule::OneFinalAnswer,
        refused.clone().attempt(1100.0, more).node_answers(1101.0, more, NodeAnswer::Busy),
    );
}

#[test]
fn invented_answer() {
    let (good, ids) = established();
    let other = request_ids(2, 0, 1);
    let forged = good.without(|s| matches!(s, Seen::Answered { .. }));
    assert_violates(Rule::InventedAnswer, forged.clone().answered(1010.0, ids, Answer::Up(99)));
    // The receipt of another request, and a receipt that the render node issues too late.
    let mut two = forged.clone();
    two.up(900.0, other).client_done(9000.0, other).answered(1010.0, ids, Answer::Up(other.receipt()));
    assert_violates(Rule::InventedAnswer, &two);
    let is_node_answer = |s: &Seen| matches!(s, Seen::AttemptAnswered { .. });
    let early =
        forged.without(is_node_answer).clone().answered(1010.0, ids, Answer::Up(ids.receipt())).clone();
    assert_violates(
        Rule::InventedAnswer,
        early.clone().node_answers(1070.0, ids, NodeAnswer::Up(ids.receipt())),
    );
    // The render node's observation is late but within the grace time.
    assert_passes(early.clone().node_answers(1050.0, ids, NodeAnswer::Up(ids.receipt())));
}

#[test]
fn overlapping_and_excess_attempts() {
    let (good, ids) = established();
    let copy = ids.with_attempt(1, 1);
    assert_violates(
        Rule::TwoAttempts,
        good.clone().attempt(1005.0, copy).attempt_ended(1200.0, copy, AttemptEnd::ByProxy),
    );
    // The earlier attempt's end is observed 40 ms late, within the grace time, and then beyond it.
    assert_passes(good.clone().attempt(970.0, copy).attempt_ended(1040.0, copy, AttemptEnd::ByProxy));
    assert_violates(
        Rule::TwoAttempts,
        good.clone().attempt(970.0, copy).attempt_ended(1060.0, copy, AttemptEnd::ByProxy),
    );
    // The end of an attempt can't be observed at a vanished machine.
    let mut vanished = good.clone();
    vanished.attempt(950.0, copy).condition(960.0, 1, Condition::Vanished);
    assert_passes(&vanished);
    assert_passes(good.clone().attempt(950.0, copy).condition(960.0, 1, Condition::Down));

    let mut many_attempts = good.clone();
    for n in 0..2 {
        let (t, at) = (ids.with_attempt(n + 1, 1), 1000.1 + f64::from(n) * 0.2);
        many_attempts.attempt(at, t).node_answers(at + 0.1, t, NodeAnswer::Busy);
    }
    assert_passes(&many_attempts);
    let t = ids.with_attempt(3, 1);
    assert_violates(
        Rule::TooManyAttempts,
        many_attempts.attempt(1000.7, t).node_answers(1000.8, t, NodeAnswer::Error),
    );
}

#[test]
fn send_after_drain() {
    let drain = |at: f64, phase| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).listed(900.0, 0, phase).notified(1000.0, 0, 0, phase);
        trace.rejected(at, request_ids(1, 0, 0));
        trace
    };
    assert_passes(&drain(2048.0, Phase::Draining));
    assert_violates(Rule::SendAfterDrain, &drain(2060.0, Phase::Draining));
    assert_violates(Rule::SendAfterDrain, &drain(2060.0, Phase::Removed));
    // A proxy that was not notified may send; so may one that was notified that the render node is back.
    let mut other = drain(100.0, Phase::Draining);
    other.watching(0.0, 1, true).rejected(2060.0, request_ids(2, 1, 0));
    assert_passes(&other);
    assert_passes(drain(3100.0, Phase::Draining).listed(3000.0, 0, Phase::Up).notified(
        3050.0,
        0,
        0,
        Phase::Up,
    ));
    // Without a notification the change is presumed known after 6 s in which discovery is reachable.
    let not_notified = |at: f64| {
        let mut trace = drain(at, Phase::Draining).without(|s| matches!(s, Seen::Told { .. }));
        trace.watching(500.0, 0, true);
        trace
    };
    assert_passes(&not_notified(7900.0));
    assert_violates(Rule::SendAfterDrain, &not_notified(8000.0));
    // A change that was presumed known stays known when discovery becomes unreachable.
    assert_violates(
        Rule::SendAfterDrain,
        &not_notified(8000.0).with(7000.0, Seen::DiscoveryUp { up: false }),
    );
    let mut down = not_notified(8000.0);
    down.add(3000.0, Seen::DiscoveryUp { up: false }).add(5000.0, Seen::DiscoveryUp { up: true });
    assert_passes(&down);
    down.rejected(12_100.0, request_ids(2, 0, 0));
    assert_violates(Rule::SendAfterDrain, &down);
}

#[test]
fn unwatched_proxy_is_presumed_notified() {
    // Discovery is unreachable, so only the time without a watch counts: 40 s instead of 10 s, since polls are assumed
    // to have failed.
    let sent_at = |at: f64| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).watching(100.0, 0, false).add(200.0, Seen::DiscoveryUp { up: false });
        trace.listed(900.0, 0, Phase::Removed).rejected(at, request_ids(1, 0, 0));
        trace
    };
    assert_passes(&sent_at(41_100.0));
    assert_violates(Rule::SendAfterDrain, &sent_at(41_200.0));
    // A restarted proxy knows only the list of its first watch.
    let mut restarted = Trace::default();
    restarted.watching(0.0, 0, true).listed(900.0, 0, Phase::Removed).notified(1000.0, 0, 0, Phase::Removed);
    restarted.signal(3000.0, 0, Signal::Kill).exited(3001.0, 0, None).started(3500.0, 0);
    assert_passes(restarted.rejected(4900.0, request_ids(1, 0, 0)));
    restarted.watching(5000.0, 0, true).rejected(6040.0, request_ids(2, 0, 0));
    assert_passes(&restarted);
    assert_violates(Rule::SendAfterDrain, restarted.rejected(6060.0, request_ids(3, 0, 0)));
}

#[test]
fn slow_start_budget() {
    // The budget of the first 2 s is 3 x 5 x 0.4 x 2 = 12 attempts, and 4 for chance.
    let flood = |n: u64, notified: bool| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).watching(0.0, 1, true).condition(500.0, 3, Condition::Down);
        trace.slow_start(1000.0, 3).listed(1050.0, 3, Phase::Up);
        if notified {
            trace.notified(1060.0, 0, 3, Phase::Up);
        }
        for i in 0..n {
            trace.rejected(1100.0 + i as f64, request_ids(i + 1, 0, 3));
        }
        trace
    };
    assert_passes(&flood(16, true));
    assert_violates(Rule::SlowStartBudget, &flood(18, true));
    // No proxy is at fault if more than a third of the attempts came from a proxy that was not notified.
    assert_passes(&flood(18, false));
    let mixed = |n: u64| {
        let mut trace = flood(20, true);
        for i in 0..n {
            trace.rejected(1060.0 + i as f64, request_ids(100 + i, 1, 3));
        }
        trace
    };
    assert_violates(Rule::SlowStartBudget, &mixed(9));
    assert_passes(&mixed(13));
    // An overload without an exceeded budget is a violation; with an exceeded budget it is part of the same violation.
    let overloaded = |trace: Trace| trace.with(1300.0, Seen::Fell { node: NodeId(3) });
    assert_violates(Rule::SlowStartBudget, &overloaded(flood(9, true)));
    assert_violates(Rule::SlowStartBudget, &overloaded(flood(30, true)));
    assert_passes(&overloaded(flood(9, false)));
}

#[test]
fn cut_without_move() {
    let (good, ids) = established();
    let open = good.without(is_end);
    let mut cut = open.clone();
    assert_violates(
        Rule::CutWithoutMove,
        cut.proxy_closed(20_000.0, ids).attempt_ended(20_001.0, ids, AttemptEnd::ByProxy),
    );
    assert_passes(cut.clone().moved(19_999.0, ids));
    assert_violates(Rule::CutWithoutMove, cut.clone().client_closed(20_002.0, ids, ClientClose::Dropped));
    assert_passes(cut.clone().client_closed(20_002.0, ids, ClientClose::Done));
    // The proxy ends only the render node's side. That is permitted if the client's own close follows.
    assert_violates(Rule::CutWithoutMove, open.clone().attempt_ended(20_000.0, ids, AttemptEnd::ByProxy));
    assert_passes(open.clone().attempt_ended(20_000.0, ids, AttemptEnd::ByProxy).client_closed(
        21_000.0,
        ids,
        ClientClose::Done,
    ));
    // The connection was moved; the end of the render node's side is observed before the client's `MOVE`.
    assert_passes(
        open.clone()
            .attempt_ended(20_000.0, ids, AttemptEnd::ByProxy)
            .moved(20_000.1, ids)
            .proxy_closed(20_000.2, ids),
    );
    // The render node ended the connection (observed 30 ms late), its process ended, or it hung.
    assert_passes(open.clone().proxy_closed(20_000.0, ids).attempt_ended(20_030.0, ids, AttemptEnd::Bye));
    assert_passes(open.clone().proxy_closed(20_000.0, ids).condition(20_030.0, 0, Condition::Down));
    assert_passes(cut.clone().condition(19_500.0, 0, Condition::Hung));
    // The render node hung, but had recovered long before the cut.
    let mut recovered = cut.clone();
    recovered.condition(18_500.0, 0, Condition::Hung).condition(18_600.0, 0, Condition::Sound);
    assert_violates(Rule::CutWithoutMove, &recovered);
    // The link between this proxy and the render node was cut.
    assert_passes(&cut.with(19_000.0, Seen::Reach { proxy: ProxyId(0), node: NodeId(0), on: false }));
}

#[test]
fn line_delayed() {
    let (good, ids) = established();
    let at_node = |s: &Seen| matches!(s, Seen::LineAtNode { line: 4, .. });
    let back = |s: &Seen| matches!(s, Seen::LineBack { line: 4, .. });
    assert_violates(Rule::LineDelayed, &good.without(at_node));
    assert_violates(Rule::LineDelayed, &good.without(back));
    assert_passes(&good.without(back).with(11_040.0, Seen::LineBack { request: ids.request, line: 4 }));
    assert_violates(
        Rule::LineDelayed,
        &good.without(back).with(11_060.0, Seen::LineBack { request: ids.request, line: 4 }),
    );
    // The line's arrival is observed before its departure.
    assert_passes(&good.without(at_node).with(9999.9, Seen::LineAtNode { attempt: ids.attempt, line: 4 }));
    // The client has closed the connection, or the render node does not read.
    assert_passes(good.without(is_end).without(at_node).client_closed(10_900.0, ids, ClientClose::Dropped));
    let mut hung = good.without(at_node);
    assert_passes(hung.condition(10_500.0, 0, Condition::Hung).condition(13_000.0, 0, Condition::Sound));
}

#[test]
fn ended_connection_open() {
    let (good, ids) = established();
    let open = good.without(is_end);
    for over in [AttemptEnd::Bye, AttemptEnd::Move, AttemptEnd::Cut] {
        assert_passes(open.clone().attempt_ended(20_000.0, ids, over).proxy_closed(21_040.0, ids));
        assert_violates(
            Rule::EndedConnectionOpen,
            open.clone().attempt_ended(20_000.0, ids, over).proxy_closed(21_060.0, ids),
        );
    }
    assert_passes(open.clone().attempt_ended(20_000.0, ids, AttemptEnd::Cut).moved(21_040.0, ids));
    assert_violates(
        Rule::EndedConnectionOpen,
        open.clone().condition(20_000.0, 0, Condition::Down).proxy_closed(21_060.0, ids),
    );
    // A vanished machine resets no connection until it is back.
    let mut vanished = open.clone();
    vanished.condition(20_000.0, 0, Condition::Vanished).slow_start(23_000.0, 0);
    assert_passes(vanished.clone().proxy_closed(24_000.0, ids));
    assert_passes(vanished.clone().condition(20_100.0, 0, Condition::Down).proxy_closed(24_000.0, ids));
    assert_violates(Rule::EndedConnectionOpen, &vanished);
}

#[test]
fn silent_connection_open() {
    let (good, ids) = established();
    let open = good.without(is_end);
    for condition in [Condition::Hung, Condition::Vanished] {
        let mut hung = open.clone();
        hung.condition(20_000.0, 0, condition)
            .add(21_000.0, Seen::LineSent { request: ids.request, line: 50 });
        assert_violates(Rule::SilentConnectionOpen, &hung);
        assert_violates(Rule::SilentConnectionOpen, hung.clone().proxy_closed(28_060.0, ids));
        assert_passes(hung.clone().proxy_closed(28_040.0, ids));
        assert_passes(hung.clone().moved(28_040.0, ids));
        // A line was sent before the silence began: the time limit starts with the silence.
        let mut late = open.clone();
        late.add(19_000.0, Seen::LineSent { request: ids.request, line: 50 })
            .condition(23_000.0, 0, condition);
        late.add(19_000.0, Seen::LineAtNode { attempt: ids.attempt, line: 50 });
        assert_passes(late.clone().proxy_closed(30_040.0, ids));
        assert_violates(Rule::SilentConnectionOpen, &late);
        // The render node recovers in time and returns the line.
        let mut recovered = hung.clone();
        recovered.add(26_000.0, Seen::LineReturned { attempt: ids.attempt, line: 50 });
        recovered.add(26_001.0, Seen::LineBack { request: ids.request, line: 50 });
        recovered.add(26_000.0, Seen::LineAtNode { attempt: ids.attempt, line: 50 });
        assert_passes(recovered.condition(25_999.0, 0, Condition::Sound));
    }
}

#[test]
fn misbehaving_clients() {
    let mut good = Trace::default();
    good.misbehaving_client(1000.0, 0, 0).misbehaving_client_answered(3040.0, 0, MisbehaviorOutcome::Error);
    assert_passes(&good);
    let open = good.without(|s| matches!(s, Seen::RudeOver { .. }));
    assert_violates(Rule::MisbehavingClientUnanswered, &open);
    assert_violates(
        Rule::MisbehavingClientUnanswered,
        open.clone().misbehaving_client_answered(3060.0, 0, MisbehaviorOutcome::Closed),
    );
    assert_violates(
        Rule::MisbehavingClientServed,
        open.clone().misbehaving_client_answered(1500.0, 0, MisbehaviorOutcome::Served),
    );
    // A render node serves the client: its first line there, with a new id or a stolen one, is part of the same fault.
    let (stray, (mut established, ids)) = (request_ids(77, 0, 2), established());
    let mut served = Trace::default();
    let asks = Seen::RudeAsked { rude: 2, request: stray.request, proxy: stray.proxy };
    served.misbehaving_client(1000.0, 2, 0).add(1000.1, asks);
    served.attempt(1001.0, stray).node_answers(1009.0, stray, NodeAnswer::Up(5));
    assert_passes(served.clone().misbehaving_client_answered(1900.0, 2, MisbehaviorOutcome::Error));
    assert_violates(
        Rule::MisbehavingClientServed,
        served.misbehaving_client_answered(1900.0, 2, MisbehaviorOutcome::Served),
    );
    established.misbehaving_client(5000.0, 1, 0).attempt(5001.0, ids.with_attempt(1, 2));
    assert_violates(
        Rule::MisbehavingClientServed,
        established.misbehaving_client_answered(5005.0, 1, MisbehaviorOutcome::Served),
    );
}

#[test]
fn bad_first_line() {
    let (good, ids) = established();
    let line = "OPEN x".to_owned();
    assert_violates(
        Rule::BadFirstLine,
        &good.with(500.0, Seen::BadFirstLine { node: NodeId(0), proxy: ProxyId(0), line }),
    );
    let stray = request_ids(77, 0, 2);
    assert_violates(
        Rule::BadFirstLine,
        good.clone().attempt(5000.0, stray).node_answers(5001.0, stray, NodeAnswer::Busy),
    );
    // The client sent the request to another proxy.
    assert_violates(
        Rule::BadFirstLine,
        good.clone().attempt(1005.0, RequestIds { proxy: ProxyId(1), ..ids.with_attempt(1, 2) }),
    );
    // The id is correct, and the key belongs to another session or to none.
    for session in [Some(SessionId(40)), None] {
        let at = |s: &Seen| matches!(s, Seen::Attempt { .. });
        let mut changed = good.without(at);
        let (attempt, request, proxy) = (ids.attempt, ids.request, ids.proxy);
        changed.add(1000.5, Seen::Attempt { attempt, request, session, proxy, first_byte: 1_000_400 });
        assert_violates(Rule::BadFirstLine, &changed);
    }
    // The attempt is observed before the submission.
    let mut early = good.without(|s| matches!(s, Seen::Asked { .. }));
    assert_passes(early.submitted(1020.0, ids));
}

#[test]
fn processes() {
    let (good, ids) = established();
    let closed_at = |t: &Trace, at| {
        t.without(is_end).clone().attempt_ended(at, ids, AttemptEnd::ByProxy).proxy_closed(at, ids).clone()
    };
    // A crash ends the connections of the proxy, which is part of the same fault.
    assert_violates(Rule::ProxyCrashed, closed_at(&good, 5000.0).exited(5100.0, 0, Some(101)));
    assert_violates(
        Rule::ProxyCrashed,
        good.clone().signal(30_000.0, 0, Signal::Reload).exited(30_100.0, 0, Some(0)),
    );
    assert_violates(
        Rule::ProxyCrashed,
        good.clone().signal(30_000.0, 0, Signal::Terminate).exited(31_000.0, 0, Some(2)),
    );
    assert_passes(good.clone().signal(30_000.0, 0, Signal::Terminate).exited(31_000.0, 0, Some(0)));
    let mut draining = good.clone();
    draining.signal(30_000.0, 0, Signal::Terminate);
    assert_violates(Rule::ShutdownOverrun, &draining);
    assert_violates(
        Rule::ShutdownOverrun,
        draining.clone().signal(33_700.0, 0, Signal::Kill).exited(33_701.0, 0, None),
    );
    assert_passes(draining.clone().exited(33_600.0, 0, Some(0)));
    // The end of the connections at SIGKILL is part of the overrun; a cut before SIGKILL is a violation of its own.
    let (mut in_flight, ids) = established();
    in_flight = in_flight.without(is_end);
    in_flight
        .signal(10_000.0, 0, Signal::Terminate)
        .signal(13_760.0, 0, Signal::Kill)
        .exited(13_761.0, 0, None);
    assert_violates(
        Rule::ShutdownOverrun,
        in_flight.clone().proxy_closed(13_761.0, ids).attempt_ended(13_762.0, ids, AttemptEnd::ByProxy),
    );
    let mut both = in_flight;
    let verdict = judge(both.proxy_closed(13_000.0, ids).attempt_ended(13_001.0, ids, AttemptEnd::ByProxy));
    assert_eq!(
        (verdict.violation_count(Rule::ShutdownOverrun), verdict.violation_count(Rule::CutWithoutMove)),
        (1, 1),
        "{verdict}"
    );
    // After SIGTERM nothing is excused.
    let mut terminated = closed_at(&good, 5000.0);
    assert_violates(
        Rule::CutWithoutMove,
        terminated.signal(4000.0, 0, Signal::Terminate).exited(5001.0, 0, Some(0)),
    );
    let datagram = |bytes| Seen::Datagram { from: ProxyId(0), to: ProxyId(1), bytes };
    assert_passes(&good.with(5.0, datagram(256)));
    assert_violates(Rule::OversizedDatagram, &good.with(5.0, datagram(257)));
    let line = "M 7 other".to_owned();
    assert_violates(
        Rule::LineChanged,
        &good.with(5.0, Seen::Garbled { request: request_ids(0, 0, 1).request, line }),
    );
}

#[test]
fn kill_excuses_only_requests_in_flight() {
    let (good, ids) = established();
    let mut killed = good.without(is_end);
    killed.signal(5000.0, 0, Signal::Kill).exited(5020.0, 0, None).started(8000.0, 0);
    let (in_flight, late, next, other) =
        (request_ids(2, 0, 1), request_ids(3, 0, 1), request_ids(4, 0, 1), request_ids(5, 1, 1));
    let reset = |trace: &mut Trace, at: f64, ids: RequestIds| {
        trace.add(at, Seen::Ended { request: ids.request, how: ProxyClose::Reset });
    };
    reset(&mut killed, 5005.0, ids);
    killed.submitted(4990.0, in_flight).submitted(5060.0, late);
    reset(&mut killed, 5006.0, in_flight);
    reset(&mut killed, 5061.0, late);
    assert_passes(&killed);
    // Not excused: requests that were lost before the signal, on another proxy, in the next incarnation, or submitted
    // long after the exit.
    let lost = |asked: f64, ended: f64, ids: RequestIds| {
        let mut trace = killed.clone();
        trace.submitted(asked, ids);
        reset(&mut trace, ended, ids);
        assert_violates(Rule::OneFinalAnswer, &trace);
    };
    lost(4900.0, 4995.0, next);
    lost(4990.0, 5006.0, other);
    lost(8100.0, 8106.0, next);
    lost(5200.0, 5206.0, next);
    // The deadline had passed before the kill, and the client gave up afterwards.
    assert_violates(
        Rule::OneFinalAnswer,
        killed.clone().submitted(3900.0, next).client_closed(5010.0, next, ClientClose::GaveUp),
    );
    // Not excused: connections that were cut before the signal, or on another proxy.
    let mut cut = killed.clone();
    assert_violates(Rule::CutWithoutMove, cut.up(2000.0, next).proxy_closed(4999.0, next));
    let mut cut = killed.clone();
    assert_violates(Rule::CutWithoutMove, cut.up(2000.0, other).proxy_closed(5005.0, other));
}

#[test]
fn client_close_ends_obligation() {
    let ids = request_ids(1, 0, 0);
    let mut open = Trace::default();
    open.submitted(1000.0, ids);
    assert_passes(open.clone().client_closed(1500.0, ids, ClientClose::Impatient));
    assert_passes(open.clone().client_closed(1500.0, ids, ClientClose::Dropped));
    assert_passes(open.clone().client_closed(2000.0, ids, ClientClose::GaveUp));
    assert_violates(Rule::OneFinalAnswer, open.clone().client_closed(2060.0, ids, ClientClose::GaveUp));
    // The client gives up within a millisecond of the answer, whichever is observed first.
    assert_passes(open.clone().client_closed(2060.0, ids, ClientClose::GaveUp).answered(
        2060.4,
        ids,
        Answer::Busy(0),
    ));
    assert_passes(open.clone().answered(2060.0, ids, Answer::Busy(0)).client_closed(
        2060.4,
        ids,
        ClientClose::GaveUp,
    ));
    assert_passes(open.clone().answered(2060.0, ids, Answer::Busy(0)).client_closed(
        2060.0,
        ids,
        ClientClose::GaveUp,
    ));
    assert_violates(
        Rule::OneFinalAnswer,
        open.clone().answered(2060.0, ids, Answer::Busy(0)).client_closed(2064.0, ids, ClientClose::GaveUp),
    );
}

#[test]
fn end_of_run_judges_only_passed_deadlines() {
    let ids = request_ids(1, 0, 0);
    let mut open = Trace::default();
    open.submitted(59_000.0, ids);
    assert_passes(&open);
    let mut established = Trace::default();
    established
        .up(50_000.0, ids)
        .attempt_ended(59_500.0, ids, AttemptEnd::Cut)
        .add(59_600.0, Seen::LineSent { request: ids.request, line: 0 });
    assert_passes(established.misbehaving_client(58_500.0, 0, 0));
    open.submitted(58_000.0, request_ids(2, 0, 0));
    assert_violates(Rule::OneFinalAnswer, &open);
    // Observations after the end of the plan are not judged.
    established.proxy_closed(60_500.0, ids).exited(60_600.0, 0, Some(9));
    assert_passes(&established);
}

#[test]
fn late_kit_voids_run() {
    use cottonnotch_kit::judge::Outcome;
    let (mut bad, ids) = established();
    bad.answered(1011.0, ids, Answer::Busy(0));
    let lag = |trace: &Trace, n: usize, late: i64| {
        let mut trace = trace.clone();
        for i in 0..1000 {
            trace.add(i as f64, Seen::Lag { late: if i < n { late } else { 100 } });
        }
        judge(&trace).outcome
    };
    assert_eq!(lag(&bad, 10, 240_000), Outcome::Failed);
    assert_eq!(lag(&bad, 11, 21_000), Outcome::Void);
    assert_eq!(lag(&bad, 1, 251_000), Outcome::Void);
    assert_eq!(lag(&established().0, 1, 251_000), Outcome::Void);
}

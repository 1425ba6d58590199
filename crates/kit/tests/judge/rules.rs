//! For each rule, traces that violate this rule only, and the same traces without the fault, which pass.

use crate::fixtures::{Exchange, Trace, assert_passes, assert_violates, established, exchange, judge};
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
    let (good, w) = established();
    assert_passes(&good);
    let verdict = assert_violates(Rule::OneFinalAnswer, good.clone().answered(1011.0, w, Answer::Busy(0)));
    let text = verdict.to_string();
    for part in ["one-final-answer", "0000000000000001", "node-0", "n0", "BUSY", "1.011", "| "] {
        assert!(text.contains(part), "no '{part}' in {text}");
    }

    let mut refused = Trace::default();
    refused.rejected(1000.0, w);
    assert_passes(&refused);
    // No answer: the proxy closes the connection, or keeps it open until the client gives up or the run ends.
    let unanswered = refused.without(|s| matches!(s, Seen::Answered { .. }));
    assert_violates(Rule::OneFinalAnswer, &unanswered);
    let silent = unanswered.without(|s| matches!(s, Seen::Ended { .. }));
    assert_violates(Rule::OneFinalAnswer, &silent);
    assert_violates(Rule::OneFinalAnswer, silent.clone().client_closed(2070.0, w, ClientClose::GaveUp));
    // A late answer, an answer within the slack, and an attempt after the final answer.
    assert_violates(Rule::OneFinalAnswer, silent.clone().answered(2060.0, w, Answer::Busy(0)));
    assert_passes(silent.clone().answered(2057.9, w, Answer::Busy(0)));
    let more = w.with_attempt(1, 1);
    assert_violates(
        Rule::OneFinalAnswer,
        refused.clone().attempt(1100.0, more).node_answers(1101.0, more, NodeAnswer::Busy),
    );
}

#[test]
fn invented_answer() {
    let (good, w) = established();
    let other = exchange(2, 0, 1);
    let forged = good.without(|s| matches!(s, Seen::Answered { .. }));
    assert_violates(Rule::InventedAnswer, forged.clone().answered(1010.0, w, Answer::Up(99)));
    // The receipt of another request, and a receipt that the render node issues too late.
    let mut two = forged.clone();
    two.up(900.0, other).client_done(9000.0, other).answered(1010.0, w, Answer::Up(other.receipt()));
    assert_violates(Rule::InventedAnswer, &two);
    let says = |s: &Seen| matches!(s, Seen::AttemptAnswered { .. });
    let early = forged.without(says).clone().answered(1010.0, w, Answer::Up(w.receipt())).clone();
    assert_violates(Rule::InventedAnswer, early.clone().node_answers(1070.0, w, NodeAnswer::Up(w.receipt())));
    // The render node's observation is late but within the grace time.
    assert_passes(early.clone().node_answers(1050.0, w, NodeAnswer::Up(w.receipt())));
}

#[test]
fn overlapping_and_excess_attempts() {
    let (good, w) = established();
    let copy = w.with_attempt(1, 1);
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

    let mut attempt_count = good.clone();
    for n in 0..2 {
        let (t, at) = (w.with_attempt(n + 1, 1), 1000.1 + f64::from(n) * 0.2);
        attempt_count.attempt(at, t).node_answers(at + 0.1, t, NodeAnswer::Busy);
    }
    assert_passes(&attempt_count);
    let t = w.with_attempt(3, 1);
    assert_violates(
        Rule::TooManyAttempts,
        attempt_count.attempt(1000.7, t).node_answers(1000.8, t, NodeAnswer::Error),
    );
}

#[test]
fn send_after_drain() {
    let drain = |at: f64, phase| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).listed(900.0, 0, phase).notified(1000.0, 0, 0, phase);
        trace.rejected(at, exchange(1, 0, 0));
        trace
    };
    assert_passes(&drain(2048.0, Phase::Draining));
    assert_violates(Rule::SendAfterDrain, &drain(2060.0, Phase::Draining));
    assert_violates(Rule::SendAfterDrain, &drain(2060.0, Phase::Removed));
    // A proxy that was not notified may send; so may one that was notified that the render node is back.
    let mut other = drain(100.0, Phase::Draining);
    other.watching(0.0, 1, true).rejected(2060.0, exchange(2, 1, 0));
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
    down.rejected(12_100.0, exchange(2, 0, 0));
    assert_violates(Rule::SendAfterDrain, &down);
}

#[test]
fn unwatched_proxy_is_presumed_notified() {
    // Discovery is unreachable, so only the time without a watch counts: 40 s instead of 10 s, since polls are assumed
    // to have failed.
    let at = |at: f64| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).watching(100.0, 0, false).add(200.0, Seen::DiscoveryUp { up: false });
        trace.listed(900.0, 0, Phase::Removed).rejected(at, exchange(1, 0, 0));
        trace
    };
    assert_passes(&at(41_100.0));
    assert_violates(Rule::SendAfterDrain, &at(41_200.0));
    // A restarted proxy knows only the list of its first watch.
    let mut anew = Trace::default();
    anew.watching(0.0, 0, true).listed(900.0, 0, Phase::Removed).notified(1000.0, 0, 0, Phase::Removed);
    anew.signal(3000.0, 0, Signal::Kill).exited(3001.0, 0, None).started(3500.0, 0);
    assert_passes(anew.rejected(4900.0, exchange(1, 0, 0)));
    anew.watching(5000.0, 0, true).rejected(6040.0, exchange(2, 0, 0));
    assert_passes(&anew);
    assert_violates(Rule::SendAfterDrain, anew.rejected(6060.0, exchange(3, 0, 0)));
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
            trace.rejected(1100.0 + i as f64, exchange(i + 1, 0, 3));
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
            trace.rejected(1060.0 + i as f64, exchange(100 + i, 1, 3));
        }
        trace
    };
    assert_violates(Rule::SlowStartBudget, &mixed(9));
    assert_passes(&mixed(13));
    // An overload without an exceeded budget is a violation; with an exceeded budget it is part of the same violation.
    let fell = |trace: Trace| trace.with(1300.0, Seen::Fell { node: NodeId(3) });
    assert_violates(Rule::SlowStartBudget, &fell(flood(9, true)));
    assert_violates(Rule::SlowStartBudget, &fell(flood(30, true)));
    assert_passes(&fell(flood(9, false)));
}

#[test]
fn cut_without_move() {
    let (good, w) = established();
    let open = good.without(is_end);
    let mut cut = open.clone();
    assert_violates(
        Rule::CutWithoutMove,
        cut.proxy_closed(20_000.0, w).attempt_ended(20_001.0, w, AttemptEnd::ByProxy),
    );
    assert_passes(cut.clone().moved(19_999.0, w));
    assert_violates(Rule::CutWithoutMove, cut.clone().client_closed(20_002.0, w, ClientClose::Dropped));
    assert_passes(cut.clone().client_closed(20_002.0, w, ClientClose::Done));
    // The proxy ends only the render node's side. That is permitted if the client's own close follows.
    assert_violates(Rule::CutWithoutMove, open.clone().attempt_ended(20_000.0, w, AttemptEnd::ByProxy));
    assert_passes(open.clone().attempt_ended(20_000.0, w, AttemptEnd::ByProxy).client_closed(
        21_000.0,
        w,
        ClientClose::Done,
    ));
    // The connection was moved; the end of the render node's side is observed before the client's `MOVE`.
    assert_passes(
        open.clone()
            .attempt_ended(20_000.0, w, AttemptEnd::ByProxy)
            .moved(20_000.1, w)
            .proxy_closed(20_000.2, w),
    );
    // The render node ended the connection (observed 30 ms late), its process ended, or it hung.
    assert_passes(open.clone().proxy_closed(20_000.0, w).attempt_ended(20_030.0, w, AttemptEnd::Bye));
    assert_passes(open.clone().proxy_closed(20_000.0, w).condition(20_030.0, 0, Condition::Down));
    assert_passes(cut.clone().condition(19_500.0, 0, Condition::Hung));
    // The render node hung, but had recovered long before the cut.
    let mut again = cut.clone();
    again.condition(18_500.0, 0, Condition::Hung).condition(18_600.0, 0, Condition::Sound);
    assert_violates(Rule::CutWithoutMove, &again);
    // The link between this proxy and the render node was cut.
    assert_passes(&cut.with(19_000.0, Seen::Reach { proxy: ProxyId(0), node: NodeId(0), on: false }));
}

#[test]
fn line_delayed() {
    let (good, w) = established();
    let at_node = |s: &Seen| matches!(s, Seen::LineAtNode { line: 4, .. });
    let back = |s: &Seen| matches!(s, Seen::LineBack { line: 4, .. });
    assert_violates(Rule::LineDelayed, &good.without(at_node));
    assert_violates(Rule::LineDelayed, &good.without(back));
    assert_passes(&good.without(back).with(11_040.0, Seen::LineBack { request: w.request, line: 4 }));
    assert_violates(
        Rule::LineDelayed,
        &good.without(back).with(11_060.0, Seen::LineBack { request: w.request, line: 4 }),
    );
    // The line's arrival is observed before its departure.
    assert_passes(&good.without(at_node).with(9999.9, Seen::LineAtNode { attempt: w.attempt, line: 4 }));
    // The client has closed the connection, or the render node does not read.
    assert_passes(good.without(is_end).without(at_node).client_closed(10_900.0, w, ClientClose::Dropped));
    let mut hung = good.without(at_node);
    assert_passes(hung.condition(10_500.0, 0, Condition::Hung).condition(13_000.0, 0, Condition::Sound));
}

#[test]
fn ended_connection_open() {
    let (good, w) = established();
    let open = good.without(is_end);
    for over in [AttemptEnd::Bye, AttemptEnd::Move, AttemptEnd::Cut] {
        assert_passes(open.clone().attempt_ended(20_000.0, w, over).proxy_closed(21_040.0, w));
        assert_violates(
            Rule::EndedConnectionOpen,
            open.clone().attempt_ended(20_000.0, w, over).proxy_closed(21_060.0, w),
        );
    }
    assert_passes(open.clone().attempt_ended(20_000.0, w, AttemptEnd::Cut).moved(21_040.0, w));
    assert_violates(
        Rule::EndedConnectionOpen,
        open.clone().condition(20_000.0, 0, Condition::Down).proxy_closed(21_060.0, w),
    );
    // A vanished machine resets no connection until it is back.
    let mut gone = open.clone();
    gone.condition(20_000.0, 0, Condition::Vanished).slow_start(23_000.0, 0);
    assert_passes(gone.clone().proxy_closed(24_000.0, w));
    assert_passes(gone.clone().condition(20_100.0, 0, Condition::Down).proxy_closed(24_000.0, w));
    assert_violates(Rule::EndedConnectionOpen, &gone);
}

#[test]
fn silent_connection_open() {
    let (good, w) = established();
    let open = good.without(is_end);
    for condition in [Condition::Hung, Condition::Vanished] {
        let mut hung = open.clone();
        hung.condition(20_000.0, 0, condition).add(21_000.0, Seen::LineSent { request: w.request, line: 50 });
        assert_violates(Rule::SilentConnectionOpen, &hung);
        assert_violates(Rule::SilentConnectionOpen, hung.clone().proxy_closed(28_060.0, w));
        assert_passes(hung.clone().proxy_closed(28_040.0, w));
        assert_passes(hung.clone().moved(28_040.0, w));
        // A line was sent before the silence began: the time limit starts with the silence.
        let mut late = open.clone();
        late.add(19_000.0, Seen::LineSent { request: w.request, line: 50 }).condition(23_000.0, 0, condition);
        late.add(19_000.0, Seen::LineAtNode { attempt: w.attempt, line: 50 });
        assert_passes(late.clone().proxy_closed(30_040.0, w));
        assert_violates(Rule::SilentConnectionOpen, &late);
        // The render node recovers in time and returns the line.
        let mut back = hung.clone();
        back.add(26_000.0, Seen::LineReturned { attempt: w.attempt, line: 50 });
        back.add(26_001.0, Seen::LineBack { request: w.request, line: 50 });
        back.add(26_000.0, Seen::LineAtNode { attempt: w.attempt, line: 50 });
        assert_passes(back.condition(25_999.0, 0, Condition::Sound));
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
    let (stray, (mut established, w)) = (exchange(77, 0, 2), established());
    let mut served = Trace::default();
    let asks = Seen::RudeAsked { rude: 2, request: stray.request, proxy: stray.proxy };
    served.misbehaving_client(1000.0, 2, 0).add(1000.1, asks);
    served.attempt(1001.0, stray).node_answers(1009.0, stray, NodeAnswer::Up(5));
    assert_passes(served.clone().misbehaving_client_answered(1900.0, 2, MisbehaviorOutcome::Error));
    assert_violates(
        Rule::MisbehavingClientServed,
        served.misbehaving_client_answered(1900.0, 2, MisbehaviorOutcome::Served),
    );
    established.misbehaving_client(5000.0, 1, 0).attempt(5001.0, w.with_attempt(1, 2));
    assert_violates(
        Rule::MisbehavingClientServed,
        established.misbehaving_client_answered(5005.0, 1, MisbehaviorOutcome::Served),
    );
}

#[test]
fn bad_first_line() {
    let (good, w) = established();
    let line = "OPEN x".to_owned();
    assert_violates(
        Rule::BadFirstLine,
        &good.with(500.0, Seen::BadFirstLine { node: NodeId(0), proxy: ProxyId(0), line }),
    );
    let stray = exchange(77, 0, 2);
    assert_violates(
        Rule::BadFirstLine,
        good.clone().attempt(5000.0, stray).node_answers(5001.0, stray, NodeAnswer::Busy),
    );
    // The client sent the request to another proxy.
    assert_violates(
        Rule::BadFirstLine,
        good.clone().attempt(1005.0, Exchange { proxy: ProxyId(1), ..w.with_attempt(1, 2) }),
    );
    // The id is correct, and the key belongs to another session or to none.
    for session in [Some(SessionId(40)), None] {
        let at = |s: &Seen| matches!(s, Seen::Attempt { .. });
        let mut changed = good.without(at);
        let (attempt, request, proxy) = (w.attempt, w.request, w.proxy);
        changed.add(1000.5, Seen::Attempt { attempt, request, session, proxy, first_byte: 1_000_400 });
        assert_violates(Rule::BadFirstLine, &changed);
    }
    // The attempt is observed before the submission.
    let mut early = good.without(|s| matches!(s, Seen::Asked { .. }));
    assert_passes(early.submitted(1020.0, w));
}

#[test]
fn processes() {
    let (good, w) = established();
    let closed_at = |t: &Trace, at| {
        t.without(is_end).clone().attempt_ended(at, w, AttemptEnd::ByProxy).proxy_closed(at, w).clone()
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
    let (mut in_flight, w) = established();
    in_flight = in_flight.without(is_end);
    in_flight
        .signal(10_000.0, 0, Signal::Terminate)
        .signal(13_760.0, 0, Signal::Kill)
        .exited(13_761.0, 0, None);
    assert_violates(
        Rule::ShutdownOverrun,
        in_flight.clone().proxy_closed(13_761.0, w).attempt_ended(13_762.0, w, AttemptEnd::ByProxy),
    );
    let mut both = in_flight;
    let verdict = judge(both.proxy_closed(13_000.0, w).attempt_ended(13_001.0, w, AttemptEnd::ByProxy));
    assert_eq!(
        (verdict.violation_count(Rule::ShutdownOverrun), verdict.violation_count(Rule::CutWithoutMove)),
        (1, 1),
        "{verdict}"
    );
    // After SIGTERM nothing is excused.
    let mut left = closed_at(&good, 5000.0);
    assert_violates(
        Rule::CutWithoutMove,
        left.signal(4000.0, 0, Signal::Terminate).exited(5001.0, 0, Some(0)),
    );
    let size = |bytes| Seen::Datagram { from: ProxyId(0), to: ProxyId(1), bytes };
    assert_passes(&good.with(5.0, size(256)));
    assert_violates(Rule::OversizedDatagram, &good.with(5.0, size(257)));
    let line = "M 7 other".to_owned();
    assert_violates(
        Rule::LineChanged,
        &good.with(5.0, Seen::Garbled { request: exchange(0, 0, 1).request, line }),
    );
}

#[test]
fn kill_excuses_only_requests_in_flight() {
    let (good, w) = established();
    let mut killed = good.without(is_end);
    killed.signal(5000.0, 0, Signal::Kill).exited(5020.0, 0, None).started(8000.0, 0);
    let (in_flight, late, next, other) =
        (exchange(2, 0, 1), exchange(3, 0, 1), exchange(4, 0, 1), exchange(5, 1, 1));
    let reset = |trace: &mut Trace, at: f64, w: Exchange| {
        trace.add(at, Seen::Ended { request: w.request, how: ProxyClose::Reset });
    };
    reset(&mut killed, 5005.0, w);
    killed.submitted(4990.0, in_flight).submitted(5060.0, late);
    reset(&mut killed, 5006.0, in_flight);
    reset(&mut killed, 5061.0, late);
    assert_passes(&killed);
    // Not excused: requests that were lost before the signal, on another proxy, in the next incarnation, or submitted
    // long after the exit.
    let lost = |asked: f64, ended: f64, w: Exchange| {
        let mut trace = killed.clone();
        trace.submitted(asked, w);
        reset(&mut trace, ended, w);
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
    let w = exchange(1, 0, 0);
    let mut open = Trace::default();
    open.submitted(1000.0, w);
    assert_passes(open.clone().client_closed(1500.0, w, ClientClose::Impatient));
    assert_passes(open.clone().client_closed(1500.0, w, ClientClose::Dropped));
    assert_passes(open.clone().client_closed(2000.0, w, ClientClose::GaveUp));
    assert_violates(Rule::OneFinalAnswer, open.clone().client_closed(2060.0, w, ClientClose::GaveUp));
    // The client gives up within a millisecond of the answer, whichever is observed first.
    assert_passes(open.clone().client_closed(2060.0, w, ClientClose::GaveUp).answered(
        2060.4,
        w,
        Answer::Busy(0),
    ));
    assert_passes(open.clone().answered(2060.0, w, Answer::Busy(0)).client_closed(
        2060.4,
        w,
        ClientClose::GaveUp,
    ));
    assert_passes(open.clone().answered(2060.0, w, Answer::Busy(0)).client_closed(
        2060.0,
        w,
        ClientClose::GaveUp,
    ));
    assert_violates(
        Rule::OneFinalAnswer,
        open.clone().answered(2060.0, w, Answer::Busy(0)).client_closed(2064.0, w, ClientClose::GaveUp),
    );
}

#[test]
fn end_of_run_judges_only_passed_deadlines() {
    let w = exchange(1, 0, 0);
    let mut open = Trace::default();
    open.submitted(59_000.0, w);
    assert_passes(&open);
    let mut established = Trace::default();
    established
        .up(50_000.0, w)
        .attempt_ended(59_500.0, w, AttemptEnd::Cut)
        .add(59_600.0, Seen::LineSent { request: w.request, line: 0 });
    assert_passes(established.misbehaving_client(58_500.0, 0, 0));
    open.submitted(58_000.0, exchange(2, 0, 0));
    assert_violates(Rule::OneFinalAnswer, &open);
    // Observations after the end of the plan are not judged.
    established.proxy_closed(60_500.0, w).exited(60_600.0, 0, Some(9));
    assert_passes(&established);
}

#[test]
fn late_kit_voids_run() {
    use cottonnotch_kit::judge::Outcome;
    let (mut bad, w) = established();
    bad.answered(1011.0, w, Answer::Busy(0));
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

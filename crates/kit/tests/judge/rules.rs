//! For each rule a trace that breaks it and only it, and the same trace without the fault, which passes.

use crate::stage::{Trace, Who, breaks, judge, passes, standing, who};
use cottonnotch_kit::judge::Rule;
use cottonnotch_kit::observation::{Answer, Condition, End, Left, NodeAnswer, Over, RudeEnd, Seen, Signal};
use cottonnotch_kit::plan::Phase;
use cottonnotch_kit::plan::{NodeId, ProxyId, SessionId};

fn is_end(seen: &Seen) -> bool {
    matches!(seen, Seen::Left { .. } | Seen::AttemptOver { .. })
}

#[test]
fn one_final_answer() {
    let (good, w) = standing();
    passes(&good);
    let verdict = breaks(Rule::OneFinalAnswer, good.clone().answered(1011.0, w, Answer::Busy(0)));
    let text = verdict.to_string();
    for part in ["one-final-answer", "0000000000000001", "node-0", "n0", "BUSY", "1.011", "| "] {
        assert!(text.contains(part), "no '{part}' in {text}");
    }

    let mut refused = Trace::default();
    refused.refused(1000.0, w);
    passes(&refused);
    // Dropped: closed, or kept until the client gave up, or until the end of the run.
    let unanswered = refused.without(|s| matches!(s, Seen::Answered { .. }));
    breaks(Rule::OneFinalAnswer, &unanswered);
    let silent = unanswered.without(|s| matches!(s, Seen::Ended { .. }));
    breaks(Rule::OneFinalAnswer, &silent);
    breaks(Rule::OneFinalAnswer, silent.clone().left(2070.0, w, Left::GaveUp));
    // Late, and still at work after the answer.
    breaks(Rule::OneFinalAnswer, silent.clone().answered(2060.0, w, Answer::Busy(0)));
    passes(silent.clone().answered(2057.9, w, Answer::Busy(0)));
    let more = w.again(1, 1);
    breaks(
        Rule::OneFinalAnswer,
        refused.clone().attempt(1100.0, more).node_says(1101.0, more, NodeAnswer::Busy),
    );
}

#[test]
fn invented_answer() {
    let (good, w) = standing();
    let other = who(2, 0, 1);
    let forged = good.without(|s| matches!(s, Seen::Answered { .. }));
    breaks(Rule::InventedAnswer, forged.clone().answered(1010.0, w, Answer::Up(99)));
    // Another request's, and one that the render node gave only later.
    let mut two = forged.clone();
    two.up(900.0, other).done(9000.0, other).answered(1010.0, w, Answer::Up(other.receipt()));
    breaks(Rule::InventedAnswer, &two);
    let says = |s: &Seen| matches!(s, Seen::AttemptAnswered { .. });
    let early = forged.without(says).clone().answered(1010.0, w, Answer::Up(w.receipt())).clone();
    breaks(Rule::InventedAnswer, early.clone().node_says(1070.0, w, NodeAnswer::Up(w.receipt())));
    // Noted late by the render node's thread.
    passes(early.clone().node_says(1050.0, w, NodeAnswer::Up(w.receipt())));
}

#[test]
fn two_attempts_and_too_many() {
    let (good, w) = standing();
    let copy = w.again(1, 1);
    breaks(Rule::TwoAttempts, good.clone().attempt(1005.0, copy).over(1200.0, copy, Over::ByProxy));
    // Ended before, and noted 40 ms late by another thread.
    passes(good.clone().attempt(970.0, copy).over(1040.0, copy, Over::ByProxy));
    breaks(Rule::TwoAttempts, good.clone().attempt(970.0, copy).over(1060.0, copy, Over::ByProxy));
    // At a machine that has vanished nothing can be seen to end.
    let mut vanished = good.clone();
    vanished.attempt(950.0, copy).condition(960.0, 1, Condition::Vanished);
    passes(&vanished);
    passes(good.clone().attempt(950.0, copy).condition(960.0, 1, Condition::Down));

    let mut tries = good.clone();
    for n in 0..2 {
        let (t, at) = (w.again(n + 1, 1), 1000.1 + f64::from(n) * 0.2);
        tries.attempt(at, t).node_says(at + 0.1, t, NodeAnswer::Busy);
    }
    passes(&tries);
    let t = w.again(3, 1);
    breaks(Rule::TooManyAttempts, tries.attempt(1000.7, t).node_says(1000.8, t, NodeAnswer::Error));
}

#[test]
fn send_after_drain() {
    let drain = |at: f64, phase| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).listed(900.0, 0, phase).told(1000.0, 0, 0, phase);
        trace.refused(at, who(1, 0, 0));
        trace
    };
    passes(&drain(2048.0, Phase::Draining));
    breaks(Rule::SendAfterDrain, &drain(2060.0, Phase::Draining));
    breaks(Rule::SendAfterDrain, &drain(2060.0, Phase::Removed));
    // Another proxy was told nothing; then this one is told that it is back.
    let mut other = drain(100.0, Phase::Draining);
    other.watching(0.0, 1, true).refused(2060.0, who(2, 1, 0));
    passes(&other);
    passes(drain(3100.0, Phase::Draining).listed(3000.0, 0, Phase::Up).told(3050.0, 0, 0, Phase::Up));
    // Not told at all: counts as told after 6 s in which discovery can be reached.
    let untold = |at: f64| {
        let mut trace = drain(at, Phase::Draining).without(|s| matches!(s, Seen::Told { .. }));
        trace.watching(500.0, 0, true);
        trace
    };
    passes(&untold(7900.0));
    breaks(Rule::SendAfterDrain, &untold(8000.0));
    // What counted as told stays so when discovery goes.
    breaks(Rule::SendAfterDrain, &untold(8000.0).with(7000.0, Seen::DiscoveryUp { up: false }));
    let mut down = untold(8000.0);
    down.add(3000.0, Seen::DiscoveryUp { up: false }).add(5000.0, Seen::DiscoveryUp { up: true });
    passes(&down);
    down.refused(12_100.0, who(2, 0, 0));
    breaks(Rule::SendAfterDrain, &down);
}

#[test]
fn without_a_watch_a_proxy_counts_as_told_in_time() {
    // Discovery is gone, so nothing else counts: 10 s without a watch, but 40 s as calls will have failed.
    let at = |at: f64| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).watching(100.0, 0, false).add(200.0, Seen::DiscoveryUp { up: false });
        trace.listed(900.0, 0, Phase::Removed).refused(at, who(1, 0, 0));
        trace
    };
    passes(&at(41_100.0));
    breaks(Rule::SendAfterDrain, &at(41_200.0));
    // A new life knows only what its first watch told it.
    let mut anew = Trace::default();
    anew.watching(0.0, 0, true).listed(900.0, 0, Phase::Removed).told(1000.0, 0, 0, Phase::Removed);
    anew.signal(3000.0, 0, Signal::Kill).exited(3001.0, 0, None).started(3500.0, 0);
    passes(anew.refused(4900.0, who(1, 0, 0)));
    anew.watching(5000.0, 0, true).refused(6040.0, who(2, 0, 0));
    passes(&anew);
    breaks(Rule::SendAfterDrain, anew.refused(6060.0, who(3, 0, 0)));
}

#[test]
fn cold_budget() {
    // It bears 3 x 5 x 0.4 x 2 = 12 within the first 2 s, and 4 for chance.
    let flood = |n: u64, told: bool| {
        let mut trace = Trace::default();
        trace.watching(0.0, 0, true).watching(0.0, 1, true).condition(500.0, 3, Condition::Down);
        trace.cold_start(1000.0, 3).listed(1050.0, 3, Phase::Up);
        if told {
            trace.told(1060.0, 0, 3, Phase::Up);
        }
        for i in 0..n {
            trace.refused(1100.0 + i as f64, who(i + 1, 0, 3));
        }
        trace
    };
    passes(&flood(16, true));
    breaks(Rule::SlowStartBudget, &flood(18, true));
    // Nobody's fault, if more than a third came from a proxy that was not told.
    passes(&flood(18, false));
    let mixed = |n: u64| {
        let mut trace = flood(20, true);
        for i in 0..n {
            trace.refused(1060.0 + i as f64, who(100 + i, 1, 3));
        }
        trace
    };
    breaks(Rule::SlowStartBudget, &mixed(9));
    passes(&mixed(13));
    // Falling is a break of its own when no window is over, and the same one when it is.
    let fell = |trace: Trace| trace.with(1300.0, Seen::Fell { node: NodeId(3) });
    breaks(Rule::SlowStartBudget, &fell(flood(9, true)));
    breaks(Rule::SlowStartBudget, &fell(flood(30, true)));
    passes(&fell(flood(9, false)));
}

#[test]
fn cut_without_move() {
    let (good, w) = standing();
    let open = good.without(is_end);
    let mut cut = open.clone();
    breaks(Rule::CutWithoutMove, cut.ended(20_000.0, w).over(20_001.0, w, Over::ByProxy));
    passes(cut.clone().moved(19_999.0, w));
    breaks(Rule::CutWithoutMove, cut.clone().left(20_002.0, w, Left::Dropped));
    passes(cut.clone().left(20_002.0, w, Left::Done));
    // Only the render node's side is ended; the client's own end may follow it.
    breaks(Rule::CutWithoutMove, open.clone().over(20_000.0, w, Over::ByProxy));
    passes(open.clone().over(20_000.0, w, Over::ByProxy).left(21_000.0, w, Left::Done));
    // Moved: the render node's thread noted its side's end before the client's noted the word.
    passes(open.clone().over(20_000.0, w, Over::ByProxy).moved(20_000.1, w).ended(20_000.2, w));
    // The render node ended it (noted 30 ms late), died, or did not answer.
    passes(open.clone().ended(20_000.0, w).over(20_030.0, w, Over::Bye));
    passes(open.clone().ended(20_000.0, w).condition(20_030.0, 0, Condition::Down));
    passes(cut.clone().condition(19_500.0, 0, Condition::Hung));
    // Silent once, and sound for long.
    let mut again = cut.clone();
    again.condition(18_500.0, 0, Condition::Hung).condition(18_600.0, 0, Condition::Sound);
    breaks(Rule::CutWithoutMove, &again);
    // Cut off from this one proxy.
    passes(&cut.with(19_000.0, Seen::Reach { proxy: ProxyId(0), node: NodeId(0), on: false }));
}

#[test]
fn line_held() {
    let (good, w) = standing();
    let at_node = |s: &Seen| matches!(s, Seen::LineAtNode { line: 4, .. });
    let back = |s: &Seen| matches!(s, Seen::LineBack { line: 4, .. });
    breaks(Rule::LineDelayed, &good.without(at_node));
    breaks(Rule::LineDelayed, &good.without(back));
    passes(&good.without(back).with(11_040.0, Seen::LineBack { request: w.request, line: 4 }));
    breaks(
        Rule::LineDelayed,
        &good.without(back).with(11_060.0, Seen::LineBack { request: w.request, line: 4 }),
    );
    // Noted by the render node before the client has noted that it sent it.
    passes(&good.without(at_node).with(9999.9, Seen::LineAtNode { attempt: w.attempt, line: 4 }));
    // One end is gone, or the render node doesn't read.
    passes(good.without(is_end).without(at_node).left(10_900.0, w, Left::Dropped));
    let mut hung = good.without(at_node);
    passes(hung.condition(10_500.0, 0, Condition::Hung).condition(13_000.0, 0, Condition::Sound));
}

#[test]
fn ended_kept() {
    let (good, w) = standing();
    let open = good.without(is_end);
    for over in [Over::Bye, Over::Move, Over::Cut] {
        passes(open.clone().over(20_000.0, w, over).ended(21_040.0, w));
        breaks(Rule::EndedConnectionKept, open.clone().over(20_000.0, w, over).ended(21_060.0, w));
    }
    passes(open.clone().over(20_000.0, w, Over::Cut).moved(21_040.0, w));
    breaks(
        Rule::EndedConnectionKept,
        open.clone().condition(20_000.0, 0, Condition::Down).ended(21_060.0, w),
    );
    // A machine that is gone says nothing, until it is back.
    let mut gone = open.clone();
    gone.condition(20_000.0, 0, Condition::Vanished).cold_start(23_000.0, 0);
    passes(gone.clone().ended(24_000.0, w));
    passes(gone.clone().condition(20_100.0, 0, Condition::Down).ended(24_000.0, w));
    breaks(Rule::EndedConnectionKept, &gone);
}

#[test]
fn silent_kept() {
    let (good, w) = standing();
    let open = good.without(is_end);
    for condition in [Condition::Hung, Condition::Vanished] {
        let mut hung = open.clone();
        hung.condition(20_000.0, 0, condition).add(21_000.0, Seen::LineSent { request: w.request, line: 50 });
        breaks(Rule::SilentConnectionKept, &hung);
        breaks(Rule::SilentConnectionKept, hung.clone().ended(28_060.0, w));
        passes(hung.clone().ended(28_040.0, w));
        passes(hung.clone().moved(28_040.0, w));
        // A line that was late before the silence began: the clock runs from there.
        let mut late = open.clone();
        late.add(19_000.0, Seen::LineSent { request: w.request, line: 50 }).condition(23_000.0, 0, condition);
        late.add(19_000.0, Seen::LineAtNode { attempt: w.attempt, line: 50 });
        passes(late.clone().ended(30_040.0, w));
        breaks(Rule::SilentConnectionKept, &late);
        // It came to itself in time, and returns the line.
        let mut back = hung.clone();
        back.add(26_000.0, Seen::LineReturned { attempt: w.attempt, line: 50 });
        back.add(26_001.0, Seen::LineBack { request: w.request, line: 50 });
        back.add(26_000.0, Seen::LineAtNode { attempt: w.attempt, line: 50 });
        passes(back.condition(25_999.0, 0, Condition::Sound));
    }
}

#[test]
fn rude_clients() {
    let mut good = Trace::default();
    good.rude(1000.0, 0, 0).rude_over(3040.0, 0, RudeEnd::Error);
    passes(&good);
    let open = good.without(|s| matches!(s, Seen::RudeOver { .. }));
    breaks(Rule::MisbehavingClientUnanswered, &open);
    breaks(Rule::MisbehavingClientUnanswered, open.clone().rude_over(3060.0, 0, RudeEnd::Closed));
    breaks(Rule::MisbehavingClientServed, open.clone().rude_over(1500.0, 0, RudeEnd::Served));
    // Served by a render node: the first line there is part of the same fault, for an unheard id and a stolen one.
    let (stray, (mut standing, w)) = (who(77, 0, 2), standing());
    let mut served = Trace::default();
    let asks = Seen::RudeAsked { rude: 2, request: stray.request, proxy: stray.proxy };
    served.rude(1000.0, 2, 0).add(1000.1, asks);
    served.attempt(1001.0, stray).node_says(1009.0, stray, NodeAnswer::Up(5));
    passes(served.clone().rude_over(1900.0, 2, RudeEnd::Error));
    breaks(Rule::MisbehavingClientServed, served.rude_over(1900.0, 2, RudeEnd::Served));
    standing.rude(5000.0, 1, 0).attempt(5001.0, w.again(1, 2));
    breaks(Rule::MisbehavingClientServed, standing.rude_over(5005.0, 1, RudeEnd::Served));
}

#[test]
fn bad_first_line() {
    let (good, w) = standing();
    let line = "OPEN x".to_owned();
    breaks(
        Rule::BadFirstLine,
        &good.with(500.0, Seen::BadFirstLine { node: NodeId(0), proxy: ProxyId(0), line }),
    );
    let stray = who(77, 0, 2);
    breaks(
        Rule::BadFirstLine,
        good.clone().attempt(5000.0, stray).node_says(5001.0, stray, NodeAnswer::Busy),
    );
    // Another proxy's request.
    breaks(Rule::BadFirstLine, good.clone().attempt(1005.0, Who { proxy: ProxyId(1), ..w.again(1, 2) }));
    // The id is right and the key is another session's, or nobody's.
    for session in [Some(SessionId(40)), None] {
        let at = |s: &Seen| matches!(s, Seen::Attempt { .. });
        let mut changed = good.without(at);
        let (attempt, request, proxy) = (w.attempt, w.request, w.proxy);
        changed.add(1000.5, Seen::Attempt { attempt, request, session, proxy, first_byte: 1_000_400 });
        breaks(Rule::BadFirstLine, &changed);
    }
    // Noted by the render node before the client has noted that it asked.
    let mut early = good.without(|s| matches!(s, Seen::Asked { .. }));
    passes(early.asked(1020.0, w));
}

#[test]
fn processes() {
    let (good, w) = standing();
    let ended = |t: &Trace, at| t.without(is_end).clone().over(at, w, Over::ByProxy).ended(at, w).clone();
    // A crash takes its connections with it, which is one fault.
    breaks(Rule::ProxyCrashed, ended(&good, 5000.0).exited(5100.0, 0, Some(101)));
    breaks(Rule::ProxyCrashed, good.clone().signal(30_000.0, 0, Signal::Reload).exited(30_100.0, 0, Some(0)));
    breaks(
        Rule::ProxyCrashed,
        good.clone().signal(30_000.0, 0, Signal::Terminate).exited(31_000.0, 0, Some(2)),
    );
    passes(good.clone().signal(30_000.0, 0, Signal::Terminate).exited(31_000.0, 0, Some(0)));
    let mut leaving = good.clone();
    leaving.signal(30_000.0, 0, Signal::Terminate);
    breaks(Rule::ShutdownOverrun, &leaving);
    breaks(
        Rule::ShutdownOverrun,
        leaving.clone().signal(33_700.0, 0, Signal::Kill).exited(33_701.0, 0, None),
    );
    passes(leaving.clone().exited(33_600.0, 0, Some(0)));
    // What it still holds then goes with it: one fault, one rule. What it cut before is a fault of its own.
    let (mut held, w) = standing();
    held = held.without(is_end);
    held.signal(10_000.0, 0, Signal::Terminate).signal(13_760.0, 0, Signal::Kill).exited(13_761.0, 0, None);
    breaks(Rule::ShutdownOverrun, held.clone().ended(13_761.0, w).over(13_762.0, w, Over::ByProxy));
    let mut both = held;
    let verdict = judge(both.ended(13_000.0, w).over(13_001.0, w, Over::ByProxy));
    assert_eq!(
        (verdict.violation_count(Rule::ShutdownOverrun), verdict.violation_count(Rule::CutWithoutMove)),
        (1, 1),
        "{verdict}"
    );
    // After SIGTERM nothing is excused.
    let mut left = ended(&good, 5000.0);
    breaks(Rule::CutWithoutMove, left.signal(4000.0, 0, Signal::Terminate).exited(5001.0, 0, Some(0)));
    let size = |bytes| Seen::Datagram { from: ProxyId(0), to: ProxyId(1), bytes };
    passes(&good.with(5.0, size(256)));
    breaks(Rule::OversizedDatagram, &good.with(5.0, size(257)));
    let line = "M 7 other".to_owned();
    breaks(Rule::LineChanged, &good.with(5.0, Seen::Garbled { request: who(0, 0, 1).request, line }));
}

#[test]
fn a_kill_excuses_what_was_held_then_and_nothing_else() {
    let (good, w) = standing();
    let mut killed = good.without(is_end);
    killed.signal(5000.0, 0, Signal::Kill).exited(5020.0, 0, None).started(8000.0, 0);
    let (held, late, next, other) = (who(2, 0, 1), who(3, 0, 1), who(4, 0, 1), who(5, 1, 1));
    let reset = |trace: &mut Trace, at: f64, w: Who| {
        trace.add(at, Seen::Ended { request: w.request, how: End::Reset });
    };
    reset(&mut killed, 5005.0, w);
    killed.asked(4990.0, held).asked(5060.0, late);
    reset(&mut killed, 5006.0, held);
    reset(&mut killed, 5061.0, late);
    passes(&killed);
    // Lost before the signal, on another proxy, in the next life, or taken long after the death.
    let lost = |asked: f64, ended: f64, w: Who| {
        let mut trace = killed.clone();
        trace.asked(asked, w);
        reset(&mut trace, ended, w);
        breaks(Rule::OneFinalAnswer, &trace);
    };
    lost(4900.0, 4995.0, next);
    lost(4990.0, 5006.0, other);
    lost(8100.0, 8106.0, next);
    lost(5200.0, 5206.0, next);
    // Its time was up before the kill, and the client found out afterwards.
    breaks(Rule::OneFinalAnswer, killed.clone().asked(3900.0, next).left(5010.0, next, Left::GaveUp));
    // Cut before the signal, and on another proxy.
    let mut cut = killed.clone();
    breaks(Rule::CutWithoutMove, cut.up(2000.0, next).ended(4999.0, next));
    let mut cut = killed.clone();
    breaks(Rule::CutWithoutMove, cut.up(2000.0, other).ended(5005.0, other));
}

#[test]
fn who_leaves_is_owed_nothing() {
    let w = who(1, 0, 0);
    let mut open = Trace::default();
    open.asked(1000.0, w);
    passes(open.clone().left(1500.0, w, Left::Impatient));
    passes(open.clone().left(1500.0, w, Left::Dropped));
    passes(open.clone().left(2000.0, w, Left::GaveUp));
    breaks(Rule::OneFinalAnswer, open.clone().left(2060.0, w, Left::GaveUp));
    // In the same millisecond as the answer, whichever is noted first.
    passes(open.clone().left(2060.0, w, Left::GaveUp).answered(2060.4, w, Answer::Busy(0)));
    passes(open.clone().answered(2060.0, w, Answer::Busy(0)).left(2060.4, w, Left::GaveUp));
    passes(open.clone().answered(2060.0, w, Answer::Busy(0)).left(2060.0, w, Left::GaveUp));
    breaks(
        Rule::OneFinalAnswer,
        open.clone().answered(2060.0, w, Answer::Busy(0)).left(2064.0, w, Left::GaveUp),
    );
}

#[test]
fn what_is_open_at_the_end_is_judged_as_far_as_its_time_had_come() {
    let w = who(1, 0, 0);
    let mut open = Trace::default();
    open.asked(59_000.0, w);
    passes(&open);
    let mut standing = Trace::default();
    standing
        .up(50_000.0, w)
        .over(59_500.0, w, Over::Cut)
        .add(59_600.0, Seen::LineSent { request: w.request, line: 0 });
    passes(standing.rude(58_500.0, 0, 0));
    open.asked(58_000.0, who(2, 0, 0));
    breaks(Rule::OneFinalAnswer, &open);
    // What comes after the plan's end is not judged.
    standing.ended(60_500.0, w).exited(60_600.0, 0, Some(9));
    passes(&standing);
}

#[test]
fn a_late_kit_proves_nothing() {
    use cottonnotch_kit::judge::Outcome;
    let (mut bad, w) = standing();
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
    assert_eq!(lag(&standing().0, 1, 251_000), Outcome::Void);
}

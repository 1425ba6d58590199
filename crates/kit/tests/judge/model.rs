//! Generates runs without a proxy fault: sessions, attempts, moves, a drain, a failed and a hung render node, and a
//! killed proxy. Each run passes; with one injected fault it violates that fault's rule and no other.

use crate::fixtures::{RequestIds, Trace, judge, request_ids};
use cottonnotch_kit::judge::{Outcome, Rule};
use cottonnotch_kit::observation::{
    Answer, AttemptEnd, ClientClose, Condition, MisbehaviorOutcome, NodeAnswer, ProxyClose, Seen, Signal,
};
use cottonnotch_kit::plan::Phase;
use cottonnotch_kit::plan::{NodeId, ProxyId};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Scheduled events of render nodes and of proxy 1: index, and times in milliseconds.
const DRAIN: (u16, f64) = (3, 15_000.0);
const NODE_FAILURE: (u16, f64) = (4, 25_000.0);
const HANG: (u16, f64, f64) = (5, 35_000.0, 50_000.0);
const KILL: (u16, f64) = (1, 40_000.0);

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndCause {
    Done,
    Drained,
    NodeFailed,
    NodeHung,
    ProxyKilled,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    ids: RequestIds,
    attempt_count: u32,
    up: f64,
    /// When the client's side ended, or the client read `MOVE`.
    end: f64,
    cause: EndCause,
    lines: u32,
}

#[derive(Default)]
struct Run {
    trace: Trace,
    connections: Vec<Connection>,
    rejected_requests: Vec<(RequestIds, f64)>,
}

/// Whether a proxy that follows its notifications can connect to the render node.
fn usable(node: u16, at: f64) -> bool {
    match node {
        3 => at < DRAIN.1 + 1200.0,
        4 => at < NODE_FAILURE.1 - 100.0 || at > NODE_FAILURE.1 + 9000.0,
        5 => at < HANG.1 - 100.0 || at > HANG.2,
        _ => true,
    }
}

fn generate_run(rng: &mut ChaCha8Rng) -> Run {
    let mut run = Run::default();
    let t = &mut run.trace;
    for proxy in 0..2 {
        t.started(0.0, proxy).watching(100.0, proxy, true);
        t.notified(DRAIN.1 + rng.random_range(100.0..500.0), proxy, DRAIN.0, Phase::Draining);
        t.notified(NODE_FAILURE.1 + rng.random_range(1000.0..3000.0), proxy, NODE_FAILURE.0, Phase::Removed);
        t.notified(NODE_FAILURE.1 + 8600.0, proxy, NODE_FAILURE.0, Phase::Up);
    }
    t.listed(DRAIN.1, DRAIN.0, Phase::Draining).listed(
        NODE_FAILURE.1 + 900.0,
        NODE_FAILURE.0,
        Phase::Removed,
    );
    t.condition(NODE_FAILURE.1, NODE_FAILURE.0, Condition::Down)
        .slow_start(NODE_FAILURE.1 + 8000.0, NODE_FAILURE.0);
    t.listed(NODE_FAILURE.1 + 8500.0, NODE_FAILURE.0, Phase::Up);
    t.condition(HANG.1, HANG.0, Condition::Hung).condition(HANG.2, HANG.0, Condition::Sound);
    t.signal(20_000.0, 0, Signal::Reload).signal(KILL.1, KILL.0, Signal::Kill).exited(
        KILL.1 + 20.0,
        KILL.0,
        None,
    );
    t.started(KILL.1 + 2000.0, KILL.0).watching(KILL.1 + 2500.0, KILL.0, true);
    t.misbehaving_client(5000.0, 0, 0).misbehaving_client_answered(
        5000.0 + rng.random_range(1.0..2040.0),
        0,
        MisbehaviorOutcome::Error,
    );
    t.misbehaving_client(6000.0, 2, 1).misbehaving_client_answered(
        6000.0 + rng.random_range(1.0..2040.0),
        2,
        MisbehaviorOutcome::Closed,
    );
    for at in 0..59 {
        t.add(f64::from(at) * 1000.0, Seen::Lag { late: rng.random_range(0..5000) });
        t.add(f64::from(at) * 1000.0, Seen::Datagram { from: ProxyId(0), to: ProxyId(1), bytes: 256 });
    }
    for request in 1..=rng.random_range(40..80) {
        let at = rng.random_range(500.0..57_000.0);
        // Proxy 1 gets no requests while it is down, nor shortly before: another test covers a set-up that the kill
        // interrupts.
        let down = at > KILL.1 - 1100.0 && at < KILL.1 + 2600.0;
        let proxy = if down { 0 } else { rng.random_range(0..2) };
        add_request(&mut run, rng, at, request, proxy);
    }
    run
}

fn choose_node(rng: &mut ChaCha8Rng, at: f64) -> u16 {
    let nodes: Vec<u16> = (0..6).filter(|node| usable(*node, at) && usable(*node, at + 600.0)).collect();
    *nodes.choose(rng).unwrap()
}

/// Adds one request: up to two failed attempts, then an answer, or none for a client that leaves.
fn add_request(run: &mut Run, rng: &mut ChaCha8Rng, at: f64, request: u64, proxy: u16) {
    let first = request_ids(request, proxy, 0);
    run.trace.submitted(at, first);
    let (mut now, failures) = (at + 1.0, rng.random_range(0..3));
    for n in 0..failures {
        let ids = first.with_attempt(n, choose_node(rng, now));
        run.trace.attempt(now, ids);
        let took = rng.random_range(1.0..250.0);
        if rng.random() {
            run.trace.node_answers(now + took, ids, NodeAnswer::Busy).attempt_ended(
                now + took,
                ids,
                AttemptEnd::Cut,
            );
        } else {
            // The proxy stops waiting, and the render node observes that late.
            run.trace.attempt_ended(now + took + rng.random_range(0.0..40.0), ids, AttemptEnd::ByProxy);
        }
        now += took + 0.2;
    }
    match rng.random_range(0..10) {
        0 => {
            // The client gives up at about the time of the answer, in either order.
            let last = at + 1060.0;
            run.trace.client_closed(last, first, ClientClose::GaveUp);
            run.trace.answered(last + rng.random_range(-0.9..0.9), first, Answer::Busy(0));
        }
        1 => {
            run.trace.client_closed(at + rng.random_range(600.0..900.0), first, ClientClose::Impatient);
        }
        2 => {
            let last = at + rng.random_range(600.0..1050.0);
            run.trace.answered(last, first, Answer::Busy(20_000)).proxy_closed(last + 0.3, first);
            run.rejected_requests.push((first.with_attempt(failures, 0), at));
        }
        _ => {
            let node = choose_node(rng, now);
            add_connection(run, rng, now, first.with_attempt(failures, node), failures + 1);
        }
    }
}

fn add_connection(run: &mut Run, rng: &mut ChaCha8Rng, at: f64, ids: RequestIds, attempt_count: u32) {
    let up = at + rng.random_range(5.0..40.0);
    let t = &mut run.trace;
    t.attempt(at, ids).node_answers(up, ids, NodeAnswer::Up(ids.receipt()));
    // Separate threads observe the client and the render node, so the answer can seem to be read before it was issued.
    t.answered(up + rng.random_range(-5.0..5.0), ids, Answer::Up(ids.receipt()));
    let done = up + rng.random_range(1500.0..20_000.0);
    let node = ids.attempt.node.0;
    let possible_ends = [
        (EndCause::Done, done),
        (
            EndCause::Drained,
            if node == DRAIN.0 { DRAIN.1 + rng.random_range(1500.0..3000.0) } else { f64::MAX },
        ),
        (
            EndCause::NodeFailed,
            if node == NODE_FAILURE.0 && up < NODE_FAILURE.1 { NODE_FAILURE.1 } else { f64::MAX },
        ),
        (EndCause::NodeHung, if node == HANG.0 && up < HANG.1 { HANG.1 } else { f64::MAX }),
        (EndCause::ProxyKilled, if ids.proxy.0 == KILL.0 && up < KILL.1 { KILL.1 } else { f64::MAX }),
    ];
    let (cause, when) = possible_ends.into_iter().min_by(|a, b| a.1.total_cmp(&b.1)).unwrap();
    let (mut sent, mut lines) = (up + rng.random_range(10.0..2000.0), 0);
    while sent < when - 20.0 {
        t.line_round_trip(sent, ids, lines);
        (sent, lines) = (sent + 2000.0, lines + 1);
    }
    let mut end = when;
    match cause {
        EndCause::Done => {
            t.client_done(end, ids);
        }
        EndCause::Drained if rng.random() => {
            t.moved(end, ids).attempt_ended(end + 1.0, ids, AttemptEnd::ByProxy).proxy_closed(end + 1.0, ids);
        }
        EndCause::Drained => {
            t.attempt_ended(when, ids, AttemptEnd::Move);
            end = when + rng.random_range(0.0..900.0);
            t.moved(end, ids).proxy_closed(end, ids);
        }
        EndCause::NodeFailed => {
            end = when + rng.random_range(0.0..1000.0);
            t.proxy_closed(end, ids);
        }
        EndCause::NodeHung => {
            // A line that is due just before the hang is sent just after it, so that it is not in transit at the hang.
            sent = sent.max(when + 1.0);
            t.add(sent, Seen::LineSent { request: ids.request, line: lines });
            end = sent + rng.random_range(0.0..7000.0);
            let killed = ids.proxy.0 == KILL.0 && end >= KILL.1;
            end = if killed { KILL.1 + 5.0 } else { end };
            t.proxy_closed(end, ids).attempt_ended(end + 1.0, ids, AttemptEnd::ByProxy);
        }
        EndCause::ProxyKilled => {
            end = when + rng.random_range(1.0..20.0);
            t.add(end, Seen::Ended { request: ids.request, how: ProxyClose::Reset }).attempt_ended(
                end,
                ids,
                AttemptEnd::ByProxy,
            );
        }
    }
    run.connections.push(Connection { ids, attempt_count, up, end, cause, lines });
}

/// Returns the run's trace with a fault that violates the rule; `None` if the run has no place for the fault.
fn inject_fault(run: &Run, rule: Rule, rng: &mut ChaCha8Rng) -> Option<Trace> {
    let t = &run.trace;
    let mut choose_connection = |predicate: &dyn Fn(&Connection) -> bool| {
        let candidates: Vec<Connection> = run.connections.iter().copied().filter(|c| predicate(c)).collect();
        candidates.choose(rng).copied()
    };
    let answers = |ids: RequestIds| move |s: &Seen| matches!(s, Seen::Answered { request, .. } if *request == ids.request);
    let client_end = |ids: RequestIds| {
        move |s: &Seen| match s {
            Seen::Ended { request, .. } | Seen::Left { request, .. } | Seen::Moved { request } => {
                *request == ids.request
            }
            _ => false,
        }
    };
    let mut out = t.clone();
    let usable_around_end = |c: &Connection| {
        usable(c.ids.attempt.node.0, c.end - 100.0) && usable(c.ids.attempt.node.0, c.end + 300.0)
    };
    match rule {
        Rule::OneFinalAnswer => {
            let (ids, _) = *run.rejected_requests.first()?;
            out = t.without(answers(ids));
        }
        Rule::InventedAnswer => {
            let c = choose_connection(&|c| c.end > c.up + 300.0)?;
            out = t.without(answers(c.ids));
            out.answered(c.up + 6.0, c.ids, Answer::Up(1));
        }
        Rule::TwoAttempts => {
            let c = choose_connection(&|c| c.attempt_count < 3 && c.up + 600.0 < c.end)?;
            out.attempt(c.up + 10.0, c.ids.with_attempt(7, 0)).attempt_ended(
                c.up + 300.0,
                c.ids.with_attempt(7, 0),
                AttemptEnd::ByProxy,
            );
        }
        Rule::TooManyAttempts => {
            let (ids, at) = *run.rejected_requests.first()?;
            for n in 4..8 {
                let at = at + 0.1 * f64::from(n);
                out.attempt(at, ids.with_attempt(n, 0)).node_answers(
                    at + 0.05,
                    ids.with_attempt(n, 0),
                    NodeAnswer::Busy,
                );
            }
        }
        Rule::SendAfterDrain => {
            // A proxy that has just restarted is excluded: it learns of the drain only with its first watch.
            let just_restarted =
                |c: &Connection| c.ids.proxy.0 == KILL.0 && c.up > KILL.1 && c.up < KILL.1 + 3600.0;
            let c = choose_connection(&|c| {
                c.attempt_count < 3 && c.up > DRAIN.1 + 2600.0 && c.up + 300.0 < c.end && !just_restarted(c)
            })?;
            let (ids, at) = (c.ids.with_attempt(7, DRAIN.0), c.up - 4.99);
            out.attempt(at, ids).node_answers(at + 0.1, ids, NodeAnswer::Busy);
        }
        Rule::SlowStartBudget => {
            for i in 0..40 {
                out.rejected(
                    NODE_FAILURE.1 + 9500.0 + f64::from(i),
                    request_ids(500 + i as u64, 0, NODE_FAILURE.0),
                );
            }
        }
        Rule::CutWithoutMove => {
            let c = choose_connection(&|c| {
                c.cause == EndCause::Done && usable_around_end(c) && c.end < 59_000.0
            })?;
            out = t.without(client_end(c.ids));
            out.proxy_closed(c.end, c.ids);
        }
        Rule::LineDelayed => {
            let c =
                choose_connection(&|c| c.lines > 1 && c.end < KILL.1 && usable(c.ids.attempt.node.0, c.end))?;
            out = t.without(
                |s| matches!(s, Seen::LineBack { request, line } if *request == c.ids.request && *line + 2 == c.lines),
            );
        }
        Rule::EndedConnectionOpen => {
            let c = choose_connection(&|c| c.cause == EndCause::NodeFailed)?;
            out = t.without(client_end(c.ids));
            out.proxy_closed(NODE_FAILURE.1 + 1060.0, c.ids);
        }
        Rule::SilentConnectionOpen => {
            let c = choose_connection(&|c| c.cause == EndCause::NodeHung && c.ids.proxy.0 != KILL.0)?;
            out = t.without(client_end(c.ids));
            out =
                out.without(|s| matches!(s, Seen::AttemptOver { attempt, .. } if *attempt == c.ids.attempt));
        }
        Rule::MisbehavingClientUnanswered => out = t.without(|s| matches!(s, Seen::RudeOver { rude: 0, .. })),
        Rule::MisbehavingClientServed => {
            out = t.without(|s| matches!(s, Seen::RudeOver { rude: 2, .. }));
            out.misbehaving_client_answered(6500.0, 2, MisbehaviorOutcome::Served);
        }
        Rule::BadFirstLine => {
            let line = "OPEN".to_owned();
            out.add(7000.0, Seen::BadFirstLine { node: NodeId(0), proxy: ProxyId(0), line });
        }
        // Without the SIGKILL the exit is a crash, which also excuses the requests in flight.
        Rule::ProxyCrashed => {
            out = t.without(|s| matches!(s, Seen::ProxySignalled { signal: Signal::Kill, .. }))
        }
        Rule::ShutdownOverrun => {
            out.signal(55_000.0, 0, Signal::Terminate);
        }
        Rule::LineChanged => {
            let c = choose_connection(&|c| c.end > c.up + 300.0)?;
            let line = "not a line of this connection".to_owned();
            out.add(c.up + 9.0, Seen::Garbled { request: c.ids.request, line });
        }
        Rule::OversizedDatagram => {
            out.add(9.0, Seen::Datagram { from: ProxyId(0), to: ProxyId(1), bytes: 257 });
        }
    }
    Some(out)
}

/// Number of generated runs, each of which is judged up to 18 times. `PROPTEST_CASES` overrides it.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(30)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..Default::default() })]

    #[test]
    fn healthy_runs_pass_and_faults_break_their_rule(seed in any::<u64>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let run = generate_run(&mut rng);
        let verdict = judge(&run.trace);
        prop_assert_eq!(verdict.outcome, Outcome::Passed, "seed {}: {}", seed, verdict);
        for rule in Rule::ALL {
            let Some(trace) = inject_fault(&run, rule, &mut rng) else { continue };
            let verdict = judge(&trace);
            let broken: Vec<Rule> = verdict.violations.keys().copied().collect();
            prop_assert_eq!(broken, vec![rule], "seed {}, {}: {}", seed, rule, verdict);
        }
    }
}

#[test]
fn every_fault_is_applicable() {
    for rule in Rule::ALL {
        let is_applicable = |seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let run = generate_run(&mut rng);
            inject_fault(&run, rule, &mut rng).is_some()
        };
        assert!((0..20).any(is_applicable), "no run has a place for a violation of {rule}");
    }
}

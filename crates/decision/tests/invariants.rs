//! Property tests of the rules, on random sequences of valid and invalid events from fixed seeds.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
use common::*;
use cottonnotch_decision::*;
use std::collections::{BTreeMap, BTreeSet};

struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % below.max(1)
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

struct TrackedRequest {
    deadline: Micros,
    attempt: Option<(ServerId, Micros)>,
    established: bool,
    sends: u32,
    may_have_run: Option<(ServerId, Micros)>,
}

/// Runs one random sequence of events, and checks every action against the rules of the interface.
fn run_sequence(seed: u64, idempotency: Idempotency) {
    let mut rng = Rng(seed);
    let mut node = Node::new(settings(idempotency), 6);
    let mut listed: BTreeMap<u32, ServerState> = (0..6).map(|s| (s, ServerState::Ready)).collect();
    let mut open: BTreeMap<u64, TrackedRequest> = BTreeMap::new();
    let mut finished: BTreeSet<u64> = BTreeSet::new();
    let mut answers = 0;
    let mut next_id = 1;
    for _ in 0..3000 {
        let at = node.now + rng.next(60) as Micros * MS;
        // One timer fires at a time, so that each action is checked at the time at which it was taken.
        loop {
            let due = node.timers.iter().map(|t| t.0).min().unwrap_or(at).min(at);
            let mut actions = node.run_to(due.max(node.now));
            check(&mut node, &mut actions, &mut open, &mut finished, &mut answers, &listed, idempotency);
            if due == at {
                break;
            }
        }
        let index = rng.next(open.len() as u64) as usize;
        let chosen = open.keys().nth(index).copied();
        let mut actions = match rng.next(12) {
            0..=3 => {
                let id = next_id;
                next_id += 1;
                let left = 200 * MS + rng.next(2000) as Micros * MS;
                let deadline = node.now + left;
                open.insert(
                    id,
                    TrackedRequest {
                        deadline,
                        attempt: None,
                        established: false,
                        sends: 0,
                        may_have_run: None,
                    },
                );
                node.send_request(id, left)
            }
            4 => {
                let server = rng.next(8) as u32;
                let state =
                    [ServerState::Ready, ServerState::Draining, ServerState::Removed][rng.next(3) as usize];
                listed.insert(server, state);
                let mut changed = entry(server, state);
                changed.started = (rng.next(2) == 0).then_some(node.now);
                node.notify(Event::List { full: false, copy: false, entries: vec![changed] })
            }
            5 => match chosen.filter(|id| open[id].attempt.is_none()) {
                Some(id) => {
                    open.remove(&id);
                    finished.insert(id);
                    node.notify(Event::ClientClosed(RequestId(id)))
                }
                None => vec![],
            },
            6..=7 => match chosen.and_then(|id| Some((id, open[&id].attempt?))) {
                Some((id, (server, _))) if !open[&id].established => {
                    open.get_mut(&id).unwrap().established = true;
                    node.establish(id, server)
                }
                _ => vec![],
            },
            _ => match chosen.and_then(|id| Some((id, open[&id].attempt?))) {
                Some((id, (server, sent))) => {
                    let entry = open.get_mut(&id).unwrap();
                    let outcome = OUTCOMES[rng.next(8) as usize];
                    let last = entry.established || outcome == Outcome::Served;
                    entry.attempt = None;
                    if !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent) {
                        entry.may_have_run.get_or_insert((server, sent));
                    }
                    if last {
                        open.remove(&id);
                        finished.insert(id);
                    }
                    node.end_attempt(id, server, outcome, last)
                }
                None => vec![],
            },
        };
        check(&mut node, &mut actions, &mut open, &mut finished, &mut answers, &listed, idempotency);
        // Attempts end at the client's deadline at the latest, as the interface's limited time-outs
        // require.
        let due: Vec<u64> = open
            .iter()
            .filter(|(_, o)| !o.established && o.attempt.is_some() && o.deadline <= node.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let entry = open.get_mut(&id).unwrap();
            let (server, sent) = entry.attempt.take().unwrap();
            entry.may_have_run.get_or_insert((server, sent));
            let mut actions = node.end_attempt(id, server, Outcome::TimedOut, false);
            check(&mut node, &mut actions, &mut open, &mut finished, &mut answers, &listed, idempotency);
            assert!(!open.contains_key(&id), "a request that times out at its deadline is answered at once");
        }
        for (id, entry) in &open {
            let waiting = entry.attempt.is_none() && !entry.established;
            assert!(!waiting || node.now <= entry.deadline, "request {id} was queued past its deadline");
        }
    }
    assert!(answers > 100, "the sequence leads to enough answers: {answers}");
}

fn check(
    node: &mut Node,
    actions: &mut Vec<Action>,
    open: &mut BTreeMap<u64, TrackedRequest>,
    finished: &mut BTreeSet<u64>,
    answers: &mut u32,
    listed: &BTreeMap<u32, ServerState>,
    idempotency: Idempotency,
) {
    for action in actions.drain(..) {
        match action {
            Action::Send { request, server, timeout, .. } => {
                assert!(!finished.contains(&request.0), "an attempt was sent for a request that is over");
                let entry = open.get_mut(&request.0).expect("attempts are sent only for known requests");
                assert!(
                    entry.attempt.is_none() && !entry.established,
                    "two attempts of one request at a time"
                );
                assert!(timeout >= 0 && node.now + timeout <= entry.deadline);
                assert_eq!(
                    listed.get(&server.0),
                    Some(&ServerState::Ready),
                    "the attempt was sent to a server that is not ready"
                );
                entry.sends += 1;
                assert!(entry.sends <= 4);
                match (idempotency, entry.may_have_run) {
                    (Idempotency::NotIdempotent, Some(_)) => {
                        panic!("a request that is not idempotent was repeated")
                    }
                    (Idempotency::Keyed { scope, window }, Some((at, sent))) => {
                        assert!(node.now - sent < window, "repeated after the idempotency window");
                        assert!(scope != Scope::Zone || at.0 % 2 == server.0 % 2, "repeated in another zone");
                        assert!(scope != Scope::Cell || at.0 / 2 == server.0 / 2, "repeated in another cell");
                    }
                    _ => {}
                }
                entry.attempt = Some((server, node.now));
            }
            Action::Reject { request, retry_after, .. } => {
                let entry = open.remove(&request.0).expect("one answer for a known request");
                assert!(retry_after >= 0 && entry.attempt.is_none());
                let may_have_run = entry.may_have_run.is_some();
                let may_reject = match idempotency {
                    Idempotency::Idempotent => true,
                    Idempotency::Keyed { scope, .. } => scope == Scope::All || !may_have_run,
                    Idempotency::NotIdempotent => !may_have_run,
                };
                assert!(may_reject, "rejected although an attempt may have run");
                finished.insert(request.0);
                *answers += 1;
            }
            Action::Fail { request, .. } => {
                open.remove(&request.0).expect("one answer for a known request");
                finished.insert(request.0);
                *answers += 1;
            }
            Action::Timer { after, .. } => assert!(after > 0),
            _ => {}
        }
    }
}

#[test]
fn invariants_hold_for_idempotent_requests() {
    (1..30).for_each(|seed| run_sequence(seed, Idempotency::Idempotent));
}

#[test]
fn invariants_hold_for_non_idempotent_requests() {
    (1..30).for_each(|seed| run_sequence(seed, Idempotency::NotIdempotent));
}

#[test]
fn invariants_hold_for_keyed_requests() {
    for scope in [Scope::All, Scope::Zone, Scope::Cell] {
        (1..20).for_each(|seed| run_sequence(seed, Idempotency::Keyed { scope, window: 700 * MS }));
    }
}

/// Unknown ids, repeated ends, extreme numbers and a clock that stands still never cause a panic.
#[test]
fn no_sequence_of_events_panics() {
    for seed in 1..40 {
        let mut rng = Rng(seed);
        let mut node = Node::new(settings(Idempotency::Idempotent), (seed % 4) as u32);
        for _ in 0..3000 {
            if rng.next(3) == 0 {
                node.now += rng.next(300) as Micros * MS;
            }
            let id = RequestId(rng.next(40));
            let server = ServerId(rng.next(9) as u32);
            let attempt = rng.next(3) as u32;
            let extreme_time = [0, -1, 1, Micros::MAX, Micros::MIN, 900 * MS][rng.next(6) as usize];
            let extreme_value = [0.0, -1.0, f64::MAX, f64::NAN, 5e4][rng.next(5) as usize];
            let mut any_request = request(id.0, (rng.next(3) > 0).then_some(extreme_time));
            any_request.class = ClassId(rng.next(3) as u16);
            any_request.tenant = Some(TenantId(rng.next(3) as u16));
            any_request.load_hint = Some(extreme_value);
            let event = match rng.next(12) {
                0..=2 => Event::Request(any_request),
                3 => Event::Open { request: any_request, server },
                4 => Event::Established { request: id, attempt, server, elapsed: extreme_time },
                5 => {
                    let outcome = OUTCOMES[rng.next(8) as usize];
                    Event::Ended { request: id, attempt, server, outcome, last: rng.next(2) == 0 }
                }
                6 => Event::LoadUpdate { request: id, load: extreme_value },
                7 => Event::LatencyUpdate { server, latency: extreme_time },
                8 => Event::ClientClosed(id),
                9 => {
                    let report = Some(vec![extreme_value; rng.next(4) as usize]).filter(|_| rng.next(2) == 0);
                    Event::Probed { server, report }
                }
                10 => {
                    let mut e = entry(server.0, ServerState::Ready);
                    (e.started, e.weight) = (Some(extreme_time), extreme_value);
                    Event::List { full: rng.next(2) == 0, copy: false, entries: vec![e] }
                }
                _ if rng.next(2) == 0 => Event::ListFailed,
                _ => Event::Timer(rng.next(4) as u32),
            };
            node.notify(event);
            node.actions.clear();
        }
    }
}

#[test]
fn server_set_spans_machine_words() {
    let mut set: ServerSet = [0, 63, 64, 200].map(ServerId).into_iter().collect();
    let members = |set: &ServerSet| (0..300).filter(|n| set.contains(ServerId(*n))).collect::<Vec<_>>();
    assert_eq!(members(&set), [0, 63, 64, 200]);
    set.remove(ServerId(64));
    set.remove(ServerId(4_000));
    set.intersect(&[0, 64, 200, 299].map(ServerId).into_iter().collect());
    assert_eq!(members(&set), [0, 200]);
    set.intersect(&ServerSet::default());
    assert!(set.is_empty());
}

//! The decision module with routing rules: forbidden servers get no attempts, the rules are evaluated at each
//! dispatch, and rules that allow everything change nothing.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use common::*;
use cottonnotch_decision::*;
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Routing rules with a fixed verdict, which the test can change while the module uses them.
#[derive(Clone, Debug, Default)]
struct FixedVerdict(Rc<RefCell<RulesState>>);

#[derive(Debug, Default)]
struct RulesState {
    verdict: RoutingVerdict,
    evaluations: usize,
    sent: Vec<ServerId>,
    stickiness: BTreeMap<RequestId, Stickiness>,
}

impl RoutingRules for FixedVerdict {
    fn evaluate(&mut self, _: Micros, _: &Request) -> RoutingVerdict {
        let mut state = self.0.borrow_mut();
        state.evaluations += 1;
        state.verdict.clone()
    }

    fn record_attempt(&mut self, _: Micros, _: &Request, server: ServerId) {
        self.0.borrow_mut().sent.push(server);
    }

    fn stickiness(&mut self, _: Micros, request: &Request, _: ServerId) -> Option<Stickiness> {
        self.0.borrow().stickiness.get(&request.id).copied()
    }
}

impl FixedVerdict {
    fn set(&self, verdict: RoutingVerdict) {
        self.0.borrow_mut().verdict = verdict;
    }
}

fn node_with_rules(settings: Settings, servers: u32) -> (Node, FixedVerdict) {
    let rules = FixedVerdict::default();
    let mut node = Node::new(settings.clone(), 0);
    node.balancer = Balancer::new(settings, 7, node.now).with_rules(Box::new(rules.clone()));
    let entries = (0..servers).map(|s| entry(s, ServerState::Ready)).collect();
    node.notify(Event::List { full: true, copy: true, entries });
    (node, rules)
}

fn server_set(servers: &[u32]) -> Option<Arc<ServerSet>> {
    Some(Arc::new(servers.iter().copied().map(ServerId).collect()))
}

fn allow_only(servers: &[u32]) -> RoutingVerdict {
    RoutingVerdict { allowed: server_set(servers), ..RoutingVerdict::default() }
}

/// Only allowed servers get attempts, even while the allowed ones are full and the others are idle.
#[test]
fn forbidden_server_gets_nothing() {
    let (mut node, rules) = node_with_rules(settings(Idempotency::Idempotent), 6);
    rules.set(allow_only(&[1, 4]));
    for id in 0..40 {
        node.run_to(node.now + 20 * MS);
        let at = node.place(id);
        assert!([1, 4].contains(&at.0), "{at:?}");
        node.establish(id, at);
    }
    assert!(!node.requests_sent_to(ServerId(1)).is_empty() && !node.requests_sent_to(ServerId(4)).is_empty());
    // Both allowed servers are full. The others have capacity left, but the request must not be sent to them.
    let (first, _) = sent(&node.send_request(100, 300 * MS)).unwrap();
    let (second, _) = sent(&node.end_attempt(100, first, Outcome::Full, false)).unwrap();
    assert_eq!(first.0 + second.0, 5);
    let queued = node.end_attempt(100, second, Outcome::Full, false);
    assert_eq!(sent(&queued), None);
    let later = node.run_to(node.now + 2 * S);
    let to = sent(&later).map(|(server, _)| server);
    assert!(
        rejected(&queued) || rejected(&later) || to.is_some_and(|to| [1, 4].contains(&to.0)),
        "{queued:?} {later:?}"
    );
    assert_eq!(
        rules.0.borrow().sent.len(),
        node.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
    );
}

#[test]
fn rejects_early_without_allowed_server() {
    let (mut node, rules) = node_with_rules(settings(Idempotency::Idempotent), 3);
    rules.set(allow_only(&[7]));
    let answer = node.send_request(1, 500 * MS);
    assert!(rejected(&answer), "a request that cannot wait for the next try is rejected at once: {answer:?}");
    node.send_request(2, 3 * S);
    let later = node.run_to(node.now + 4 * S);
    assert!(rejected(&later) && sent(&later).is_none(), "{later:?}");
}

#[test]
fn queued_request_is_reevaluated() {
    let (mut node, rules) = node_with_rules(settings(Idempotency::Idempotent), 3);
    rules.set(allow_only(&[]));
    assert_eq!(sent(&node.send_request(1, 20 * S)), None);
    node.run_to(node.now + 3 * S);
    let evaluations = rules.0.borrow().evaluations;
    assert!(evaluations >= 3, "{evaluations} evaluations in three seconds");
    // A change of the rules dispatches the queued request at once.
    rules.set(allow_only(&[2]));
    assert_eq!(sent(&node.notify(Event::RulesChanged)).map(|(server, _)| server), Some(ServerId(2)));
    // A request that was queued under the old rules is rejected under the new ones.
    rules.set(allow_only(&[]));
    assert!(!rejected(&node.send_request(2, 20 * S)));
    rules.set(RoutingVerdict { reject_with_retry_after: Some(700 * MS), ..RoutingVerdict::default() });
    let answer = node.notify(Event::RulesChanged);
    assert!(
        answer.contains(&Action::Reject {
            request: RequestId(2),
            retry_after: 700 * MS,
            reason: RejectionReason::RejectedByRule
        }),
        "{answer:?}"
    );
}

#[test]
fn uncertain_rules_reject_with_retry_after() {
    let uncertain =
        |after| RoutingVerdict { reject_with_retry_after: Some(after), ..RoutingVerdict::default() };
    let (mut node, rules) = node_with_rules(settings(Idempotency::NotIdempotent), 3);
    rules.set(uncertain(500 * MS));
    let answer = node.send_request(1, 20 * S);
    assert_eq!(
        answer,
        [Action::Reject {
            request: RequestId(1),
            retry_after: 500 * MS,
            reason: RejectionReason::RejectedByRule
        }]
    );
    rules.set(uncertain(60 * S));
    let answer = node.send_request(2, 20 * S);
    assert_eq!(
        answer,
        [Action::Reject {
            request: RequestId(2),
            retry_after: 2 * S,
            reason: RejectionReason::RejectedByRule
        }],
        "the time is limited to the longest one that clients honour"
    );
    // A request that may have run must not be rejected, because a rejection says that a retry is safe.
    let (mut node, rules) =
        node_with_rules(settings(Idempotency::Keyed { scope: Scope::Zone, window: 10 * S }), 3);
    let at = node.place(3);
    rules.set(uncertain(500 * MS));
    let answer = node.end_attempt(3, at, Outcome::TimedOut, false);
    assert!(failed(&answer) && !rejected(&answer) && sent(&answer).is_none(), "{answer:?}");
}

#[test]
fn waits_for_not_before_or_rejects_early() {
    let (mut node, rules) = node_with_rules(settings(Idempotency::Idempotent), 3);
    let at = node.now + 400 * MS;
    rules.set(RoutingVerdict { not_before: Some(at), ..RoutingVerdict::default() });
    let short = node.send_request(1, 300 * MS);
    assert!(
        short.contains(&Action::Reject {
            request: RequestId(1),
            retry_after: 400 * MS,
            reason: RejectionReason::NoServer
        }),
        "{short:?}"
    );
    assert_eq!(sent(&node.send_request(2, 2 * S)), None);
    assert_eq!(sent(&node.run_to(at - 1)), None);
    assert!(sent(&node.run_to(at + S)).is_some());
}

#[test]
fn preferred_servers_come_first_without_waiting() {
    let (mut node, rules) = node_with_rules(settings(Idempotency::Idempotent), 6);
    let prefer =
        |servers: &[u32]| RoutingVerdict { preferred: server_set(servers), ..RoutingVerdict::default() };
    rules.set(prefer(&[2, 3]));
    for id in 0..200 {
        node.run_to(node.now + 20 * MS);
        let at = node.place(id);
        assert!([2, 3].contains(&at.0), "{at:?}");
        node.establish(id, at);
    }
    let (first, _) = sent(&node.send_request(300, 2 * S)).unwrap();
    let (second, _) = sent(&node.end_attempt(300, first, Outcome::Full, false)).unwrap();
    assert_eq!(first.0 + second.0, 5, "the other preferred server is next");
    let third = sent(&node.end_attempt(300, second, Outcome::Full, false)).expect("sent at once").0;
    assert!(![2, 3].contains(&third.0));
    // After the preference is gone, the other servers don't catch up on the turns that they missed.
    node.run_to(node.now + 30 * S);
    rules.set(RoutingVerdict::default());
    let mut placed = [0; 6];
    for id in 400..460 {
        node.run_to(node.now + 100 * MS);
        let at = node.place(id);
        node.establish(id, at);
        placed[at.0 as usize] += 1;
    }
    assert!(placed.iter().all(|n| (6..=14).contains(n)), "{placed:?}");
}

#[test]
fn attempts_are_bounded_by_class_and_rule() {
    for (by_rule, expected) in [(2, 2), (9, 4), (u32::MAX, 4)] {
        let (mut node, rules) = node_with_rules(settings(Idempotency::Idempotent), 9);
        rules.set(RoutingVerdict { attempts: by_rule, ..RoutingVerdict::default() });
        let mut attempts_made = 0;
        let mut last = node.send_request(1, 2 * S);
        while let Some((at, _)) = sent(&last) {
            attempts_made += 1;
            last = node.end_attempt(1, at, Outcome::Full, false);
        }
        assert_eq!(attempts_made, expected);
        assert!(rejected(&last), "{last:?}");
    }
}

#[test]
fn subset_is_within_allowed_servers() {
    let grouped = Settings { groups: true, ..settings(Idempotency::Idempotent) };
    let (mut node, rules) = node_with_rules(grouped, 40);
    rules.set(allow_only(&[11, 30]));
    for group in 0..50 {
        let request = Request { group: Some(group), ..request(group, Some(2 * S)) };
        let (at, _) = sent(&node.notify(Event::Request(request))).expect("placed at once");
        assert!([11, 30].contains(&at.0));
        node.establish(group, at);
        node.run_to(node.now + 100 * MS);
    }
}

#[test]
fn migration_follows_stickiness() {
    let (mut node, rules) = node_with_rules(settings(Idempotency::Idempotent), 1);
    node.place_and_establish(0..40, 50 * MS);
    for id in 0..40 {
        let stickiness =
            [None, Some(Stickiness::MigrateLast), Some(Stickiness::UntilDrained)][id as usize % 3];
        rules.0.borrow_mut().stickiness.extend(stickiness.map(|stickiness| (RequestId(id), stickiness)));
    }
    let mut moved = Vec::new();
    for _ in 0..60 {
        node.run_to(node.now + S);
        moved.extend(migrated(&node.notify(Event::LatencyUpdate { server: ServerId(0), latency: 400 * MS })));
    }
    let first_sticky =
        moved.iter().position(|id| id % 3 == 1).expect("MigrateLast connections are migrated, too");
    assert!(
        moved[..first_sticky].iter().all(|id| id % 3 == 0)
            && moved[first_sticky..].iter().all(|id| id % 3 == 1)
    );
    assert_eq!(moved.len(), 27, "UntilDrained connections stay");
    node.notify(Event::List { full: false, copy: false, entries: vec![entry(0, ServerState::Draining)] });
    node.run_to(node.now + 5 * S);
    assert_eq!(migrated(&node.actions).len(), 40, "UntilDrained connections leave a draining server");
}

/// One step of a random history, in terms that are valid in any state.
#[derive(Clone, Debug)]
enum Step {
    Request { left: Option<u16>, group: Option<u8> },
    End { which: u8, outcome: u8 },
    Establish { which: u8 },
    List { server: u8, state: u8, started: bool },
    Latency { server: u8, ms: u16 },
    PeerReport { from: u8, server: u8, healthy: bool },
    Wait { ms: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (proptest::option::of(50_u16..4_000), proptest::option::of(0_u8..4))
            .prop_map(|(left, group)| Step::Request { left, group }),
        5 => (any::<u8>(), 0_u8..8).prop_map(|(which, outcome)| Step::End { which, outcome }),
        4 => any::<u8>().prop_map(|which| Step::Establish { which }),
        1 => (0_u8..8, 0_u8..3, any::<bool>())
            .prop_map(|(server, state, started)| Step::List { server, state, started }),
        1 => (0_u8..8, 0_u16..400).prop_map(|(server, ms)| Step::Latency { server, ms }),
        1 => (0_u8..4, 0_u8..8, any::<bool>())
            .prop_map(|(from, server, healthy)| Step::PeerReport { from, server, healthy }),
        4 => (1_u16..1_500).prop_map(|ms| Step::Wait { ms }),
    ]
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

/// Runs the steps and returns all actions of the node.
fn run_steps(mut node: Node, steps: &[Step]) -> Vec<Action> {
    let mut in_flight: Vec<(u64, ServerId)> = Vec::new();
    for (id, step) in (1..).zip(steps) {
        let before = node.actions.len();
        match step {
            Step::Request { left, group } => {
                let left = left.map(|left| Micros::from(left) * MS);
                let group = group.map(u64::from);
                node.notify(Event::Request(Request { group, ..request(id, left) }));
            }
            Step::End { which, outcome } if !in_flight.is_empty() => {
                let (id, at) = in_flight.remove(usize::from(*which) % in_flight.len());
                let outcome = OUTCOMES[usize::from(*outcome)];
                node.end_attempt(id, at, outcome, outcome == Outcome::Served);
            }
            Step::Establish { which } if !in_flight.is_empty() => {
                let (id, at) = in_flight.remove(usize::from(*which) % in_flight.len());
                node.establish(id, at);
            }
            Step::List { server, state, started } => {
                let state =
                    [ServerState::Ready, ServerState::Draining, ServerState::Removed][usize::from(*state)];
                let started = started.then_some(node.now);
                let entries = vec![Entry { started, ..entry(u32::from(*server), state) }];
                node.notify(Event::List { full: false, copy: false, entries });
            }
            Step::Latency { server, ms } => {
                let (server, latency) = (ServerId(u32::from(*server)), Micros::from(*ms) * MS);
                node.notify(Event::LatencyUpdate { server, latency });
            }
            Step::PeerReport { from, server, healthy } => {
                let verdict = if *healthy { PeerVerdict::Healthy } else { PeerVerdict::Unhealthy };
                let server = ServerId(u32::from(*server));
                node.notify(Event::PeerReport { from: u32::from(*from), server, verdict });
            }
            Step::Wait { ms } => {
                node.run_to(node.now + Micros::from(*ms) * MS);
            }
            Step::End { .. } | Step::Establish { .. } => {}
        }
        for action in &node.actions[before..] {
            if let Action::Send { request, server, .. } = action {
                in_flight.push((request.0, *server));
            }
        }
    }
    node.actions
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn permissive_rules_change_nothing(
        steps in proptest::collection::vec(step(), 1..250),
        groups in any::<bool>(),
    ) {
        let settings = Settings { groups, ..settings(Idempotency::Idempotent) };
        let all: Vec<u32> = (0..8).collect();
        for verdict in [
            RoutingVerdict::default(),
            allow_only(&all),
            RoutingVerdict { preferred: server_set(&all), ..allow_only(&all) },
        ] {
            let (node, rules) = node_with_rules(settings.clone(), 8);
            rules.set(verdict);
            prop_assert_eq!(run_steps(Node::new(settings.clone(), 8), &steps), run_steps(node, &steps));
        }
    }

    #[test]
    fn never_sends_to_forbidden_server(
        steps in proptest::collection::vec(step(), 1..250),
        allowed in proptest::collection::btree_set(0_u32..8, 0..5),
        preferred in proptest::collection::btree_set(0_u32..8, 0..5),
        attempts in 1_u32..4,
    ) {
        let settings = Settings { groups: true, ..settings(Idempotency::Idempotent) };
        let (node, rules) = node_with_rules(settings, 8);
        let servers =
            |set: &std::collections::BTreeSet<u32>| server_set(&set.iter().copied().collect::<Vec<_>>());
        let (allowed_set, preferred) = (servers(&allowed), servers(&preferred));
        rules.set(RoutingVerdict { allowed: allowed_set, preferred, attempts, ..RoutingVerdict::default() });
        let mut attempts_made = std::collections::BTreeMap::new();
        for action in run_steps(node, &steps) {
            if let Action::Send { request, server, .. } = action {
                prop_assert!(allowed.contains(&server.0), "{:?} of {:?}", server, allowed);
                let attempts_made = attempts_made.entry(request).or_insert(0);
                *attempts_made += 1;
                prop_assert!(*attempts_made <= attempts);
            }
        }
    }
}

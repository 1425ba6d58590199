use super::attempts::receipt;
use super::*;
use crate::model::testing::plan;
use crate::time::{MS, S};

struct Fixture {
    model: NodeModel,
    serial: u32,
}

impl Fixture {
    fn new(change: impl FnOnce(&mut Plan)) -> Self {
        let mut plan = plan(1, 1, 400);
        change(&mut plan);
        Fixture { model: NodeModel::new(Arc::new(plan), NodeId(0)), serial: 0 }
    }

    fn at(&mut self, now: Micros, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.model.handle(now, input, &mut out);
        out
    }

    /// All outputs until `end`, with their times.
    fn until(&mut self, end: Micros) -> Vec<(Micros, Output)> {
        let mut all = Vec::new();
        while let Some(at) = self.model.next_timeout().filter(|at| *at <= end) {
            all.extend(self.at(at, Input::Tick).into_iter().map(|o| (at, o)));
        }
        all
    }

    fn new_attempt(&mut self, wait: Micros) -> NewAttempt {
        let serial = self.serial;
        self.serial += 1;
        let request = RequestId(u64::from(serial));
        NewAttempt {
            serial,
            request,
            session: Some(SessionId(serial)),
            wait,
            open_before_run: false,
            network_delay: 0,
        }
    }

    fn open(&mut self, now: Micros, wait: Micros) -> Vec<Output> {
        let attempt = self.new_attempt(wait);
        self.at(now, Input::Open(attempt))
    }

    fn open_before_run(&mut self, now: Micros, count: u32) {
        for _ in 0..count {
            let attempt = NewAttempt { open_before_run: true, ..self.new_attempt(S) };
            let out = self.at(now, Input::Open(attempt));
            assert!(matches!(out[..], [Output::Answer(_, NodeAnswer::Up(_))]), "{out:?}");
        }
    }
}

fn answers(out: &[(Micros, Output)]) -> Vec<(Micros, u32, NodeAnswer)> {
    let answer = |(at, o): &(Micros, Output)| match o {
        Output::Answer(serial, answer) => Some((*at, *serial, *answer)),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

#[test]
fn message_latency_grows_with_utilization() {
    let share = |connections| {
        let mut fixture = Fixture::new(|_| {});
        fixture.open_before_run(0, connections);
        let (mut well, total) = (0, 2000);
        for i in 0..total {
            let now = S + i * S;
            fixture.at(now, Input::Line(0));
            let out = fixture.until(now + S - 1);
            well += usize::from(out.iter().any(|(at, o)| *o == Output::Return(0) && at - now <= 60 * MS));
        }
        well as f64 / total as f64
    };
    let shares = [2, 10, 15, 17, 18, 19, 20].map(share);
    assert!(shares.windows(2).all(|pair| pair[0] >= pair[1]), "{shares:?}");
    assert!(shares[0] > 0.99 && shares[3] > 0.5 && shares[6] < 0.4, "{shares:?}");
}

#[test]
fn messages_wait_for_the_backlog() {
    let mut fixture = Fixture::new(|plan| plan.nodes[0].buffer = 90 * S);
    fixture.open_before_run(0, 22);
    // The demand is 10% above the capacity for 1 s, which builds up a backlog of 0.1 s.
    for i in 0..500 {
        fixture.at(S + i, Input::Line(0));
    }
    let first = fixture.until(9 * S).iter().find(|(_, o)| *o == Output::Return(0)).map(|(at, _)| *at);
    assert!(first.is_some_and(|at| at - S > 95 * MS), "{first:?}");
    for serial in 0..4 {
        fixture.at(9 * S, Input::Closed(serial));
    }
    fixture.at(9 * S, Input::Tick);
    assert!((fixture.model.backlog_seconds() - 0.9).abs() < 1e-6, "{}", fixture.model.backlog_seconds());
    fixture.at(20 * S, Input::Tick);
    assert_eq!(fixture.model.backlog_seconds(), 0.0);
}

#[test]
fn lines_return_in_order_and_bye_comes_last() {
    let mut fixture = Fixture::new(|_| {});
    fixture.open_before_run(0, 19);
    for i in 0..50 {
        fixture.at(S + i * 100, Input::Line(3));
    }
    fixture.at(S + 6 * MS, Input::Ended(3));
    assert_eq!(fixture.at(S + 6 * MS, Input::Line(3)), []);
    let out: Vec<Output> = fixture.until(100 * S).into_iter().map(|(_, o)| o).collect();
    assert_eq!(out.iter().filter(|o| **o == Output::Return(3)).count(), 50);
    assert_eq!(out.last(), Some(&Output::Bye(3)));
}

#[test]
fn a_set_up_takes_its_wait_its_work_and_the_backlog() {
    let mut fixture = Fixture::new(|plan| plan.nodes[0].setup_work = 0.1);
    for _ in 0..3 {
        fixture.open(0, S);
    }
    let ups: Vec<Micros> = answers(&fixture.until(S)).iter().map(|(at, ..)| *at).collect();
    assert_eq!(ups, [105, 205, 305].map(|ms| ms * MS));
}

#[test]
fn a_set_up_beyond_the_proxys_wait_is_refused_without_work() {
    let mut fixture = Fixture::new(|plan| plan.nodes[0].setup_work = 0.1);
    for wait in [S, 150 * MS, 220 * MS] {
        fixture.open(0, wait);
    }
    let out = answers(&fixture.until(S));
    assert!(matches!(
        out[..],
        [(105_000, 0, NodeAnswer::Up(_)), (150_000, 1, NodeAnswer::Busy), (205_000, 2, NodeAnswer::Up(_))]
    ));
}

#[test]
fn a_full_or_draining_node_and_a_duplicate_id_are_refused() {
    let mut fixture = Fixture::new(|plan| (plan.nodes[0].setups_max, plan.nodes[0].connections_max) = (2, 5));
    fixture.open_before_run(0, 2);
    let duplicate = NewAttempt { request: RequestId(0), ..fixture.new_attempt(S) };
    assert_eq!(fixture.at(0, Input::Open(duplicate)), [Output::Answer(2, NodeAnswer::Error)]);
    for _ in 0..2 {
        assert_eq!(fixture.open(0, S), []);
    }
    assert_eq!(fixture.open(0, S), [Output::Answer(5, NodeAnswer::Busy)], "the limit of set-ups is 2");
    assert_eq!(answers(&fixture.until(S)).len(), 2);
    assert_eq!(fixture.open(S, S), []);
    fixture.until(2 * S);
    assert_eq!(
        fixture.open(2 * S, S),
        [Output::Answer(7, NodeAnswer::Busy)],
        "the limit of connections is 5"
    );
    fixture.at(2 * S, Input::Ended(0));
    fixture.at(2 * S, Input::Change(NodeChange::Drain { within: S }));
    assert_eq!(fixture.open(2 * S, S).last(), Some(&Output::Answer(8, NodeAnswer::Busy)));
}

#[test]
fn a_draining_node_moves_its_connections_at_an_even_rate() {
    let mut fixture = Fixture::new(|_| {});
    fixture.open_before_run(0, 9);
    fixture.open(S, S);
    fixture.at(S, Input::Change(NodeChange::Drain { within: 5 * S }));
    let out = fixture.until(100 * S);
    let moved: Vec<Micros> =
        out.iter().filter(|(_, o)| matches!(o, Output::Move(_))).map(|(at, _)| *at).collect();
    assert_eq!(moved, (1..=9).map(|i| S + 5 * S * i / 10).collect::<Vec<_>>());
    assert!(fixture.model.connections.demand() == 0.0 && fixture.model.connections.serials().is_empty());
}

#[test]
fn a_cold_node_fails_beyond_its_budget() {
    // The budget is 4 connections a second, which fill the node's 20 connections in 5 s. At 30% of the capacity the
    // limit is 3 x 4 x 0.3 x 2 s = 7.2 arrivals in 2 s, plus 4 of slack.
    let fails = |count: i64, from: Micros, gap: Micros| {
        let mut fixture = Fixture::new(|plan| plan.nodes[0].from_start = false);
        fixture.at(0, Input::Change(NodeChange::Start));
        let has_failed = |out: Vec<Output>| out.contains(&Output::Failed);
        (0..count).any(|i| has_failed(fixture.open(from + i * gap, S)))
    };
    assert!(!fails(11, 0, 1));
    assert!(fails(12, 0, 1));
    assert!(!fails(19, 2500 * MS, 1), "at 65% of the capacity the limit is 15.6 + 4");
    assert!(fails(20, 2500 * MS, 1));
    assert!(!fails(200, 5 * S, 1), "a warm node has no limit");
    assert!(!fails(9, 0, S), "arrivals before the window do not count");
    let mut fixture = Fixture::new(|plan| plan.nodes[0].from_start = false);
    fixture.at(0, Input::Change(NodeChange::Start));
    (0..12).for_each(|_| drop(fixture.open(0, S)));
    fixture.at(9 * S, Input::Change(NodeChange::Start));
    assert!(!fixture.model.is_running(), "a failed node does not restart");
}

#[test]
fn the_heaviest_connections_are_shed_until_the_demand_fits() {
    let mut fixture = Fixture::new(|plan| {
        plan.sessions[4].loads = vec![(0, 0.05), (S, 0.4)];
        plan.sessions[7].loads = vec![(0, 0.05), (S, 0.3)];
    });
    fixture.open_before_run(0, 18);
    // The demand is 0.9 until 1 s, and 1.5 afterwards, so 1 s of work is in the backlog 2 s later. Both connections
    // reported their load when it grew.
    let out = fixture.until(20 * S);
    let load_reports = [(S, Output::Load(4, 400_000)), (S, Output::Load(7, 300_000))];
    assert_eq!(out[..2], load_reports);
    assert_eq!(out[2..], [(3 * S, Output::Reset(4)), (3 * S, Output::Reset(7))]);
    assert!(fixture.model.utilization(20 * S) < 1.0);
}

#[test]
fn groups_cost_once_and_slowdown_and_warm_up_reduce_capacity() {
    let mut fixture = Fixture::new(|plan| {
        plan.nodes[0].group_cost = 2.0;
        (0..5).for_each(|i| plan.sessions[i].group = 1);
    });
    fixture.open_before_run(0, 6);
    let expected = 6.0 * 0.05 + 2.0 * (2.0 / 20.0);
    assert!((fixture.model.utilization(0) - expected).abs() < 1e-9);
    fixture.at(0, Input::Closed(5));
    fixture.at(0, Input::Closed(0));
    assert!((fixture.model.utilization(0) - (0.2 + 0.1)).abs() < 1e-9);
    fixture.at(S, Input::Change(NodeChange::Slow(4.0)));
    assert!((fixture.model.utilization(S) - 4.0 * 0.3).abs() < 1e-9);
    fixture.at(S, Input::Change(NodeChange::Slow(1.0)));
    fixture.at(S, Input::Change(NodeChange::Kill));
    fixture.at(2 * S, Input::Change(NodeChange::Start));
    fixture.open_before_run(2 * S, 2);
    let utilization = [2, 7].map(|s| fixture.model.utilization(s * S));
    let demand = 2.0 * 0.05 + 2.0 * 0.1;
    assert!(
        (utilization[0] - demand / 0.3).abs() < 1e-9 && (utilization[1] - demand).abs() < 1e-9,
        "{utilization:?}"
    );
}

#[test]
fn a_hung_node_is_silent_and_answers_pending_attempts_after_recovery() {
    let mut fixture = Fixture::new(|_| {});
    fixture.open_before_run(0, 2);
    fixture.at(S, Input::Change(NodeChange::Hang));
    fixture.open(S, 300 * MS);
    fixture.open(S, 9 * S);
    fixture.at(S, Input::Line(1));
    fixture.at(S, Input::Ended(0));
    assert_eq!(fixture.until(3 * S), []);
    let out = fixture.at(3 * S, Input::Change(NodeChange::Recover));
    assert!(
        matches!(
            out[..],
            [
                Output::Bye(0),
                Output::Return(1),
                Output::Answer(2, NodeAnswer::Busy),
                Output::Answer(3, NodeAnswer::Up(_))
            ]
        ),
        "{out:?}"
    );
    fixture.at(4 * S, Input::Change(NodeChange::Rubbish));
    assert!(matches!(fixture.open(4 * S, S)[..], [Output::Rubbish(4, _)]));
    fixture.at(4 * S, Input::Line(1));
    assert!(fixture.until(5 * S).iter().any(|(_, o)| *o == Output::Return(1)));
    let reset = fixture.at(5 * S, Input::Change(NodeChange::Kill));
    assert_eq!(reset, [Output::Reset(1), Output::Reset(3)]);
}

#[test]
fn receipts_are_unique() {
    let mut all = std::collections::HashSet::new();
    for node in [0, 1, 249] {
        for serial in 0..5000 {
            for random in [0, 1, u16::MAX] {
                assert!(all.insert(receipt(NodeId(node), serial, random)));
            }
        }
    }
}

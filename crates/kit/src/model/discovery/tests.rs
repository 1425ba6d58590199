use super::*;
use crate::model::registry::FIRST_REVISION;
use crate::model::testing::plan;

struct Fixture(Discovery, Vec<Output>);

impl Fixture {
    fn new() -> Self {
        Fixture(Discovery::new(&plan(2, 1, 0)), Vec::new())
    }

    fn at(&mut self, now: Micros, input: Input) -> Vec<Output> {
        if let Input::Call(id, _) = input {
            self.0.record_accepted(id);
        }
        self.0.handle(now, input, &mut self.1);
        std::mem::take(&mut self.1)
    }

    fn watch(&mut self, now: Micros, id: u64, from: u64) -> Vec<Output> {
        assert!(self.at(now, Input::Call(id, Call::Watch { from })).is_empty());
        self.at(now + SERVICE_TIME, Input::Tick)
    }
}

fn nodes(update: &Update) -> Vec<(u16, Phase)> {
    update.entries.iter().map(|(node, entry)| (node.0, entry.phase)).collect()
}

#[test]
fn a_watch_receives_the_changes_after_its_revision_or_the_complete_list() {
    let mut fixture = Fixture::new();
    fixture.at(0, Input::Listed(NodeId(1), Phase::Removed, None));
    fixture.at(0, Input::Listed(NodeId(0), Phase::Draining, None));
    for (id, from, complete, expected) in [
        (1, FIRST_REVISION, false, vec![(1, Phase::Removed), (0, Phase::Draining)]),
        (2, FIRST_REVISION + 1, false, vec![(0, Phase::Draining)]),
        (3, FIRST_REVISION + 2, false, vec![]),
        (4, FIRST_REVISION + 3, true, vec![(0, Phase::Draining), (1, Phase::Removed)]),
        (5, 0, true, vec![(0, Phase::Draining), (1, Phase::Removed)]),
    ] {
        let out = fixture.watch(1000 * id as Micros, id, from);
        let [Output::StartWatch(_, update)] = &out[..] else { panic!("{out:?}") };
        assert_eq!((update.complete, nodes(update)), (complete, expected), "from {from}");
    }
    fixture.at(20_000, Input::Change(DiscoveryChange::Gap));
    let out = fixture.watch(30_000, 6, FIRST_REVISION + 2);
    assert!(matches!(&out[..], [Output::StartWatch(6, Update { complete: true, .. })]), "{out:?}");
    let out = fixture.watch(40_000, 7, FIRST_REVISION + 2);
    assert!(matches!(&out[..], [Output::StartWatch(7, Update { complete: false, .. })]), "{out:?}");
}

#[test]
fn calls_are_served_in_order_and_time_out() {
    let mut fixture = Fixture::new();
    for id in 0..4 {
        fixture.at(0, Input::Call(id, Call::List));
    }
    let mut served = Vec::new();
    while let Some(at) = fixture.0.next_timeout() {
        served.extend(fixture.at(at, Input::Tick).into_iter().map(|_| at));
    }
    assert_eq!(served, [1, 2, 3, 4].map(|n| n * SERVICE_TIME));
    fixture.at(S, Input::Call(9, Call::List));
    let late = fixture.at(S + CALL_TIMEOUT + 1, Input::Tick);
    assert_eq!(late, [Output::Unavailable(9)]);
}

#[test]
fn heartbeats_are_sent_and_repair_an_unreadable_update() {
    let mut fixture = Fixture::new();
    fixture.watch(0, 1, FIRST_REVISION);
    let beat = fixture.0.next_timeout().unwrap();
    assert_eq!(fixture.at(beat, Input::Tick), [Output::Heartbeat(1)]);
    fixture.at(beat + 1, Input::Change(DiscoveryChange::BadList));
    let out = fixture.at(beat + S, Input::Listed(NodeId(0), Phase::Draining, None));
    assert!(matches!(&out[..], [Output::ContinueWatch(1, _, WriteMode::Unreadable)]), "{out:?}");
    let out = fixture.at(fixture.0.next_timeout().unwrap(), Input::Tick);
    let [Output::ContinueWatch(1, update, WriteMode::Whole)] = &out[..] else { panic!("{out:?}") };
    assert_eq!(nodes(update), [(0, Phase::Draining)]);
}

#[test]
fn each_fault_takes_effect_until_restored() {
    let mut fixture = Fixture::new();
    fixture.watch(0, 1, FIRST_REVISION);
    let change = |what| Input::Change(what);
    assert_eq!(fixture.at(S, change(DiscoveryChange::Silent)), [Output::Reachable(false)]);
    assert_eq!(fixture.at(S, Input::Listed(NodeId(0), Phase::Removed, None)), []);
    assert_eq!(fixture.0.next_timeout(), None);
    let out = fixture.at(9 * S, change(DiscoveryChange::Restore));
    assert!(matches!(&out[..], [Output::Reachable(true), Output::ContinueWatch(1, ..)]), "{out:?}");
    fixture.at(9 * S, change(DiscoveryChange::Unavailable));
    assert_eq!(fixture.watch(9 * S, 2, 0), [Output::Unavailable(2)]);
    let out = fixture.at(10 * S, change(DiscoveryChange::Resetting));
    assert_eq!(out, [Output::Reset(1), Output::Reset(2)]);
    fixture.0.record_accepted(3);
    assert_eq!(fixture.at(10 * S, Input::Call(3, Call::List)), [Output::Reset(3)]);
    fixture.at(11 * S, change(DiscoveryChange::Restore));
    fixture.watch(11 * S, 4, 0);
    let out = fixture.at(12 * S, change(DiscoveryChange::MoveAway));
    assert_eq!(out, [Output::Listen(1)]);
    fixture.watch(12 * S, 5, 0);
    let out = fixture.at(12 * S + OLD_ADDRESS_LINGER, Input::Tick);
    assert!(out.contains(&Output::Close(4)) && !out.contains(&Output::Close(5)), "{out:?}");
    let out = fixture.at(14 * S, change(DiscoveryChange::Down));
    assert_eq!(out, [Output::StopListening, Output::Reset(5), Output::Reachable(false)]);
    let out = fixture.at(15 * S, change(DiscoveryChange::Restore));
    assert_eq!(out, [Output::Listen(1), Output::Reachable(true)]);
}

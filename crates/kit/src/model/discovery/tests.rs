use super::*;
use crate::model::registry::FIRST;
use crate::model::testing::plan;

struct Scene(Discovery, Vec<Output>);

impl Scene {
    fn new() -> Self {
        Scene(Discovery::new(&plan(2, 1, 0)), Vec::new())
    }

    fn at(&mut self, now: Micros, input: Input) -> Vec<Output> {
        if let Input::Call(id, _) = input {
            self.0.opened(id);
        }
        self.0.handle(now, input, &mut self.1);
        std::mem::take(&mut self.1)
    }

    fn watch(&mut self, now: Micros, id: u64, from: u64) -> Vec<Output> {
        assert!(self.at(now, Input::Call(id, Call::Watch { from })).is_empty());
        self.at(now + SERVICE, Input::Tick)
    }
}

fn nodes(update: &Update) -> Vec<(u16, Phase)> {
    update.entries.iter().map(|(node, entry)| (node.0, entry.phase)).collect()
}

#[test]
fn a_watch_gets_what_changed_after_its_version_or_all() {
    let mut scene = Scene::new();
    scene.at(0, Input::Listed(NodeId(1), Phase::Removed, None));
    scene.at(0, Input::Listed(NodeId(0), Phase::Draining, None));
    for (id, from, complete, expected) in [
        (1, FIRST, false, vec![(1, Phase::Removed), (0, Phase::Draining)]),
        (2, FIRST + 1, false, vec![(0, Phase::Draining)]),
        (3, FIRST + 2, false, vec![]),
        (4, FIRST + 3, true, vec![(0, Phase::Draining), (1, Phase::Removed)]),
        (5, 0, true, vec![(0, Phase::Draining), (1, Phase::Removed)]),
    ] {
        let out = scene.watch(1000 * id as Micros, id, from);
        let [Output::Begin(_, update)] = &out[..] else { panic!("{out:?}") };
        assert_eq!((update.complete, nodes(update)), (complete, expected), "from {from}");
    }
    scene.at(20_000, Input::Change(DiscoveryChange::Gap));
    let out = scene.watch(30_000, 6, FIRST + 2);
    assert!(matches!(&out[..], [Output::Begin(6, Update { complete: true, .. })]), "{out:?}");
    let out = scene.watch(40_000, 7, FIRST + 2);
    assert!(matches!(&out[..], [Output::Begin(7, Update { complete: false, .. })]), "{out:?}");
}

#[test]
fn calls_wait_in_turn_and_not_for_ever() {
    let mut scene = Scene::new();
    for id in 0..4 {
        scene.at(0, Input::Call(id, Call::List));
    }
    let mut served = Vec::new();
    while let Some(at) = scene.0.next_timeout() {
        served.extend(scene.at(at, Input::Tick).into_iter().map(|_| at));
    }
    assert_eq!(served, [1, 2, 3, 4].map(|n| n * SERVICE));
    scene.at(S, Input::Call(9, Call::List));
    let late = scene.at(S + PATIENCE + 1, Input::Tick);
    assert_eq!(late, [Output::Unavailable(9)]);
}

#[test]
fn beats_come_while_nothing_changes_and_a_bad_list_is_made_good_by_the_next() {
    let mut scene = Scene::new();
    scene.watch(0, 1, FIRST);
    let beat = scene.0.next_timeout().unwrap();
    assert_eq!(scene.at(beat, Input::Tick), [Output::Beat(1)]);
    scene.at(beat + 1, Input::Change(DiscoveryChange::BadList));
    let out = scene.at(beat + S, Input::Listed(NodeId(0), Phase::Draining, None));
    assert!(matches!(&out[..], [Output::Line(1, _, How::Unreadable)]), "{out:?}");
    let out = scene.at(scene.0.next_timeout().unwrap(), Input::Tick);
    let [Output::Line(1, update, How::Whole)] = &out[..] else { panic!("{out:?}") };
    assert_eq!(nodes(update), [(0, Phase::Draining)]);
}

#[test]
fn each_fault_does_what_it_says_until_restored() {
    let mut scene = Scene::new();
    scene.watch(0, 1, FIRST);
    let change = |what| Input::Change(what);
    assert_eq!(scene.at(S, change(DiscoveryChange::Silent)), [Output::Reachable(false)]);
    assert_eq!(scene.at(S, Input::Listed(NodeId(0), Phase::Removed, None)), []);
    assert_eq!(scene.0.next_timeout(), None);
    let out = scene.at(9 * S, change(DiscoveryChange::Restore));
    assert!(matches!(&out[..], [Output::Reachable(true), Output::Line(1, ..)]), "{out:?}");
    scene.at(9 * S, change(DiscoveryChange::Unavailable));
    assert_eq!(scene.watch(9 * S, 2, 0), [Output::Unavailable(2)]);
    let out = scene.at(10 * S, change(DiscoveryChange::Resetting));
    assert_eq!(out, [Output::Reset(1), Output::Reset(2)]);
    scene.0.opened(3);
    assert_eq!(scene.at(10 * S, Input::Call(3, Call::List)), [Output::Reset(3)]);
    scene.at(11 * S, change(DiscoveryChange::Restore));
    scene.watch(11 * S, 4, 0);
    let out = scene.at(12 * S, change(DiscoveryChange::MoveAway));
    assert_eq!(out, [Output::Listen(1)]);
    scene.watch(12 * S, 5, 0);
    let out = scene.at(12 * S + OLD_ADDRESS, Input::Tick);
    assert!(out.contains(&Output::Close(4)) && !out.contains(&Output::Close(5)), "{out:?}");
    let out = scene.at(14 * S, change(DiscoveryChange::Down));
    assert_eq!(out, [Output::Deaf, Output::Reset(5), Output::Reachable(false)]);
    let out = scene.at(15 * S, change(DiscoveryChange::Restore));
    assert_eq!(out, [Output::Listen(1), Output::Reachable(true)]);
}

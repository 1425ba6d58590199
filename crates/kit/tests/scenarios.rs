//! Scenarios as shipped and as written by hand: what is drawn from them.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_kit::plan::Phase;
use cottonnotch_kit::plan::{NodeChange, NodeId, Plan, ProxyChange, ProxyId, TimelineChange};
use cottonnotch_kit::scenario::Scenario;
use cottonnotch_kit::settings::settings;
use cottonnotch_kit::time::{MS, Micros, S};
use proptest::prelude::*;
use simd_json::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const PLAIN: &str = "name = \"plain\"\nseconds = 20\n";
const KILL: &str = "[[fault]]\nat_s = 5\nkind = \"kill\"\nshare = 0.25\nfor_s = 4\n";
const RUDE: &str = "[[fault]]\nat_s = 2\nkind = \"rude\"\nper_s = 9\nfor_s = 4\n";

fn read(text: &str) -> Scenario {
    Scenario::read(Path::new("test.toml"), text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

fn shipped() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals");
    let folders = [root.clone(), root.join("short")];
    let entries = folders.into_iter().flat_map(|folder| std::fs::read_dir(folder).unwrap());
    let files = entries.map(|entry| entry.unwrap().path());
    files.filter(|path| path.extension().is_some_and(|it| it == "toml")).collect()
}

/// What holds for every plan, whatever was written.
fn assert_sane(plan: &Plan, what: &str) {
    let fail = |words: &str| panic!("{what}, seed {}: {words}", plan.seed);
    if !plan.timeline.is_sorted_by_key(|it| it.at) || plan.timeline.iter().any(|it| it.at > plan.ends) {
        fail("the timeline is out of order or goes beyond the end");
    }
    if !plan.sessions.is_sorted_by_key(|it| it.arrives) || !plan.rude.is_sorted_by_key(|it| it.arrives) {
        fail("clients out of order");
    }
    let keys: BTreeSet<u64> = plan.sessions.iter().map(|session| session.key).collect();
    if keys.len() != plan.sessions.len() || keys.last().is_some_and(|key| *key >= 1 << 53) {
        fail("keys are not unique numbers of 53 bits");
    }
    for session in &plan.sessions {
        let loads = &session.loads;
        let known = usize::from(session.class) < plan.classes.len()
            && usize::from(session.tenant) < plan.tenants.len()
            && usize::from(session.zone) < plan.zones.len();
        let steps = loads.first().is_some_and(|(at, _)| *at == 0) && loads.is_sorted_by_key(|(at, _)| *at);
        let figures = loads.iter().all(|(_, load)| load.is_finite() && *load >= 0.0)
            && session.patience > 0.0
            && session.patience <= 1.0;
        let times = session.arrives >= 0 && session.arrives <= plan.ends && session.life > 0;
        if !(known && steps && figures && times) {
            fail(&format!("{session:?}"));
        }
    }
    if plan.nodes.iter().any(|node| !(node.capacity > 0.0 && node.size > 0.0 && node.warm_up >= 0)) {
        fail("a render node that can do nothing");
    }
    nodes_are_consistent(plan, &fail);
    proxies_are_consistent(plan, &fail);
}

fn nodes_are_consistent(plan: &Plan, fail: &dyn Fn(&str)) {
    let mut running: Vec<bool> = plan.nodes.iter().map(|node| node.from_start).collect();
    let mut last: BTreeMap<NodeId, (Micros, NodeChange)> = BTreeMap::new();
    let mut listed: BTreeMap<NodeId, Phase> = BTreeMap::new();
    let mut drains: BTreeSet<NodeId> = BTreeSet::new();
    for event in &plan.timeline {
        match &event.change {
            TimelineChange::Node(node, change) => {
                let runs = &mut running[usize::from(node.0)];
                last.insert(*node, (event.at, *change));
                match change {
                    NodeChange::Kill | NodeChange::Vanish if !*runs => fail("gone twice"),
                    NodeChange::Start if *runs => fail("started while it runs"),
                    NodeChange::Kill | NodeChange::Vanish => *runs = false,
                    NodeChange::Start | NodeChange::Recover => *runs = true,
                    NodeChange::Drain { within } => {
                        drains.insert(*node);
                        let over = event.at + within;
                        let goes = plan.timeline.iter().any(|it| {
                            it.change == TimelineChange::Node(*node, NodeChange::Kill)
                                && (over + 1..over + S).contains(&it.at)
                        });
                        if !goes && over + S < plan.ends {
                            fail("a node drained and did not go");
                        }
                    }
                    _ => {}
                }
            }
            TimelineChange::Listed(node, phase) => {
                let at_start =
                    if plan.nodes[usize::from(node.0)].from_start { Phase::Up } else { Phase::Removed };
                let before = listed.insert(*node, *phase).unwrap_or(at_start);
                let drained = drains.remove(node);
                if *phase == Phase::Removed && drained && before != Phase::Draining {
                    // Only a node that runs again by then may miss its drain on the list.
                    let again = plan
                        .timeline
                        .iter()
                        .any(|it| it.change == TimelineChange::Node(*node, NodeChange::Start));
                    if !again {
                        fail("removed after a drain that was never listed");
                    }
                }
                if *phase != Phase::Up && *phase == before {
                    fail("listed twice as the same");
                }
            }
            _ => {}
        }
    }
    for (node, (at, change)) in last {
        // Longer than any notice.
        let long_gone = at + 26 * S < plan.ends;
        let gone = matches!(change, NodeChange::Kill | NodeChange::Vanish);
        if gone && long_gone && listed.get(&node).is_some_and(|phase| *phase != Phase::Removed) {
            fail(&format!("{node:?} is gone since {at} and still listed"));
        }
    }
}

fn proxies_are_consistent(plan: &Plan, fail: &dyn Fn(&str)) {
    let mut running = vec![true; plan.proxies.len()];
    for event in &plan.timeline {
        let TimelineChange::Proxy(proxy, change) = event.change else { continue };
        let runs = &mut running[usize::from(proxy.0)];
        match change {
            ProxyChange::Start if *runs => fail("a proxy started while it runs"),
            ProxyChange::Kill | ProxyChange::Terminate | ProxyChange::Reload if !*runs => fail("not running"),
            ProxyChange::Start => *runs = true,
            ProxyChange::Kill | ProxyChange::Terminate => *runs = false,
            ProxyChange::Reload => {}
        }
    }
}

#[test]
fn all_shipped_scenarios_can_be_drawn() {
    let files = shipped();
    assert_eq!(files.len(), 26, "{files:?}");
    for file in files {
        let scenario = Scenario::load(&file).unwrap_or_else(|error| panic!("{error}"));
        let name = file.display().to_string();
        let short = name.contains("/short/");
        for seed in 0..20 {
            let plan = scenario.draw(seed);
            assert_sane(&plan, &name);
            let seconds = (plan.ends - plan.measured_from) / S;
            assert!(if short { (8..=18).contains(&seconds) } else { (25..=60).contains(&seconds) }, "{name}");
            let standing =
                plan.sessions.iter().filter(|session| session.arrives < plan.measured_from).count();
            assert!(!short || (60..=150).contains(&standing), "{name}: {standing} standing sessions");
        }
    }
}

#[test]
fn a_seed_gives_one_plan() {
    for file in shipped() {
        let scenario = Scenario::load(&file).unwrap();
        let (one, again, other) = (scenario.draw(7), scenario.draw(7), scenario.draw(8));
        assert_eq!(one, again);
        assert_eq!(one.digest(), again.digest());
        assert_ne!(one.digest(), other.digest());
    }
}

#[test]
fn a_further_fault_moves_nothing_else() {
    let plain = read(PLAIN).draw(3);
    let more = read(&format!("{PLAIN}{RUDE}{KILL}")).draw(3);
    let killed = read(&format!("{PLAIN}{KILL}")).draw(3);
    assert_eq!((&plain.sessions, &plain.nodes, &plain.habits), (&more.sessions, &more.nodes, &more.habits));
    assert_eq!(killed.sessions, plain.sessions);
    let of_nodes = |plan: &Plan| -> Vec<_> {
        let all = plan
            .timeline
            .iter()
            .filter(|it| matches!(it.change, TimelineChange::Node(..) | TimelineChange::Listed(..)));
        all.cloned().collect()
    };
    assert!(of_nodes(&killed).len() >= 12);
    assert_eq!(of_nodes(&killed), of_nodes(&more));
    assert!(more.rude.len() > 10);
    let wave = plain.measured_from + 2 * S..plain.measured_from + 6 * S;
    assert!(more.rude.iter().all(|rude| wave.contains(&rude.arrives)));
}

#[test]
fn a_surge_adds_arrivals_and_a_lull_takes_some_away() {
    let keys = |plan: &Plan| plan.sessions.iter().map(|session| session.key).collect::<BTreeSet<_>>();
    let surge = |load: f64| {
        read(&format!("{PLAIN}[[fault]]\nat_s = 5\nkind = \"surge\"\nload = {load}\nfor_s = 10\n"))
    };
    let (mut lull, mut usual, mut rush) = (0, 0, 0);
    for seed in 0..30 {
        let (less, plain, more) = (surge(0.5).draw(seed), read(PLAIN).draw(seed), surge(3.0).draw(seed));
        assert!(keys(&plain).is_subset(&keys(&more)) && keys(&less).is_subset(&keys(&plain)), "seed {seed}");
        let inside = |plan: &Plan| {
            let span = plan.measured_from + 5 * S..plan.measured_from + 15 * S;
            plan.sessions.iter().filter(|session| span.contains(&session.arrives)).count()
        };
        lull += inside(&less);
        usual += inside(&plain);
        rush += inside(&more);
    }
    let (lull, rush) = (lull as f64 / usual as f64, rush as f64 / usual as f64);
    assert!((lull - 0.5).abs() < 0.06 && (rush - 3.0).abs() < 0.25, "{lull} {rush}");
}

#[test]
fn the_load_is_what_was_asked_for() {
    let text = "name = \"load\"\nseconds = 12\n[fleet]\nnodes = 40\n\
                [load]\nshare = 0.35\nfill_s = 1\nsettle_s = 1\n";
    let scenario = read(text);
    let (mut loads, mut arrivals) = (Vec::new(), Vec::new());
    for seed in 0..150 {
        let plan = scenario.draw(seed);
        let capacity: f64 = plan.nodes.iter().map(|node| node.capacity).sum();
        let mut sum = 0.0;
        for step in 0..12 {
            let at = plan.measured_from + step * S;
            let stand = plan.sessions.iter().filter(|it| it.arrives <= at && at < it.arrives + it.life);
            sum += stand.map(|session| session.load_at(at - session.arrives)).sum::<f64>();
        }
        loads.push(sum / 12.0 / capacity);
        // Quotas are made of the same figures: connections over arrivals a second is the mean life.
        let life = plan.tenants[0].quota_connections / plan.tenants[0].quota_per_s;
        let standing = plan.sessions.iter().filter(|it| it.arrives < plan.measured_from).count() as f64;
        arrivals.push((plan.sessions.len() as f64 - standing) / (standing / life * 12.0));
    }
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    assert!((mean(&loads) / 0.35 - 1.0).abs() < 0.05, "load {}", mean(&loads));
    assert!((mean(&arrivals) - 1.0).abs() < 0.02, "arrivals {}", mean(&arrivals));
}

#[test]
fn a_proxy_comes_back_after_it_is_surely_gone() {
    let restart = "[[fault]]\nat_s = 5\nkind = \"proxy\"\nchange = \"restart\"\nnames = [\"proxy-1\"]\n";
    let plan = read(&format!("{PLAIN}{restart}")).draw(1);
    let proxies = plan.timeline.iter().filter_map(|it| match it.change {
        TimelineChange::Proxy(proxy, change) => Some((proxy.0, change, it.at - plan.measured_from)),
        _ => None,
    });
    let expected = [(1, ProxyChange::Terminate, 5 * S), (1, ProxyChange::Start, 5 * S + 3900 * MS)];
    assert_eq!(proxies.collect::<Vec<_>>(), expected);
}

#[test]
fn what_is_written_is_not_scaled_and_what_is_usual_is() {
    let plan = read("name = \"x\"\nseconds = 9\nscale = 0.1\n[front]\nnotice_s = 3\n").draw(2);
    assert_eq!(plan.front.notice, 3 * S);
    assert!(plan.nodes.iter().all(|node| (320 * MS..=900 * MS).contains(&node.warm_up)));
}

#[test]
fn the_settings_have_the_platforms_names() {
    let plan = read(PLAIN).draw(5);
    let settings = settings(&plan, ProxyId(2));
    let at = |path: &str| {
        path.split('.').fold(&settings, |value, step| {
            let found = match step.parse::<usize>() {
                Ok(item) => value.get_idx(item),
                Err(_) => value.get(step),
            };
            found.unwrap_or_else(|| panic!("{path}"))
        })
    };
    let figure = |path: &str| at(path).cast_f64().unwrap_or_else(|| panic!("{path}"));
    let text = |path: &str| at(path).as_str().unwrap_or_else(|| panic!("{path}")).to_owned();
    assert_eq!((figure("ordinal"), figure("balancers")), (2.0, 5.0));
    assert_eq!(["registryMode", "workload", "familyInfo.mode"].map(text), ["on_request", "conn", "proxy"]);
    assert_eq!(["zone", "zones.4", "skus.1"].map(text), ["hall-c", "hall-e", "std-2c"]);
    assert_eq!(text("requestClasses.1.name"), "note-edit");
    assert_eq!(
        (figure("requestClasses.1.deadline"), figure("familyInfo.messageAim.1")),
        (1_200_000.0, 60_000.0)
    );
    assert_eq!((figure("rules.fall"), figure("rules.stopSendingWithin")), (2_000_000.0, 1_000_000.0));
    assert!(plan.nodes.iter().all(|node| node.cold_from >= figure("rules.coldFrom")));
    assert!(plan.nodes.iter().all(|node| node.warm_up as f64 <= figure("rules.warmUp")));
    let life = figure("familyInfo.tenantQuotaConnections.0") / figure("tenants.0.allowancePerS");
    assert!((30.0..60.0).contains(&life), "a life of {life} s");
}

fn fault() -> impl Strategy<Value = String> {
    let kind = prop_oneof![
        ("kill|vanish|hang|rubbish|slow", 1..4_u8, 1.0..6.0_f64)
            .prop_map(|(kind, n, s)| format!("\"{kind}\"\nnodes = {n}\nfor_s = {s}")),
        ("vanish|hang|rubbish", 1..3_u8)
            .prop_map(|(kind, n)| format!("\"{kind}\"\nnodes = {n}\nfor_s = 2\nthen = \"recover\"")),
        (0.4..0.9_f64, "before|after")
            .prop_map(|(to, told)| format!("\"shrink\"\nto = {to}\nover_s = 4\ntold = \"{told}\"")),
        (0.5..3.0_f64, "before|after")
            .prop_map(|(s, told)| format!("\"rolling-restart\"\nevery_s = {s}\ntold = \"{told}\"")),
        (1..5_u8)
            .prop_map(|n| format!("\"flap\"\nnodes = 1\ntimes = {n}\ndown_s = [0.1, 3]\nup_s = [0.1, 3]")),
        Just("\"grow\"\nnodes = 1\nspread_s = 2".to_owned()),
        Just("\"drop\"".to_owned()),
        (0.0..3.0_f64).prop_map(|load| format!("\"surge\"\nload = {load}\nfor_s = 4")),
        ("kill|terminate|restart", 0.1..4.0_f64)
            .prop_map(|(change, s)| format!("\"proxy\"\nchange = \"{change}\"\nfor_s = {s}")),
        "down|unavailable|resetting|silent"
            .prop_map(|c| format!("\"discovery\"\nchange = \"{c}\"\nfor_s = 3")),
        "in-pieces|gap|bad-list|move-away".prop_map(|c| format!("\"discovery\"\nchange = \"{c}\"")),
        Just("\"network\"\nchange = \"cut-off\"\nnodes = 1\nfor_s = 2".to_owned()),
        Just("\"rude\"\nper_s = 5\nfor_s = 3".to_owned()),
    ];
    (0.0..19.0_f64, kind).prop_map(|(at, kind)| format!("[[fault]]\nat_s = {at}\nkind = {kind}\n"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// A random file is either refused as contradictory or gives a sane plan, the same twice.
    #[test]
    fn whatever_is_taken_gives_a_sane_plan(
        faults in prop::collection::vec(fault(), 0..5),
        nodes in 1..24_u16,
        proxies in 1..6_u16,
        standing in 0..80_u32,
        scale in 0.05..1.5_f64,
        shape in "steady|wave|bursts",
        seed in any::<u64>(),
    ) {
        let text = format!(
            "{PLAIN}scale = {scale}\n[fleet]\nnodes = {nodes}\nspare = 2\n[proxies]\ncount = {proxies}\n\
             [load]\nstanding = {standing}\nshape = \"{shape}\"\n{}",
            faults.concat()
        );
        match Scenario::read(Path::new("test.toml"), &text) {
            Ok(scenario) => {
                let plan = scenario.draw(seed);
                assert_sane(&plan, &text);
                prop_assert_eq!(plan.digest(), scenario.draw(seed).digest());
            }
            Err(error) => {
                let error = error.to_string();
                let contradiction = [
                    "is already affected by",
                    "already affects",
                    "are not affected by",
                    "but there are only",
                    "are left",
                ];
                prop_assert!(contradiction.iter().any(|words| error.contains(words)), "{}\n{}", error, text);
            }
        }
    }
}

//! Tests each kind of rule on a class with all features, a class with few features, an unknown class and a class that loses
//! a feature, and tests the budgets.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use std::collections::BTreeSet;

use common::book_of;
use cottonnotch_routing_rules::{
    Book, MoveCondition, Node, PlacementMode, Request, Rule, RuleKind, Selector, Strength, UncertaintyPolicy,
};
use cottonnotch_rule_compiler::{
    Compiled, Execution, Features, NodeSet, Plan, PlanError, Profile, Profiles, UNKNOWN, compile,
    contradiction, effective_profiles,
};

const REQUEST: Request = Request { tenant: Some("t0"), class: "c0", group: Some(5) };

fn rule(name: &str, strength: Strength, kind: RuleKind) -> Rule {
    Rule {
        namespace: "a".into(),
        name: name.into(),
        file: "rules.toml".into(),
        line: 1,
        strength,
        priority: 0,
        depth: 0,
        on: Selector::default(),
        kind,
    }
}

fn requirement(kind: RuleKind) -> Book {
    book_of(vec![rule("one", Strength::Requirement, kind)], &[UncertaintyPolicy::Keep; 3])
}

fn preference(kind: RuleKind) -> Book {
    book_of(vec![rule("one", Strength::Preference, kind)], &[UncertaintyPolicy::Keep; 3])
}

fn place(how: PlacementMode, halls: &[&str], hardware: &[&str]) -> RuleKind {
    let set = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    RuleKind::Place { how, halls: set(halls), hardware: set(hardware) }
}

fn with(features: Features) -> Profile {
    Profile { features, ..Profile::full() }
}

fn profiles(classes: &[(&str, Profile)]) -> Profiles {
    classes.iter().map(|(name, profile)| (name.to_string(), *profile)).collect()
}

/// A class with all features, and a class with the features in `weak`.
fn full_and(weak: Features) -> Profiles {
    profiles(&[("full", Profile::full()), ("weak", with(weak))])
}

fn on<'a>(hall: &'a str, hardware: &'a str) -> Node<'a> {
    Node { hall, hardware }
}

fn execution(compiled: &Compiled, class: &str) -> Option<Execution> {
    compiled.table.iter().find(|row| &*row.class == class).map(|row| row.execution)
}

fn allowed(compiled: &Compiled) -> Vec<&'static str> {
    let lookup = compiled.plan.lookup(&REQUEST);
    ["full", "weak", "never heard of"].into_iter().filter(|class| lookup.allows(&on("h", class))).collect()
}

fn caps(compiled: &Compiled) -> Vec<(Option<u64>, u64, BTreeSet<String>)> {
    compiled
        .plan
        .lookup(&REQUEST)
        .caps()
        .map(|(id, cap, nodes)| (id.group, cap, nodes.hardware.clone()))
        .collect()
}

#[test]
fn placement_runs_exactly_on_all_classes() {
    for how in [PlacementMode::Require, PlacementMode::Avoid] {
        let compiled = compile(&requirement(place(how, &["h"], &[])), &full_and(Features::default()));
        let meant = how == PlacementMode::Require;
        for class in ["full", "weak", UNKNOWN] {
            assert_eq!(execution(&compiled, class), Some(Execution::Exactly));
            assert_eq!(compiled.plan.lookup(&REQUEST).allows(&on("h", class)), meant);
            assert_eq!(compiled.plan.lookup(&REQUEST).allows(&on("g", class)), !meant);
        }
    }
}

#[test]
fn placement_selects_named_classes_only() {
    let compiled =
        compile(&requirement(place(PlacementMode::Avoid, &[], &["weak"])), &full_and(Features::default()));
    assert_eq!(allowed(&compiled), ["full", "never heard of"]);
    assert_eq!(
        (execution(&compiled, "full"), execution(&compiled, "weak")),
        (None, Some(Execution::Exactly))
    );
}

#[test]
fn node_preference_needs_weights_or_latencies() {
    let delays = Features { reports_latency: true, ..Features::default() };
    let classes = [("full", Profile::full()), ("delays", with(delays)), ("weak", with(Features::default()))];
    let compiled = compile(&preference(place(PlacementMode::Prefer, &["h"], &[])), &profiles(&classes));
    let expected =
        [("full", Execution::Exactly), ("delays", Execution::Stricter), ("weak", Execution::Dropped)];
    for (class, how) in expected {
        assert_eq!(execution(&compiled, class), Some(how));
        let lookup = compiled.plan.lookup(&REQUEST);
        assert_eq!(lookup.rank(&on("h", class)) < lookup.rank(&on("g", class)), how != Execution::Dropped);
        assert!(lookup.allows(&on("g", class)) && !lookup.has_requirements());
    }
    assert_eq!((execution(&compiled, UNKNOWN), compiled.dropped), (Some(Execution::Dropped), 1));
}

#[test]
fn cap_is_lower_where_only_probes_report() {
    let cap =
        || requirement(RuleKind::Cap { connections: 10, halls: BTreeSet::new(), hardware: BTreeSet::new() });
    let compiled = compile(&cap(), &profiles(&[("full", Profile::full())]));
    assert_eq!(caps(&compiled), [(None, 10, BTreeSet::new())]);
    assert_eq!(
        (execution(&compiled, UNKNOWN), allowed(&compiled)),
        (Some(Execution::Unsupported), vec!["full"])
    );

    let probes = Features { answers_probes: true, ..Features::default() };
    let compiled = compile(&cap(), &full_and(probes));
    assert_eq!(caps(&compiled), [(None, 7, BTreeSet::new())]);
    assert_eq!(
        (execution(&compiled, "full"), execution(&compiled, "weak")),
        (Some(Execution::Stricter), Some(Execution::Stricter))
    );

    let compiled = compile(&cap(), &full_and(Features::default()));
    assert_eq!(caps(&compiled), [(None, 10, BTreeSet::new())]);
    assert_eq!(
        (execution(&compiled, "weak"), allowed(&compiled)),
        (Some(Execution::Unsupported), vec!["full"])
    );
}

/// A class whose connections are known from probes only may have a third more of them than are counted. The lowered cap must
/// leave room for these, and must be the highest cap that does.
#[test]
fn lower_cap_bounds_established_connections() {
    for connections in 0..500u64 {
        let kind = RuleKind::Cap { connections, halls: BTreeSet::new(), hardware: BTreeSet::new() };
        let probes = Features { answers_probes: true, ..Features::default() };
        let held = caps(&compile(&requirement(kind), &full_and(probes)))[0].1;
        assert!(held * 4 / 3 <= connections && (held + 1) * 4 / 3 >= connections, "{connections} as {held}");
    }
}

#[test]
fn spread_is_counted_without_group_affinity() {
    let loads = Features { reports_loads: true, ..Features::default() };
    let spread = |nodes| requirement(RuleKind::Spread { nodes });
    let compiled = compile(&spread(6), &profiles(&[("full", Profile::full())]));
    assert_eq!(
        (compiled.plan.lookup(&REQUEST).spread(), caps(&compiled), compiled.plan.needs()),
        (Some(6), vec![], 1)
    );

    // The class that keeps groups and the class that counts connections get half of the nodes each.
    let compiled = compile(&spread(6), &full_and(loads));
    let weak: BTreeSet<String> = ["weak".to_string()].into();
    assert_eq!(compiled.plan.lookup(&REQUEST).spread(), Some(3));
    assert_eq!((caps(&compiled), compiled.plan.needs()), (vec![(Some(5), 3, weak.clone())], 2));
    assert_eq!(
        (execution(&compiled, "full"), execution(&compiled, "weak")),
        (Some(Execution::Stricter), Some(Execution::Stricter))
    );

    // A spread of one node can't be divided, so only the class that keeps groups is allowed.
    let compiled = compile(&spread(1), &full_and(loads));
    assert_eq!((compiled.plan.lookup(&REQUEST).spread(), allowed(&compiled)), (Some(1), vec!["full"]));

    let compiled = compile(&spread(4), &profiles(&[("weak", with(loads))]));
    assert_eq!(
        (compiled.plan.lookup(&REQUEST).spread(), caps(&compiled)),
        (Some(4), vec![(Some(5), 4, weak)])
    );

    let compiled = compile(&spread(4), &full_and(Features::default()));
    assert_eq!(
        (execution(&compiled, "weak"), execution(&compiled, UNKNOWN)),
        (Some(Execution::Unsupported), Some(Execution::Unsupported))
    );
    assert_eq!(allowed(&compiled), ["full"]);
}

#[test]
fn counted_spread_prefers_one_hall() {
    let loads = Features { reports_loads: true, ..Features::default() };
    let halls = ["h0", "h1", "h2"];
    let rules = vec![
        rule("halls", Strength::Requirement, place(PlacementMode::Require, &halls, &[])),
        rule("spread", Strength::Requirement, RuleKind::Spread { nodes: 6 }),
    ];
    let compiled = compile(&book_of(rules, &[UncertaintyPolicy::Keep; 3]), &full_and(loads));
    let mut preferred = BTreeSet::new();
    for group in 0..40 {
        let lookup = compiled.plan.lookup(&Request { group: Some(group), ..REQUEST });
        let near: Vec<_> = halls.iter().filter(|hall| lookup.rank(&on(hall, "weak")) == 0).collect();
        assert_eq!(near.len(), 1, "group {group}");
        assert!(halls.iter().all(|hall| lookup.rank(&on(hall, "full")) == 0));
        preferred.insert(*near[0]);
    }
    assert_eq!(preferred.len(), 3, "all halls get some groups");
}

#[test]
fn paces_and_attempts_run_on_all_classes() {
    let rules = vec![
        rule("attempts", Strength::Requirement, RuleKind::Attempts { most: 2 }),
        rule("pace", Strength::Requirement, RuleKind::Pace { per_s_milli: 1500 }),
    ];
    let compiled = compile(&book_of(rules, &[UncertaintyPolicy::Keep; 3]), &full_and(Features::default()));
    assert!(compiled.table.iter().all(|row| row.execution == Execution::Exactly));
    assert_eq!(allowed(&compiled), ["full", "weak", "never heard of"]);
    let lookup = compiled.plan.lookup(&REQUEST);
    assert_eq!((lookup.attempts(), lookup.paces().map(|(_, pace)| pace).collect()), (Some(2), vec![1500]));
}

#[test]
fn move_last_needs_partial_draining() {
    let last = || requirement(RuleKind::Move { when: MoveCondition::Last });
    let loads = Features { reports_loads: true, ..Features::default() };
    let compiled = compile(&last(), &full_and(loads));
    let lookup = compiled.plan.lookup(&REQUEST);
    assert_eq!(lookup.move_when_on(&on("h", "full")), Some(MoveCondition::Last));
    assert_eq!(lookup.move_when_on(&on("h", "weak")), Some(MoveCondition::DrainsOnly));
    assert_eq!(
        (lookup.move_when(), allowed(&compiled)),
        (Some(MoveCondition::DrainsOnly), vec!["full", "weak"])
    );

    let compiled = compile(&last(), &full_and(Features::default()));
    assert_eq!(
        (compiled.plan.lookup(&REQUEST).move_when(), allowed(&compiled)),
        (Some(MoveCondition::Last), vec!["full"])
    );

    let compiled = compile(
        &requirement(RuleKind::Move { when: MoveCondition::DrainsOnly }),
        &full_and(Features::default()),
    );
    assert!(compiled.table.iter().all(|row| row.execution == Execution::Exactly));
}

#[test]
fn move_preference_is_dropped_without_partial_draining() {
    let compiled =
        compile(&preference(RuleKind::Move { when: MoveCondition::Last }), &full_and(Features::default()));
    let lookup = compiled.plan.lookup(&REQUEST);
    assert_eq!(lookup.move_when_on(&on("h", "full")), Some(MoveCondition::Last));
    assert_eq!(
        (lookup.move_when_on(&on("h", "weak")), execution(&compiled, "weak")),
        (None, Some(Execution::Dropped))
    );
}

#[test]
fn numeric_preference_is_dropped() {
    let kinds = [
        RuleKind::Cap { connections: 1, halls: BTreeSet::new(), hardware: BTreeSet::new() },
        RuleKind::Spread { nodes: 1 },
        RuleKind::Pace { per_s_milli: 1 },
        RuleKind::Attempts { most: 1 },
    ];
    for kind in kinds {
        let compiled = compile(&preference(kind), &full_and(Features::default()));
        assert_eq!(
            (compiled.dropped, compiled.plan.rules(), execution(&compiled, "full")),
            (1, 0, Some(Execution::Dropped))
        );
    }
}

#[test]
fn changed_features_fall_back_to_least_profile() {
    let before = full_and(Profile::full().features);
    let mut now = before.clone();
    now.entry("weak".into()).or_default().features.keeps_groups = false;
    let effective = effective_profiles(&before, &now);
    assert_eq!((effective["full"], effective["weak"]), (Profile::full(), Profile::least()));
    let book = requirement(RuleKind::Spread { nodes: 4 });
    assert_eq!(allowed(&compile(&book, &before)), ["full", "weak"]);
    let compiled = compile(&book, &effective);
    assert_eq!((allowed(&compiled), compiled.plan.lookup(&REQUEST).spread()), (vec!["full"], Some(4)));
    // Proxies must not act on the plans before and after the change at the same time.
    let witness = contradiction(&compile(&book, &before).plan, &compiled.plan).expect("a class is out");
    assert_eq!(witness.hardware, "weak");
    // A class whose profile is removed gets the least profile; a change of budgets is used unchanged.
    assert_eq!(effective_profiles(&before, &Profiles::new())["full"], Profile::least());
    now.entry("full".into()).or_default().budgets.rules = 3;
    assert_eq!(effective_profiles(&before, &now)["full"].budgets.rules, 3);
}

fn many(preferences: usize, requirements: usize) -> Book {
    let preferences = (0..preferences).map(|number| {
        let mut rule = rule(
            &format!("w{number}"),
            Strength::Preference,
            place(PlacementMode::Prefer, &["h", &format!("x{number}")], &[]),
        );
        rule.depth = number as u32;
        rule
    });
    let requirements = (0..requirements).map(|number| {
        let mut rule = rule(&format!("m{number}"), Strength::Requirement, RuleKind::Attempts { most: 3 });
        rule.on.groups =
            vec![cottonnotch_routing_rules::GroupRange { first: number as u64, last: number as u64 }];
        rule
    });
    book_of(preferences.chain(requirements).collect(), &[UncertaintyPolicy::Keep; 3])
}

fn how(compiled: &Compiled, name: &str) -> Execution {
    let row = compiled.table.iter().find(|row| &*row.rule == name && &*row.class == "small");
    row.expect("a row for each rule").execution
}

#[test]
fn budget_drops_preferences_before_requirements() {
    let budget = |change: fn(&mut Profile)| {
        let mut profile = Profile::full();
        change(&mut profile);
        profiles(&[("full", Profile::full()), ("small", profile)])
    };
    // A budget of three rules has room for both requirements and the first preference.
    let compiled = compile(&many(3, 2), &budget(|small| small.budgets.rules = 3));
    let all = ["a:m0", "a:m1", "a:w0", "a:w1", "a:w2"].map(|name| how(&compiled, name));
    assert_eq!(
        all,
        [Execution::Exactly, Execution::Exactly, Execution::Exactly, Execution::Dropped, Execution::Dropped]
    );
    assert_eq!(compiled.dropped, 3, "the unknown class drops all three");
    // A budget of one rule excludes the second requirement, and the class gets none of that requirement's requests.
    let compiled = compile(&many(3, 2), &budget(|small| small.budgets.rules = 1));
    assert_eq!(
        (how(&compiled, "a:m1"), how(&compiled, "a:w0")),
        (Execution::Unsupported, Execution::Dropped)
    );
    let goes = |group| compiled.plan.lookup(&Request { group, ..REQUEST }).allows(&on("h", "small"));
    assert!(goes(Some(0)) && !goes(Some(1)) && goes(Some(2)) && goes(None));
    // All preferences share one selector, and each requirement has its own.
    let compiled = compile(&many(3, 2), &budget(|small| small.budgets.selectors = 2));
    assert_eq!((how(&compiled, "a:m1"), how(&compiled, "a:w0")), (Execution::Exactly, Execution::Dropped));
    let compiled = compile(&many(3, 2), &budget(|small| small.budgets.bytes = 0));
    assert_eq!(
        (how(&compiled, "a:m0"), how(&compiled, "a:w0")),
        (Execution::Unsupported, Execution::Dropped)
    );
}

#[test]
fn too_many_requirements_allow_nothing() {
    let mut rules = Vec::new();
    for number in 0..40 {
        let mut rule = rule(&format!("r{number}"), Strength::Requirement, RuleKind::Attempts { most: 3 });
        rule.on.tenants = (0..300).map(|tenant| format!("t{tenant}")).collect();
        rule.on.classes = (0..100).map(|class| format!("c{class}")).collect();
        rules.push(rule);
    }
    let compiled =
        compile(&book_of(rules, &[UncertaintyPolicy::Keep; 3]), &full_and(Profile::full().features));
    assert!(allowed(&compiled).is_empty());
    assert!(compiled.table.iter().all(|row| row.execution == Execution::Unsupported));
    assert_eq!(Plan::from_bytes(&compiled.plan.to_bytes()).as_ref(), Ok(&compiled.plan));
}

#[test]
fn full_plan_keeps_requirements() {
    let mut book = requirement(place(PlacementMode::Avoid, &["g"], &[]));
    for number in 0..40 {
        let mut rule =
            rule(&format!("r{number}"), Strength::Preference, place(PlacementMode::Prefer, &["h"], &[]));
        rule.on.tenants = (0..300).map(|tenant| format!("t{tenant}")).collect();
        rule.on.classes = (0..100).map(|class| format!("c{class}")).collect();
        book.rules.push(rule);
    }
    let compiled = compile(&book, &full_and(Profile::full().features));
    let lookup = compiled.plan.lookup(&REQUEST);
    assert!(lookup.allows(&on("h", "full")) && !lookup.allows(&on("g", "full")));
    assert!((1..40).contains(&compiled.dropped) || compiled.dropped == 40);
    assert!(compiled.plan.rules() > 1, "the plan keeps the preferences that fit");
}

#[test]
fn excess_preferences_are_counted() {
    let compiled = compile(&many(40, 0), &profiles(&[("full", Profile::full())]));
    let lookup = compiled.plan.lookup(&REQUEST);
    assert_eq!(lookup.ignored_preferences(), 9);
    assert_eq!((lookup.rank(&on("h", "full")), lookup.rank(&on("g", "full"))), (0, u32::MAX - 1));
}

#[test]
fn duplicate_preference_takes_no_place() {
    let mut book = many(31, 0);
    let mut again = book.rules[0].clone();
    again.name = "w0-again".into();
    again.depth = 1;
    book.rules.insert(1, again);
    let compiled = compile(&book, &profiles(&[("full", Profile::full())]));
    assert_eq!(compiled.plan.lookup(&REQUEST).ignored_preferences(), 0);
}

#[test]
fn rejects_other_formats_and_levels() {
    let bytes = compile(&Book::default(), &Profiles::new()).plan.to_bytes();
    let with = |at: usize, byte| {
        let mut bytes = bytes.clone();
        bytes[at] = byte;
        Plan::from_bytes(&bytes)
    };
    assert_eq!(with(0, 9), Err(PlanError::Format(9)));
    assert_eq!(with(1, 9), Err(PlanError::Needs(9)));
    assert_eq!(with(1, 2), Err(PlanError::Canonical("needs")));
    assert_eq!(Plan::from_bytes(&[]), Err(PlanError::Decode));
    let too_many = vec![1; cottonnotch_rule_compiler::MAX_BYTES + 1];
    assert!(matches!(Plan::from_bytes(&too_many), Err(PlanError::TooLarge(_))));
}

#[test]
fn limit_ids_are_stable_across_plans() {
    let cap = |connections| {
        requirement(RuleKind::Cap { connections, halls: BTreeSet::new(), hardware: BTreeSet::new() })
    };
    let id = |book| {
        compile(&book, &full_and(Profile::full().features))
            .plan
            .lookup(&REQUEST)
            .caps()
            .next()
            .map(|cap| cap.0)
    };
    assert_eq!(id(cap(3)), id(cap(4)));
    assert!(id(cap(3)).is_some());
}

#[test]
fn profile_rejects_unknown_keys() {
    let text = "features = { tells-loads = true }\nbudgets = { rules = 7 }";
    let profile: Profile = toml::from_str(text).expect("a profile");
    assert!(profile.features.reports_loads && !profile.features.keeps_groups);
    assert_eq!((profile.budgets.rules, profile.budgets.bytes), (7, Profile::least().budgets.bytes));
    assert!(toml::from_str::<Profile>("features = { tells-lies = true }").is_err());
    assert!(NodeSet::default().contains(&on("any", "any")));
}

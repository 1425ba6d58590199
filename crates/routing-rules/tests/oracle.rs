//! Compares the conflicts and merges of small random universes with a brute-force oracle.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;
#[path = "common/oracle.rs"]
mod oracle;

use std::collections::BTreeSet;

use common::{any_universe, files, inventory, nodes, requests};
use cottonnotch_routing_rules::{
    Book, Conflict, History, Merger, PlacementMode, RuleFile, RuleKind, State, Strength, check, effective,
    merge,
};
use oracle::FoundConflicts;
use proptest::prelude::*;
use proptest::strategy::ValueTree;

/// Converts the crate's conflicts to the oracle's representation.
fn to_oracle_conflicts(conflicts: &[Conflict]) -> FoundConflicts {
    let mut found = FoundConflicts::default();
    for conflict in conflicts {
        match conflict {
            Conflict::Orphan { one, .. } => {
                found.orphans.insert(one.namespace.clone());
            }
            Conflict::OutOfScope { one, .. } => {
                found.out_of_scope.insert((one.namespace.clone(), one.name.clone()));
            }
            Conflict::OverlappingScopes { one, other, .. } => {
                found.overlapping_siblings.insert((one.namespace.clone(), other.namespace.clone()));
            }
            Conflict::OverCommitted { one, quotas, .. } if quotas.is_empty() => {
                found.excessive_caps.insert((one.namespace.clone(), one.name.clone()));
            }
            Conflict::OverCommitted { grantor, .. } => {
                found.overcommitted.insert(grantor.namespace.clone());
            }
            Conflict::NoNode { one, .. } => {
                found.no_node.insert(one.namespace.clone());
            }
            Conflict::IneffectivePreference { one, .. } => {
                found.ineffective_preferences.insert((one.namespace.clone(), one.name.clone()));
            }
            other => panic!("the universes cannot contain this conflict: {other}"),
        }
    }
    found
}

/// Checks that the witness of a conflict demonstrates it, by the rules and delegations as declared in the files.
fn check_witness(conflict: &Conflict, universe: &[common::NamespaceSpec]) -> Result<(), TestCaseError> {
    let witness = conflict.witness().expect("all conflicts of these universes have a witness");
    let request = witness.request();
    let spec = |path: &str| universe.iter().find(|spec| spec.path == path).expect("the namespace has a file");
    match conflict {
        Conflict::NoNode { requirements, .. } => {
            let rules: Vec<_> = requirements
                .iter()
                .map(|location| declared_rule(universe, &location.namespace, &location.name))
                .collect();
            prop_assert!(
                rules.iter().all(|(selector, _)| oracle::matches_request(selector, &request)),
                "{conflict}"
            );
            let allowed = |skip: Option<usize>, node: &cottonnotch_routing_rules::Node| {
                rules.iter().enumerate().all(|(at, (_, kind))| Some(at) == skip || allows(kind, node))
            };
            prop_assert!(!nodes().iter().any(|node| allowed(None, node)), "{conflict}");
            for skip in 0..rules.len() {
                prop_assert!(
                    nodes().iter().any(|node| allowed(Some(skip), node)),
                    "the set of requirements is not minimal: {conflict}"
                );
            }
            let node = witness.node().expect("the witness names a node");
            prop_assert!(allowed(Some(rules.len() - 1), &node), "{conflict}");
        }
        Conflict::IneffectivePreference { one, .. } => {
            let (selector, _) = declared_rule(universe, &one.namespace, &one.name);
            prop_assert!(oracle::matches_request(&selector, &request), "{conflict}");
        }
        Conflict::OverlappingScopes { one, other, parent, .. } => {
            for child in [one, other] {
                let name = child.namespace.rsplit('/').next().expect("split returns at least one part");
                let delegate = spec(&parent.namespace).delegates.iter().find(|delegate| delegate.to == name);
                prop_assert!(
                    oracle::matches_request(
                        &delegate.expect("the parent delegates to the child").selector,
                        &request
                    ),
                    "{conflict}"
                );
            }
        }
        Conflict::OutOfScope { one, .. } if !one.name.starts_with("delegate") => {
            let (selector, _) = declared_rule(universe, &one.namespace, &one.name);
            prop_assert!(oracle::matches_request(&selector, &request), "{conflict}");
        }
        _ => {}
    }
    Ok(())
}

fn allows(kind: &common::KindSpec, node: &cottonnotch_routing_rules::Node) -> bool {
    match kind {
        common::KindSpec::Require(of) => oracle::selects_node(of, node),
        common::KindSpec::Avoid(of) => !oracle::selects_node(of, node),
        _ => true,
    }
}

/// A rule as declared, not narrowed to the scope of its namespace. A witness of the narrowed rule matches the declared rule too.
fn declared_rule(
    universe: &[common::NamespaceSpec],
    path: &str,
    name: &str,
) -> (common::SelectorSpec, common::KindSpec) {
    let spec = universe.iter().find(|spec| spec.path == path).expect("the namespace has a file");
    if let Some(at) = name.strip_prefix("rule-") {
        let rule = &spec.rules[at.parse::<usize>().expect("a rule name ends with its index")];
        return (rule.selector.clone(), rule.kind.clone());
    }
    let child = name
        .strip_prefix("delegate.")
        .and_then(|name| name.strip_suffix(".nodes"))
        .expect("the rule is implied by a delegation");
    let delegate =
        spec.delegates.iter().find(|delegate| delegate.to == child).expect("the delegation exists");
    (delegate.selector.clone(), common::KindSpec::Require(delegate.nodes.clone()))
}

/// Checks that the book allows at least one node for each request, across the requirements of all namespaces.
fn each_request_has_a_node(book: &Book) -> Result<(), TestCaseError> {
    for request in requests() {
        let some = nodes().iter().any(|node| effective(book, &request, node).allowed);
        prop_assert!(some, "no node is allowed for {request:?}");
    }
    Ok(())
}

/// The number of proptest cases. The default of 200 takes some seconds in a debug build; `PROPTEST_CASES` overrides it.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(200)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn conflicts_are_those_of_brute_force(universe in any_universe()) {
        let conflicts = check(&History::default(), &files(&universe), &inventory());
        prop_assert_eq!(to_oracle_conflicts(&conflicts), oracle::conflicts(&universe));
        for conflict in &conflicts {
            check_witness(conflict, &universe)?;
        }
    }

    #[test]
    fn what_is_left_has_no_conflict(universe in any_universe()) {
        let merged = merge(&History::default(), &files(&universe), &inventory());
        each_request_has_a_node(&merged.book)?;
        // The oracle finds no conflict either in the namespaces in force without the void delegations.
        let in_force: BTreeSet<&str> = merged.book.namespaces.iter().map(|owner| owner.path.as_str()).collect();
        let mut remaining = universe.clone();
        remaining.retain(|spec| in_force.contains(spec.path.as_str()));
        for spec in &mut remaining {
            let path = spec.path.clone();
            spec.delegates.retain(|delegate| {
                let child = format!("{path}/{}", delegate.to);
                in_force.contains(child.as_str()) || !merged.history.namespaces.contains_key(&child)
            });
        }
        let found = oracle::conflicts(&remaining);
        // The delegation to an orphan or a held-back child may still be valid, although `remaining` lacks it. Only the kinds of
        // conflict that such a delegation does not affect are compared.
        prop_assert_eq!(&found.out_of_scope, &BTreeSet::new());
        prop_assert_eq!(&found.no_node, &BTreeSet::new());
        prop_assert_eq!(&found.orphans, &BTreeSet::new());
        prop_assert_eq!(&found.overlapping_siblings, &BTreeSet::new());
        prop_assert_eq!(&found.overcommitted, &BTreeSet::new());
        // Each namespace that is not in force is held back. A conflict names it, or an ancestor whose delegation is void.
        for spec in universe.iter().filter(|spec| !in_force.contains(spec.path.as_str())) {
            let state = &merged.history.namespaces[&spec.path].state;
            prop_assert!(matches!(state, State::HeldBack { .. }), "{}: {state:?}", spec.path);
            let above = merged.history.namespaces.iter().filter(|(_, entry)| entry.void);
            let mut above = above.map(|(path, _)| path).filter(|path| spec.path.starts_with(&format!("{path}/")));
            let named = |path: &String| merged.conflicts.iter().any(|of| of.namespaces().contains(&path.as_str()));
            prop_assert!(named(&spec.path) || above.any(named), "no conflict names {}, which is not in force", spec.path);
        }
    }

    #[test]
    fn order_of_files_and_a_second_merge_change_nothing(
        (universe, order) in any_universe().prop_flat_map(|universe| {
            let indices: Vec<usize> = (0..universe.len()).collect();
            (Just(universe), Just(indices).prop_shuffle())
        }),
    ) {
        let sorted = files(&universe);
        let shuffled: Vec<RuleFile> = order.iter().map(|at| sorted[*at].clone()).collect();
        let merged = merge(&History::default(), &sorted, &inventory());
        prop_assert_eq!(&merged, &merge(&History::default(), &shuffled, &inventory()));
        let bytes = toml::to_string(&merged.book).expect("a book can be serialised");
        let again = merge(&merged.history, &shuffled, &inventory());
        prop_assert_eq!(&again.book, &merged.book);
        prop_assert_eq!(bytes, toml::to_string(&again.book).expect("a book can be serialised"));
        let third = merge(&again.history, &sorted, &inventory());
        prop_assert_eq!(&third, &again);
        let text = toml::to_string(&merged.history).expect("a history can be serialised");
        prop_assert_eq!(toml::from_str::<History>(&text).expect("a serialised history can be parsed"), merged.history);
    }

    #[test]
    fn parent_requirements_hold_below(universe in any_universe()) {
        let merged = merge(&History::default(), &files(&universe), &inventory());
        for request in requests() {
            for node in nodes() {
                let evaluated = effective(&merged.book, &request, &node);
                for rule in &merged.book.rules {
                    if rule.strength != Strength::Requirement || !rule.on.matches(&request) {
                        continue;
                    }
                    match &rule.kind {
                        RuleKind::Place { how, halls, hardware } => {
                            let is_selected = cottonnotch_routing_rules::selects_node(halls, hardware, &node);
                            prop_assert!(!evaluated.allowed || is_selected == (*how == PlacementMode::Require));
                        }
                        RuleKind::Attempts { most } => prop_assert!(evaluated.attempts.is_some_and(|least| least <= *most)),
                        _ => {}
                    }
                }
            }
        }
        // The root's own rules are all in force, whatever is below, because the deeper of two namespaces in conflict counts as
        // newer. Universes in which the root conflicts with itself are left out: a child's requirements may resolve that conflict.
        let alone = merge(&History::default(), &files(&universe[..1]), &inventory());
        let own = |book: &Book| {
            let own = book.rules.iter().filter(|rule| rule.namespace == "r" && rule.name.starts_with("rule-"));
            own.cloned().collect::<Vec<_>>()
        };
        let root_held_back = check(&History::default(), &files(&universe), &inventory())
            .iter()
            .any(|conflict| conflict.namespaces() == ["r"]);
        if !root_held_back && alone.book.namespaces.len() == 1 {
            prop_assert_eq!(own(&merged.book), own(&alone.book));
        }
    }

    #[test]
    fn cached_merges_equal_fresh_merges(
        steps in proptest::collection::vec((any_universe(), 0..4_u8), 2..4),
    ) {
        let mut merger = Merger::default();
        let mut history = History::default();
        for (step, (mut universe, hall)) in steps.into_iter().enumerate() {
            // Most files get a newer revision; some get an older one, or the same revision with another content.
            for spec in &mut universe {
                spec.revision += step as u64;
            }
            let mut inventory = inventory();
            // In one of four steps, only hall `h1` is left.
            if hall == 0 {
                inventory.nodes.retain(|(hall, _)| hall == "h1");
            }
            let merged = merger.merge(&history, &files(&universe), &inventory);
            prop_assert_eq!(&merged, &merge(&history, &files(&universe), &inventory));
            for request in requests() {
                let mut real = inventory.nodes();
                prop_assert!(real.any(|node| effective(&merged.book, &request, &node).allowed), "{request:?}");
            }
            let again = merger.merge(&merged.history, &files(&universe), &inventory);
            prop_assert_eq!(&again.book, &merged.book);
            prop_assert_eq!(&merge(&again.history, &files(&universe), &inventory), &again);
            history = again.history;
        }
    }
}

/// Guards against strategies that never generate some kind of conflict: the comparison with the oracle would not test it.
#[test]
fn universes_have_conflicts_of_each_kind() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut totals, mut without_conflicts) = ([0_usize; 7], 0);
    for _ in 0..400 {
        let universe =
            any_universe().new_tree(&mut runner).expect("the strategy generates a universe").current();
        let found = oracle::conflicts(&universe);
        let kinds = [
            found.orphans.len(),
            found.out_of_scope.len(),
            found.overlapping_siblings.len(),
            found.overcommitted.len(),
            found.excessive_caps.len(),
            found.no_node.len(),
            found.ineffective_preferences.len(),
        ];
        without_conflicts += usize::from(found == FoundConflicts::default());
        totals.iter_mut().zip(kinds).for_each(|(totals, kind)| *totals += kind);
    }
    assert!(
        totals.iter().all(|kind| *kind >= 10) && without_conflicts >= 4,
        "conflicts by kind: {totals:?}; universes without conflicts: {without_conflicts}"
    );
}

//! Compares `contradiction` with an exhaustive search over all requests.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use std::cmp::Ordering;

use common::*;
use cottonnotch_routing_rules::{
    Book, GroupRange, MoveCondition, Node, PlacementMode, Request, Rule, RuleKind, Selector, Strength,
    UncertaintyPolicy,
};
use cottonnotch_rule_compiler::{LimitId, Lookup, NodeSet, Plan, Profile, Profiles, compile, contradiction};
use proptest::prelude::*;

/// The limits of requirements: attempts, spread, paces, caps, and the move condition on each node.
type Numbers =
    (Option<u32>, Option<u32>, Vec<(LimitId, u64)>, Vec<(LimitId, u64, NodeSet)>, Vec<Option<MoveCondition>>);

fn numbers(lookup: &Lookup) -> Numbers {
    let mut paces: Vec<_> = lookup.paces().collect();
    paces.sort();
    let mut caps: Vec<_> = lookup.caps().map(|(id, cap, nodes)| (id, cap, nodes.clone())).collect();
    caps.sort();
    // The books of these tests have no preferences for moves, so a lookup's move condition comes from requirements only.
    let moves = nodes().map(|node| lookup.move_when_on(&node)).collect();
    (lookup.attempts(), lookup.spread(), paces, caps, moves)
}

fn differ(old: &Plan, new: &Plan, request: &Request) -> bool {
    let (old, new) = (old.lookup(request), new.lookup(request));
    nodes().any(|node| old.allows(&node) != new.allows(&node)) || numbers(&old) != numbers(&new)
}

/// A book without preferences for moves.
fn book_without_move_preferences(most: usize) -> impl Strategy<Value = Book> {
    book(most).prop_map(|mut book| {
        for rule in &mut book.rules {
            if matches!(rule.kind, RuleKind::Move { .. }) {
                rule.strength = Strength::Requirement;
            }
        }
        book
    })
}

/// A book, and a variant of it in which some rules are changed, removed or added.
fn book_and_variant() -> impl Strategy<Value = (Book, Book)> {
    (
        book_without_move_preferences(7),
        book_without_move_preferences(7),
        proptest::collection::vec(any::<u8>(), 8),
    )
        .prop_map(|(old, other, picks)| {
            let mut rules = Vec::new();
            for (at, pick) in picks.iter().enumerate() {
                let (kept, put) = (old.rules.get(at), other.rules.get(at));
                rules.extend(match pick % 8 {
                    0 => put.cloned(),
                    1 => None,
                    // Only the selector changes, so that the rule's limit applies to other requests.
                    2 => kept.cloned().map(|mut rule| {
                        rule.on = put.map_or_else(Default::default, |put| put.on.clone());
                        rule
                    }),
                    3 => kept.cloned().map(|mut rule| {
                        rule.kind = put.map_or(rule.kind, |put| put.kind.clone());
                        rule
                    }),
                    _ => kept.cloned(),
                });
            }
            for rule in &mut rules {
                if matches!(rule.kind, RuleKind::Move { .. }) {
                    rule.strength = Strength::Requirement;
                }
            }
            rules.sort_by(|a, b| (&a.namespace, &a.name).cmp(&(&b.namespace, &b.name)));
            rules.dedup_by(|a, b| (&a.namespace, &a.name).cmp(&(&b.namespace, &b.name)) == Ordering::Equal);
            let new = Book { namespaces: old.namespaces.clone(), rules };
            (old, new)
        })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn matches_exhaustive_search(
        (old, new) in book_and_variant(),
        profiles in profiles(),
        others in proptest::option::weighted(0.2, profiles()),
    ) {
        let (old, new) = (compile(&old, &profiles).plan, compile(&new, others.as_ref().unwrap_or(&profiles)).plan);
        let found = contradiction(&old, &new);
        let back = contradiction(&new, &old);
        prop_assert_eq!(found.is_some(), back.is_some(), "symmetric");
        let Some(witness) = found else {
            let missed = requests().find(|request| differ(&old, &new, request));
            prop_assert_eq!(missed, None);
            return Ok(());
        };
        let request = Request { tenant: witness.tenant.as_deref(), class: &witness.class, group: witness.group };
        let node = Node { hall: &witness.hall, hardware: &witness.hardware };
        let (a, b) = (old.lookup(&request), new.lookup(&request));
        prop_assert!(a.allows(&node) != b.allows(&node) || numbers(&a) != numbers(&b), "{:?}", witness);
        for (lookup, rule) in [(&a, &witness.old_rule), (&b, &witness.new_rule)] {
            prop_assert!(rule.is_empty() != lookup.has_requirements(), "{:?}", witness);
            prop_assert!(rule.is_empty() || lookup.rule_names().any(|name| name == rule), "{:?}", witness);
        }
    }

    #[test]
    fn preferences_never_contradict(book in book(8), other in book(8), profiles in profiles()) {
        let preferences = |mut book: Book| {
            book.rules.iter_mut().for_each(|rule| rule.strength = Strength::Preference);
            book
        };
        let (one, two) = (compile(&preferences(book), &profiles).plan, compile(&preferences(other), &profiles).plan);
        prop_assert_eq!(contradiction(&one, &two), None);
    }
}

fn avoid(name: &str, halls: &[&str]) -> Rule {
    Rule {
        namespace: "a".into(),
        name: name.into(),
        file: "rules.toml".into(),
        line: 1,
        strength: Strength::Requirement,
        priority: 0,
        depth: 0,
        on: Selector::default(),
        kind: RuleKind::Place {
            how: PlacementMode::Avoid,
            halls: halls.iter().map(|hall| hall.to_string()).collect(),
            hardware: Default::default(),
        },
    }
}

fn plan(rules: Vec<Rule>) -> Plan {
    compile(&book_of(rules, &[UncertaintyPolicy::Keep; 3]), &full()).plan
}

#[test]
fn split_rule_contradicts_nothing() {
    let one = plan(vec![avoid("both", &["h0", "h1"])]);
    let two = plan(vec![avoid("first", &["h0"]), avoid("second", &["h1"])]);
    assert_ne!(one.hash(), two.hash());
    assert_eq!(contradiction(&one, &two), None);
    // Removing a hall is a contradiction, and the witness names that hall.
    let witness = contradiction(&two, &plan(vec![avoid("first", &["h0"])])).expect("h1 is allowed now");
    assert_eq!((witness.hall.as_str(), witness.old_rule.as_str()), ("h1", "a:second"));
    assert_eq!(witness.new_rule, "a:first");
}

/// A rule of another slot hides the change on the first groups of a range. The search must also try the later groups, where
/// the change has an effect.
#[test]
fn change_hidden_on_some_groups_is_found_on_others() {
    let range = |last| vec![GroupRange { first: 0, last }];
    let mut hides = avoid("hides", &["h0"]);
    hides.on.groups = range(5);
    let mut changed = avoid("changed", &["h0"]);
    changed.on.tenants = ["t0".to_string()].into();
    changed.on.groups = range(9);
    let with = plan(vec![hides.clone(), changed.clone()]);
    let witness = contradiction(&plan(vec![hides.clone()]), &with).expect("groups past 5 differ");
    assert_eq!((witness.group, witness.tenant.as_deref()), (Some(6), Some("t0")));
    hides.on.groups = range(9);
    assert_eq!(contradiction(&plan(vec![hides.clone()]), &plan(vec![hides, changed])), None);
}

/// Both plans exclude the second class of their list, but the two classes differ. Comparing indices instead of names would miss
/// the contradiction.
#[test]
fn classes_are_compared_by_name() {
    let profiles = |small: &str| -> Profiles {
        let mut none = Profile::full();
        none.budgets.rules = 0;
        [("w0".to_string(), Profile::full()), (small.to_string(), none)].into()
    };
    let book = book_of(vec![avoid("one", &["h0"])], &[UncertaintyPolicy::Keep; 3]);
    let (old, new) = (compile(&book, &profiles("w1")).plan, compile(&book, &profiles("w2")).plan);
    let witness = contradiction(&old, &new).expect("w1 is out in one of them only");
    assert_eq!(witness.hardware, "w1");
}

//! Compares compiled plans with a naive evaluation of the book.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod common;

use std::collections::BTreeSet;

use common::*;
use cottonnotch_routing_rules::{
    Book, GroupRange, MoveCondition, Node, PlacementMode, Request, RuleKind, UncertaintyPolicy, effective,
    selects_node,
};
use cottonnotch_rule_compiler::{Execution, Lookup, Plan, Profiles, compile};
use proptest::prelude::*;

/// Checks that a lookup is at least as strict as the book. This must hold for all profiles.
fn never_looser(book: &Book, request: &Request, lookup: &Lookup) -> Result<(), TestCaseError> {
    let matching = requirements(book, request);
    prop_assert_eq!(lookup.has_requirements(), !matching.is_empty());
    let names: BTreeSet<String> = matching.iter().map(|rule| id(rule)).collect();
    prop_assert_eq!(lookup.rule_names().map(String::from).collect::<BTreeSet<_>>(), names);
    prop_assert_eq!(lookup.uncertainty_policy(), strictest(book, request));
    let attempts = |kind: &RuleKind| if let RuleKind::Attempts { most } = kind { Some(*most) } else { None };
    prop_assert_eq!(lookup.attempts(), least(book, request, attempts));
    let spread = |kind: &RuleKind| if let RuleKind::Spread { nodes } = kind { Some(*nodes) } else { None };
    if let Some(bound) = least(book, request, spread) {
        prop_assert!(lookup.spread().is_some_and(|nodes| nodes <= bound));
    }
    let mut paces: Vec<u64> = lookup.paces().map(|(_, pace)| pace).collect();
    paces.sort();
    let pace =
        |kind: &RuleKind| if let RuleKind::Pace { per_s_milli } = kind { Some(*per_s_milli) } else { None };
    let mut asked: Vec<u64> = matching.iter().filter_map(|rule| pace(&rule.kind)).collect();
    asked.sort();
    prop_assert_eq!(paces, asked);
    for node in nodes() {
        if !lookup.allows(&node) {
            continue;
        }
        prop_assert!(allowed(book, request, &node), "{request:?} may go to {node:?}");
        for rule in &matching {
            match &rule.kind {
                RuleKind::Cap { connections, halls, hardware } if selects_node(halls, hardware, &node) => {
                    let assigned = lookup.caps().any(|(_, cap, nodes)| {
                        cap <= *connections && nodes.halls == *halls && nodes.hardware == *hardware
                    });
                    prop_assert!(assigned, "{rule:?} isn't held on {node:?}");
                }
                RuleKind::Move { when } => {
                    prop_assert!(lookup.move_when_on(&node) >= Some(*when));
                    prop_assert!(lookup.move_when() >= lookup.move_when_on(&node));
                }
                _ => {}
            }
        }
    }
    Ok(())
}

/// Places connections of a group on the wanted nodes while the plan allows it, and returns how many nodes the group is on.
/// Only what the classes' features make visible is used: the nodes of the group on classes that keep groups, and its number
/// of connections on classes that report loads.
fn place_connections(lookup: &Lookup, profiles: &Profiles, wanted: &[(usize, u8)]) -> usize {
    let all: Vec<Node> = nodes().collect();
    let mut on: Vec<(usize, u8)> = Vec::new();
    for &(node, server) in wanted {
        let node = node % all.len();
        if !lookup.allows(&all[node]) {
            continue;
        }
        let mut after = on.clone();
        after.push((node, server));
        let keeps = |node: usize| profiles.get(all[node].hardware).is_some_and(|p| p.features.keeps_groups);
        let seen: BTreeSet<_> = after.iter().filter(|(node, _)| keeps(*node)).collect();
        let full = lookup.caps().filter(|(id, _, _)| id.group.is_some()).any(|(_, cap, nodes)| {
            after.iter().filter(|(node, _)| nodes.contains(&all[*node])).count() as u64 > cap
        });
        if !full && lookup.spread().is_none_or(|nodes| seen.len() <= nodes as usize) {
            on = after;
        }
    }
    on.into_iter().collect::<BTreeSet<_>>().len()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn plan_is_never_looser_than_book(book in book(10), profiles in profiles()) {
        let compiled = compile(&book, &profiles);
        for request in requests() {
            never_looser(&book, &request, &compiled.plan.lookup(&request))?;
        }
    }

    #[test]
    fn spread_holds_on_all_classes(
        spreads in proptest::collection::vec(1..7u32, 1..3),
        profiles in profiles(),
        wanted in proptest::collection::vec((any::<usize>(), 0..3u8), 10..60),
    ) {
        let rule = |(number, nodes): (usize, &u32)| {
            let mut rule = plain_rule(number, true);
            rule.kind = RuleKind::Spread { nodes: *nodes };
            rule
        };
        let book = book_of(spreads.iter().enumerate().map(rule).collect(), &[UncertaintyPolicy::Keep; 3]);
        let plan = compile(&book, &profiles).plan;
        let bound = spreads.into_iter().min().unwrap_or(0);
        let request = Request { tenant: None, class: "c0", group: Some(3) };
        prop_assert!(place_connections(&plan.lookup(&request), &profiles, &wanted) <= bound as usize);
    }

    #[test]
    fn full_profiles_lose_nothing(book in book(12)) {
        let compiled = compile(&book, &full());
        for row in compiled.table.iter().filter(|row| full().contains_key(&*row.class)) {
            prop_assert!(row.execution == Execution::Exactly || row.reason.starts_with("a number orders nothing"), "{}", row);
        }
        let known: Vec<Node> = nodes().filter(|node| full().contains_key(node.hardware)).collect();
        for request in requests() {
            let lookup = compiled.plan.lookup(&request);
            never_looser(&book, &request, &lookup)?;
            let spread = |kind: &RuleKind| if let RuleKind::Spread { nodes } = kind { Some(*nodes) } else { None };
            prop_assert_eq!(lookup.spread(), least(&book, &request, spread));
            let mut caps: Vec<_> = lookup.caps().map(|(_, cap, nodes)| (cap, &nodes.halls, &nodes.hardware)).collect();
            caps.sort();
            let asked = |kind| match kind {
                RuleKind::Cap { connections, halls, hardware } => Some((connections, halls, hardware)),
                _ => None,
            };
            let mut wanted: Vec<_> = requirements(&book, &request).iter().filter_map(|rule| asked(rule.kind.clone())).collect();
            wanted.sort();
            prop_assert_eq!(caps.len(), wanted.len());
            for (cap, wanted) in caps.iter().zip(&wanted) {
                prop_assert_eq!(*cap, (wanted.0, &wanted.1, &wanted.2));
            }
            let when = |kind: &RuleKind| if let RuleKind::Move { when } = kind { Some(*when) } else { None };
            let asked: Option<MoveCondition> = requirements(&book, &request).iter().filter_map(|rule| when(&rule.kind)).max();
            if asked.is_some() {
                prop_assert_eq!(lookup.move_when(), asked);
            }
            for node in &known {
                prop_assert_eq!(lookup.allows(node), allowed(&book, &request, node), "{:?} on {:?}", request, node);
                prop_assert_eq!(lookup.allows(node), lookup.allows_key(compiled.plan.node_key(node)));
                let reference = effective(&book, &request, node);
                prop_assert_eq!(lookup.allows(node), reference.allowed);
                prop_assert_eq!((lookup.attempts(), lookup.spread()), (reference.attempts, reference.spread));
                prop_assert_eq!((lookup.move_when(), lookup.move_when_on(node)), (reference.move_when, reference.move_when));
                prop_assert_eq!((lookup.has_requirements(), lookup.uncertainty_policy()), (reference.has_requirements, reference.uncertainty_policy));
                let caps = lookup.caps().filter(|(_, _, nodes)| nodes.contains(node)).map(|(_, cap, _)| cap);
                let caps: BTreeSet<u64> = caps.collect();
                prop_assert_eq!(caps, reference.caps.into_iter().map(|(_, cap)| cap).collect::<BTreeSet<_>>());
                let unsatisfied_by: Vec<bool> = reference.preferences.iter().map(|(_, satisfied)| !satisfied).collect();
                prop_assert_eq!(unsatisfied_by, unsatisfied_preferences(&book, &request, node));
                for other in &known {
                    let order = unsatisfied_preferences(&book, &request, node).cmp(&unsatisfied_preferences(&book, &request, other));
                    prop_assert_eq!(lookup.rank(node).cmp(&lookup.rank(other)), order);
                }
            }
        }
    }

    #[test]
    fn rule_order_does_not_change_bytes(book in book(12), profiles in profiles(), seed in any::<u64>()) {
        let plan = compile(&book, &profiles).plan;
        let mut shuffled = book.clone();
        shuffled.rules.sort_by_key(|rule| (u64::from(rule.line) ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        shuffled.namespaces.reverse();
        for rule in &mut shuffled.rules {
            rule.line += 7;
            rule.file.push('x');
        }
        let other = compile(&shuffled, &profiles).plan;
        prop_assert_eq!(plan.to_bytes(), other.to_bytes());
        prop_assert_eq!(plan.hash(), other.hash());
    }

    #[test]
    fn plan_round_trips(book in book(10), profiles in profiles()) {
        let plan = compile(&book, &profiles).plan;
        let back = Plan::from_bytes(&plan.to_bytes()).expect("the bytes of a plan are one");
        prop_assert_eq!(back.hash(), plan.hash());
        prop_assert_eq!(back.needs(), plan.needs());
        for request in requests() {
            let (one, two) = (plan.lookup(&request), back.lookup(&request));
            for node in nodes() {
                prop_assert_eq!((one.allows(&node), one.rank(&node)), (two.allows(&node), two.rank(&node)));
            }
            prop_assert_eq!(one.caps().collect::<Vec<_>>(), two.caps().collect::<Vec<_>>());
        }
    }

    #[test]
    fn mutated_bytes_are_rejected_or_canonical(
        book in book(6),
        profiles in profiles(),
        cuts in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3u8), 1..4),
    ) {
        let mut bytes = compile(&book, &profiles).plan.to_bytes();
        for (at, byte, how) in cuts {
            if bytes.is_empty() {
                break;
            }
            let at = at.index(bytes.len());
            match how {
                0 => bytes[at] = byte,
                1 => bytes.insert(at, byte),
                _ => drop(bytes.remove(at)),
            }
        }
        if let Ok(plan) = Plan::from_bytes(&bytes) {
            prop_assert_eq!(plan.to_bytes(), bytes);
            for request in requests().step_by(7) {
                let lookup = plan.lookup(&request);
                for node in nodes() {
                    let _ = (lookup.allows(&node), lookup.rank(&node), lookup.move_when_on(&node));
                }
            }
        }
    }

    #[test]
    fn any_bytes_are_rejected_or_canonical(mut bytes in proptest::collection::vec(any::<u8>(), 0..60), head in any::<bool>()) {
        if head {
            bytes.splice(0..0, [1, 1]);
        }
        if let Ok(plan) = Plan::from_bytes(&bytes) {
            prop_assert_eq!(plan.to_bytes(), bytes);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]

    /// The rules have enough overlapping ranges that the index uses segment trees.
    #[test]
    fn overlapping_groups_lose_nothing(
        ranges in proptest::collection::vec((0..400u64, 0..400u64, 0..3usize, any::<bool>()), 150),
    ) {
        let mut rules = Vec::new();
        for (number, (first, more, hall, requirement)) in ranges.into_iter().enumerate() {
            let mut rule = plain_rule(number, requirement);
            rule.on.groups = vec![GroupRange { first, last: first + more }];
            // Many of the requirements bound attempts, so that some nodes stay allowed.
            rule.kind = match number % 5 {
                0 => RuleKind::Place {
                    how: PlacementMode::Avoid,
                    halls: [HALLS[hall].to_string()].into(),
                    hardware: [HARDWARE[number % 3].to_string()].into(),
                },
                _ => RuleKind::Attempts { most: (first % 90) as u32 },
            };
            rules.push(rule);
        }
        let mut everywhere = plain_rule(999, true);
        everywhere.on.groups = vec![GroupRange { first: 0, last: u64::MAX }];
        everywhere.kind = RuleKind::Attempts { most: 50 };
        rules.push(everywhere);
        let book = book_of(rules, &[UncertaintyPolicy::Keep; 3]);
        let plan = compile(&book, &full()).plan;
        let most = |kind: &RuleKind| if let RuleKind::Attempts { most } = kind { Some(*most) } else { None };
        for group in 0..810 {
            let request = Request { tenant: None, class: "c0", group: Some(group) };
            let lookup = plan.lookup(&request);
            prop_assert_eq!(lookup.attempts(), least(&book, &request, most));
            prop_assert_eq!(lookup.rule_names().count(), requirements(&book, &request).len());
            for node in nodes().filter(|node| full().contains_key(node.hardware)) {
                prop_assert_eq!(lookup.allows(&node), allowed(&book, &request, &node));
            }
        }
    }
}

fn plain_rule(number: usize, requirement: bool) -> cottonnotch_routing_rules::Rule {
    cottonnotch_routing_rules::Rule {
        namespace: "a".into(),
        name: format!("r{number:03}"),
        file: "rules.toml".into(),
        line: 1,
        strength: if requirement {
            cottonnotch_routing_rules::Strength::Requirement
        } else {
            cottonnotch_routing_rules::Strength::Preference
        },
        priority: 0,
        depth: 0,
        on: cottonnotch_routing_rules::Selector::default(),
        kind: RuleKind::Attempts { most: 1 },
    }
}

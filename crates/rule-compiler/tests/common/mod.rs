//! Strategies for small books over few names, and a naive evaluation of their rules as a reference.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BTreeSet;

use cottonnotch_routing_rules::{
    Book, GroupRange, MoveCondition, Node, Owner, PlacementMode, Request, Rule, RuleKind, Selector, Strength,
    UncertaintyPolicy, selects_node,
};
use cottonnotch_rule_compiler::{Budgets, Features, Profile, Profiles};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

pub const TENANTS: [&str; 3] = ["t0", "t1", "t2"];
pub const CLASSES: [&str; 2] = ["c0", "c1"];
pub const HALLS: [&str; 3] = ["h0", "h1", "h2"];
/// The last class has no profile, but rules may name it.
pub const HARDWARE: [&str; 4] = ["w0", "w1", "w2", "strange"];
pub const PROFILED: usize = 3;
const OWNERS: [(&str, u32); 3] = [("a", 0), ("a/b", 1), ("a/b/c", 2)];
pub const LAST_GROUP: u64 = 12;

/// Requests that cover every distinction that the generated rules can make.
pub fn requests() -> impl Iterator<Item = Request<'static>> {
    let tenants = TENANTS.into_iter().map(Some).chain([None, Some("nobody")]);
    tenants.flat_map(|tenant| {
        CLASSES.into_iter().chain(["unheard-of"]).flat_map(move |class| {
            let groups = (0..=LAST_GROUP + 1).map(Some).chain([None, Some(u64::MAX - 1), Some(u64::MAX)]);
            groups.map(move |group| Request { tenant, class, group })
        })
    })
}

/// Nodes that cover every distinction that the generated rules can make.
pub fn nodes() -> impl Iterator<Item = Node<'static>> {
    HALLS.into_iter().chain(["elsewhere"]).flat_map(|hall| {
        HARDWARE.into_iter().chain(["unlisted"]).map(move |hardware| Node { hall, hardware })
    })
}

fn names(of: &'static [&'static str], most: usize) -> impl Strategy<Value = BTreeSet<String>> {
    btree_set(prop::sample::select(of).prop_map(String::from), 0..=most)
}

fn range() -> impl Strategy<Value = GroupRange> {
    let small = (0..=LAST_GROUP, 0..=4u64).prop_map(|(first, more)| GroupRange { first, last: first + more });
    let high = (0..=LAST_GROUP).prop_map(|first| GroupRange { first, last: u64::MAX });
    prop_oneof![6 => small, 1 => high, 1 => Just(GroupRange { first: u64::MAX, last: u64::MAX })]
}

/// Ranges of groups that are sorted and disjoint, as in a merged book, but possibly adjacent.
fn groups() -> impl Strategy<Value = Vec<GroupRange>> {
    let some = vec(range(), 1..3).prop_map(|mut ranges| {
        ranges.sort();
        let mut included: Vec<GroupRange> = Vec::new();
        for range in ranges {
            if included.last().is_none_or(|last| last.last < range.first) {
                included.push(range);
            }
        }
        included
    });
    prop_oneof![Just(Vec::new()), some]
}

fn selector() -> impl Strategy<Value = Selector> {
    (names(&TENANTS, 2), names(&CLASSES, 1), groups()).prop_map(|(tenants, classes, groups)| Selector {
        tenants,
        classes,
        groups,
    })
}

fn kind() -> impl Strategy<Value = RuleKind> {
    let how = prop::sample::select(vec![PlacementMode::Require, PlacementMode::Avoid, PlacementMode::Prefer]);
    let when = prop::sample::select(vec![MoveCondition::Last, MoveCondition::DrainsOnly]);
    prop_oneof![
        4 => (how, names(&HALLS, 2), names(&HARDWARE, 2))
            .prop_map(|(how, halls, hardware)| RuleKind::Place { how, halls, hardware }),
        2 => (0..9u64, names(&HALLS, 1), names(&HARDWARE, 2))
            .prop_map(|(connections, halls, hardware)| RuleKind::Cap { connections, halls, hardware }),
        1 => (0..6u32).prop_map(|nodes| RuleKind::Spread { nodes }),
        1 => (0..5u64).prop_map(|per_s_milli| RuleKind::Pace { per_s_milli }),
        1 => (0..4u32).prop_map(|most| RuleKind::Attempts { most }),
        1 => when.prop_map(|when| RuleKind::Move { when }),
    ]
}

/// A rule whose name contains `number`, so that names are unique.
pub fn rule(number: usize) -> impl Strategy<Value = Rule> {
    let strength = prop::sample::select(vec![Strength::Requirement, Strength::Preference]);
    (0..OWNERS.len(), strength, -1..2i32, selector(), kind()).prop_map(
        move |(owner, strength, priority, on, kind)| {
            let (namespace, depth) = OWNERS[owner];
            let (namespace, name) = (namespace.into(), format!("r{number:03}"));
            let (file, line) = ("rules.toml".into(), number as u32 + 1);
            Rule { namespace, name, file, line, strength, priority, depth, on, kind }
        },
    )
}

fn uncertainty_policy() -> impl Strategy<Value = UncertaintyPolicy> {
    prop_oneof![
        Just(UncertaintyPolicy::Keep),
        (1..4u32).prop_map(|retry_ms| UncertaintyPolicy::Refuse { retry_ms })
    ]
}

pub fn book(most: usize) -> impl Strategy<Value = Book> {
    let rules = (0..=most).prop_flat_map(|count| (0..count).map(rule).collect::<Vec<_>>());
    (rules, [uncertainty_policy(), uncertainty_policy(), uncertainty_policy()])
        .prop_map(|(rules, policies)| book_of(rules, &policies))
}

pub fn book_of(mut rules: Vec<Rule>, policies: &[UncertaintyPolicy; 3]) -> Book {
    rules.sort_by(|a, b| (&a.namespace, &a.name).cmp(&(&b.namespace, &b.name)));
    let owner = |((path, _), uncertainty_policy): (&(&str, u32), &UncertaintyPolicy)| Owner {
        path: path.to_string(),
        revision: 1,
        uncertainty_policy: *uncertainty_policy,
    };
    Book { namespaces: OWNERS.iter().zip(policies).map(owner).collect(), rules }
}

pub fn profiles() -> impl Strategy<Value = Profiles> {
    let features = any::<[bool; 6]>().prop_map(|f| Features {
        reports_loads: f[0],
        reports_latency: f[1],
        drained_by_pieces: f[2],
        keeps_groups: f[3],
        takes_weights: f[4],
        answers_probes: f[5],
    });
    let few = (0..6u32, 0..6u32, 0..400u32).prop_map(|(rules, selectors, bytes)| Budgets {
        rules,
        selectors,
        bytes,
    });
    let budgets = prop_oneof![2 => Just(Profile::full().budgets), 1 => few];
    let profile = (features, budgets).prop_map(|(features, budgets)| Profile { features, budgets });
    let profile = prop_oneof![2 => profile, 1 => Just(Profile::full())];
    vec(profile, PROFILED)
        .prop_map(|profiles| HARDWARE.iter().map(|name| name.to_string()).zip(profiles).collect())
}

pub fn full() -> Profiles {
    HARDWARE[..PROFILED].iter().map(|name| (name.to_string(), Profile::full())).collect()
}

pub fn is_requirement(rule: &Rule) -> bool {
    rule.strength == Strength::Requirement
}

pub fn requirements<'a>(book: &'a Book, request: &Request<'a>) -> Vec<&'a Rule> {
    book.rules.iter().filter(|rule| is_requirement(rule) && rule.on.matches(request)).collect()
}

/// Whether the book's requirements allow a node.
pub fn allowed(book: &Book, request: &Request, node: &Node) -> bool {
    requirements(book, request).iter().all(|rule| match &rule.kind {
        RuleKind::Place { how: PlacementMode::Avoid, halls, hardware } => {
            !selects_node(halls, hardware, node)
        }
        RuleKind::Place { halls, hardware, .. } => selects_node(halls, hardware, node),
        _ => true,
    })
}

/// For each matching preference in order of precedence, whether the preference disfavours the node.
pub fn unsatisfied_preferences(book: &Book, request: &Request, node: &Node) -> Vec<bool> {
    let mut preferences: Vec<&Rule> =
        book.rules.iter().filter(|rule| !is_requirement(rule) && rule.on.matches(request)).collect();
    preferences.sort_by_key(|rule| (rule.depth, Reverse(rule.priority), &rule.namespace, &rule.name));
    let says = |rule: &&Rule| match &rule.kind {
        RuleKind::Place { how, halls, hardware } => {
            Some(selects_node(halls, hardware, node) == (*how == PlacementMode::Avoid))
        }
        _ => None,
    };
    preferences.iter().filter_map(says).collect()
}

/// The lowest number among the matching requirements of one kind.
pub fn least<T: Ord>(book: &Book, request: &Request, number: impl Fn(&RuleKind) -> Option<T>) -> Option<T> {
    requirements(book, request).iter().filter_map(|rule| number(&rule.kind)).min()
}

pub fn strictest(book: &Book, request: &Request) -> Option<UncertaintyPolicy> {
    let owner = |rule: &&Rule| {
        let owner = book.namespaces.iter().find(|owner| owner.path == rule.namespace);
        owner.expect("every rule has an owner").uncertainty_policy
    };
    // Any `Refuse` is stricter than `Keep`, and a longer wait is stricter than a shorter one.
    requirements(book, request).iter().map(owner).min_by_key(|uncertain| match uncertain {
        UncertaintyPolicy::Refuse { retry_ms } => (0, Reverse(*retry_ms)),
        UncertaintyPolicy::Keep => (1, Reverse(0)),
    })
}

pub fn id(rule: &Rule) -> String {
    format!("{}:{}", rule.namespace, rule.name)
}

//! A small inventory, a compact description of rule files for it, and proptest strategies for such files.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeSet;
use std::fmt::Write as _;

use cottonnotch_routing_rules::{Inventory, Node, Request, RuleFile};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

pub const TENANTS: [&str; 3] = ["t0", "t1", "t2"];
pub const CLASSES: [&str; 2] = ["c0", "c1"];
pub const HALLS: [&str; 2] = ["h0", "h1"];
pub const HARDWARE: [&str; 2] = ["w0", "w1"];
pub const GROUPS: u64 = 4;
pub const FLEET_CONNECTIONS: u64 = 100;

pub fn inventory() -> Inventory {
    Inventory::of("r", &TENANTS, &CLASSES, &HALLS, &HARDWARE, FLEET_CONNECTIONS)
}

/// All requests of the inventory. One group that no file names stands for all other groups.
pub fn requests() -> Vec<Request<'static>> {
    let mut all = Vec::new();
    for tenant in [None].into_iter().chain(TENANTS.into_iter().map(Some)) {
        for class in CLASSES {
            for group in [None].into_iter().chain((0..=GROUPS).map(Some)) {
                all.push(Request { tenant, class, group });
            }
        }
    }
    all
}

pub fn nodes() -> Vec<Node<'static>> {
    HALLS.iter().flat_map(|hall| HARDWARE.iter().map(|hardware| Node { hall, hardware })).collect()
}

/// A file of a namespace, at the path that corresponds to the namespace.
pub fn file(namespace: &str, revision: u64, body: &str) -> RuleFile {
    let text = format!("namespace = \"{namespace}\"\nowner = \"someone\"\nrevision = {revision}\n{body}\n");
    RuleFile::new(format!("rules/{namespace}.toml"), text)
}

pub type Names = BTreeSet<usize>;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SelectorSpec {
    pub tenants: Names,
    pub classes: Names,
    pub groups: BTreeSet<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeSelection {
    pub halls: Names,
    pub hardware: Names,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KindSpec {
    Require(NodeSelection),
    Avoid(NodeSelection),
    Prefer(NodeSelection),
    PreferOthers(NodeSelection),
    Cap(u64),
    Attempts(u32),
}

#[derive(Clone, Debug)]
pub struct RuleSpec {
    pub selector: SelectorSpec,
    pub priority: i32,
    pub kind: KindSpec,
}

#[derive(Clone, Debug)]
pub struct DelegateSpec {
    pub to: String,
    pub selector: SelectorSpec,
    pub nodes: NodeSelection,
    pub connections: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct NamespaceSpec {
    pub path: String,
    pub revision: u64,
    pub delegates: Vec<DelegateSpec>,
    pub rules: Vec<RuleSpec>,
}

fn write_names(key: &str, names: &Names, of: &[&str], to: &mut String, line: &str) {
    if !names.is_empty() {
        let names: Vec<String> = names.iter().map(|at| format!("\"{}\"", of[*at])).collect();
        write!(to, "{key} = [{}]{line}", names.join(", ")).expect("writing to a String cannot fail");
    }
}

fn write_selector(selector: &SelectorSpec, to: &mut String) {
    write_names("tenants", &selector.tenants, &TENANTS, to, "\n");
    write_names("classes", &selector.classes, &CLASSES, to, "\n");
    if !selector.groups.is_empty() {
        let groups: Vec<String> = selector.groups.iter().map(|group| format!("\"{group:#x}\"")).collect();
        writeln!(to, "groups = [{}]", groups.join(", ")).expect("writing to a String cannot fail");
    }
}

fn format_nodes(nodes: &NodeSelection) -> String {
    let mut inner = String::new();
    write_names("halls", &nodes.halls, &HALLS, &mut inner, ", ");
    write_names("hardware", &nodes.hardware, &HARDWARE, &mut inner, ", ");
    inner.trim_end_matches(", ").to_owned()
}

impl NamespaceSpec {
    pub fn file(&self) -> RuleFile {
        let mut body = String::new();
        for delegate in &self.delegates {
            writeln!(body, "[[delegate]]\nto = \"{}\"", delegate.to)
                .expect("writing to a String cannot fail");
            write_selector(&delegate.selector, &mut body);
            write_names("halls", &delegate.nodes.halls, &HALLS, &mut body, "\n");
            write_names("hardware", &delegate.nodes.hardware, &HARDWARE, &mut body, "\n");
            if let Some(quota) = delegate.connections {
                writeln!(body, "connections = {quota}").expect("writing to a String cannot fail");
            }
        }
        for (at, rule) in self.rules.iter().enumerate() {
            writeln!(body, "[[rule]]\nname = \"rule-{at}\"\npriority = {}", rule.priority)
                .expect("writing to a String cannot fail");
            write_selector(&rule.selector, &mut body);
            let kind = match &rule.kind {
                KindSpec::Require(nodes) => format!("place.require = {{ {} }}", format_nodes(nodes)),
                KindSpec::Avoid(nodes) => format!("place.avoid = {{ {} }}", format_nodes(nodes)),
                KindSpec::Prefer(nodes) => format!("place.prefer = {{ {} }}", format_nodes(nodes)),
                KindSpec::PreferOthers(nodes) => {
                    format!("must = false\nplace.avoid = {{ {} }}", format_nodes(nodes))
                }
                KindSpec::Cap(connections) => format!("cap.connections = {connections}"),
                KindSpec::Attempts(max_count) => format!("attempts.most = {max_count}"),
            };
            writeln!(body, "{kind}").expect("writing to a String cannot fail");
        }
        file(&self.path, self.revision, &body)
    }
}

fn names(of: usize, max_count: usize) -> impl Strategy<Value = Names> {
    prop_oneof![1 => Just(Names::new()), 2 => btree_set(0..of, 1..=max_count)]
}

fn any_selector() -> impl Strategy<Value = SelectorSpec> {
    let groups = prop_oneof![2 => Just(BTreeSet::new()), 1 => btree_set(0..GROUPS, 1..=3)];
    (names(3, 2), names(2, 1), groups).prop_map(|(tenants, classes, groups)| SelectorSpec {
        tenants,
        classes,
        groups,
    })
}

fn any_nodes() -> impl Strategy<Value = NodeSelection> {
    prop_oneof![
        btree_set(0..2_usize, 1..=2).prop_map(|halls| NodeSelection { halls, hardware: Names::new() }),
        btree_set(0..2_usize, 1..=2).prop_map(|hardware| NodeSelection { halls: Names::new(), hardware }),
        (btree_set(0..2_usize, 1..=2), btree_set(0..2_usize, 1..=2))
            .prop_map(|(halls, hardware)| NodeSelection { halls, hardware }),
    ]
}

fn any_rule() -> impl Strategy<Value = RuleSpec> {
    let kind = prop_oneof![
        3 => any_nodes().prop_map(KindSpec::Require),
        2 => any_nodes().prop_map(KindSpec::Avoid),
        3 => any_nodes().prop_map(KindSpec::Prefer),
        1 => any_nodes().prop_map(KindSpec::PreferOthers),
        1 => (1..150_u64).prop_map(KindSpec::Cap),
        1 => (1..5_u32).prop_map(KindSpec::Attempts),
    ];
    // Most rules apply to the whole scope of their namespace. Otherwise hardly any universe would be free of conflicts.
    let selector = prop_oneof![3 => Just(SelectorSpec::default()), 1 => any_selector()];
    (selector, 0..2_i32, kind).prop_map(|(selector, priority, kind)| RuleSpec { selector, priority, kind })
}

fn any_delegate(to: &'static str) -> impl Strategy<Value = Option<DelegateSpec>> {
    // Two thirds of the grants name one tenant, as real ones do. Otherwise few files would be free of conflicts.
    let tenant: usize = if to.ends_with('a') || to.ends_with('x') { 0 } else { 1 };
    let selector = prop_oneof![
        1 => any_selector(),
        2 => Just(SelectorSpec { tenants: BTreeSet::from([tenant]), ..SelectorSpec::default() }),
    ];
    let nodes = prop_oneof![2 => Just(NodeSelection::default()), 1 => any_nodes()];
    let connections = prop_oneof![1 => Just(None), 1 => (1..80_u64).prop_map(Some)];
    let delegate = (selector, nodes, connections).prop_map(move |(selector, nodes, connections)| {
        DelegateSpec { to: to.to_owned(), selector, nodes, connections }
    });
    prop::option::weighted(0.9, delegate)
}

fn any_namespace(
    path: &'static str,
    children: [Option<&'static str>; 2],
) -> impl Strategy<Value = NamespaceSpec> {
    let delegate = |child: Option<&'static str>| match child {
        Some(to) => any_delegate(to).boxed(),
        None => Just(None).boxed(),
    };
    (delegate(children[0]), delegate(children[1]), vec(any_rule(), 0..4), 1..3_u64).prop_map(
        move |(one, other, rules, revision)| NamespaceSpec {
            path: path.to_owned(),
            revision,
            delegates: one.into_iter().chain(other).collect(),
            rules,
        },
    )
}

/// A root with two children, each of which may have one child itself. Every namespace except the root sometimes has no file.
pub fn any_universe() -> impl Strategy<Value = Vec<NamespaceSpec>> {
    let maybe = |path, children| prop::option::weighted(0.85, any_namespace(path, children));
    (
        any_namespace("r", [Some("a"), Some("b")]),
        maybe("r/a", [Some("x"), None]),
        maybe("r/b", [Some("y"), None]),
        maybe("r/a/x", [None, None]),
        maybe("r/b/y", [None, None]),
    )
        .prop_map(|(root, a, b, x, y)| [Some(root), a, b, x, y].into_iter().flatten().collect())
}

pub fn files(universe: &[NamespaceSpec]) -> Vec<RuleFile> {
    universe.iter().map(NamespaceSpec::file).collect()
}

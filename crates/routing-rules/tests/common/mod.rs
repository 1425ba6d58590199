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

pub fn world() -> Inventory {
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
pub struct On {
    pub tenants: Names,
    pub classes: Names,
    pub groups: BTreeSet<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Nodes {
    pub halls: Names,
    pub hardware: Names,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    Require(Nodes),
    Avoid(Nodes),
    Prefer(Nodes),
    RatherNot(Nodes),
    Cap(u64),
    Attempts(u32),
}

#[derive(Clone, Debug)]
pub struct RuleSpec {
    pub on: On,
    pub priority: i32,
    pub what: What,
}

#[derive(Clone, Debug)]
pub struct Grant {
    pub to: String,
    pub on: On,
    pub nodes: Nodes,
    pub connections: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct Spec {
    pub path: String,
    pub revision: u64,
    pub grants: Vec<Grant>,
    pub rules: Vec<RuleSpec>,
}

fn list(key: &str, names: &Names, of: &[&str], to: &mut String, line: &str) {
    if !names.is_empty() {
        let names: Vec<String> = names.iter().map(|at| format!("\"{}\"", of[*at])).collect();
        write!(to, "{key} = [{}]{line}", names.join(", ")).expect("writing to a String cannot fail");
    }
}

fn on(on: &On, to: &mut String) {
    list("tenants", &on.tenants, &TENANTS, to, "\n");
    list("classes", &on.classes, &CLASSES, to, "\n");
    if !on.groups.is_empty() {
        let groups: Vec<String> = on.groups.iter().map(|group| format!("\"{group:#x}\"")).collect();
        writeln!(to, "groups = [{}]", groups.join(", ")).expect("writing to a String cannot fail");
    }
}

fn placed(nodes: &Nodes) -> String {
    let mut inner = String::new();
    list("halls", &nodes.halls, &HALLS, &mut inner, ", ");
    list("hardware", &nodes.hardware, &HARDWARE, &mut inner, ", ");
    inner.trim_end_matches(", ").to_owned()
}

impl Spec {
    pub fn file(&self) -> RuleFile {
        let mut body = String::new();
        for grant in &self.grants {
            writeln!(body, "[[delegate]]\nto = \"{}\"", grant.to).expect("writing to a String cannot fail");
            on(&grant.on, &mut body);
            list("halls", &grant.nodes.halls, &HALLS, &mut body, "\n");
            list("hardware", &grant.nodes.hardware, &HARDWARE, &mut body, "\n");
            if let Some(part) = grant.connections {
                writeln!(body, "connections = {part}").expect("writing to a String cannot fail");
            }
        }
        for (at, rule) in self.rules.iter().enumerate() {
            writeln!(body, "[[rule]]\nname = \"rule-{at}\"\npriority = {}", rule.priority)
                .expect("writing to a String cannot fail");
            on(&rule.on, &mut body);
            let kind = match &rule.what {
                What::Require(nodes) => format!("place.require = {{ {} }}", placed(nodes)),
                What::Avoid(nodes) => format!("place.avoid = {{ {} }}", placed(nodes)),
                What::Prefer(nodes) => format!("place.prefer = {{ {} }}", placed(nodes)),
                What::RatherNot(nodes) => format!("must = false\nplace.avoid = {{ {} }}", placed(nodes)),
                What::Cap(connections) => format!("cap.connections = {connections}"),
                What::Attempts(most) => format!("attempts.most = {most}"),
            };
            writeln!(body, "{kind}").expect("writing to a String cannot fail");
        }
        file(&self.path, self.revision, &body)
    }
}

fn names(of: usize, most: usize) -> impl Strategy<Value = Names> {
    prop_oneof![1 => Just(Names::new()), 2 => btree_set(0..of, 1..=most)]
}

fn any_on() -> impl Strategy<Value = On> {
    let groups = prop_oneof![2 => Just(BTreeSet::new()), 1 => btree_set(0..GROUPS, 1..=3)];
    (names(3, 2), names(2, 1), groups).prop_map(|(tenants, classes, groups)| On { tenants, classes, groups })
}

fn any_nodes() -> impl Strategy<Value = Nodes> {
    prop_oneof![
        btree_set(0..2_usize, 1..=2).prop_map(|halls| Nodes { halls, hardware: Names::new() }),
        btree_set(0..2_usize, 1..=2).prop_map(|hardware| Nodes { halls: Names::new(), hardware }),
        (btree_set(0..2_usize, 1..=2), btree_set(0..2_usize, 1..=2))
            .prop_map(|(halls, hardware)| Nodes { halls, hardware }),
    ]
}

fn any_rule() -> impl Strategy<Value = RuleSpec> {
    let what = prop_oneof![
        3 => any_nodes().prop_map(What::Require),
        2 => any_nodes().prop_map(What::Avoid),
        3 => any_nodes().prop_map(What::Prefer),
        1 => any_nodes().prop_map(What::RatherNot),
        1 => (1..150_u64).prop_map(What::Cap),
        1 => (1..5_u32).prop_map(What::Attempts),
    ];
    // Most rules apply to the whole scope of their namespace. Otherwise hardly any universe would be free of conflicts.
    let on = prop_oneof![3 => Just(On::default()), 1 => any_on()];
    (on, 0..2_i32, what).prop_map(|(on, priority, what)| RuleSpec { on, priority, what })
}

fn any_grant(to: &'static str) -> impl Strategy<Value = Option<Grant>> {
    // Two thirds of the grants name one tenant, as real ones do. Otherwise few files would be free of conflicts.
    let own: usize = if to.ends_with('a') || to.ends_with('x') { 0 } else { 1 };
    let on = prop_oneof![
        1 => any_on(),
        2 => Just(On { tenants: BTreeSet::from([own]), ..On::default() }),
    ];
    let nodes = prop_oneof![2 => Just(Nodes::default()), 1 => any_nodes()];
    let connections = prop_oneof![1 => Just(None), 1 => (1..80_u64).prop_map(Some)];
    let grant = (on, nodes, connections).prop_map(move |(on, nodes, connections)| Grant {
        to: to.to_owned(),
        on,
        nodes,
        connections,
    });
    prop::option::weighted(0.9, grant)
}

fn any_spec(path: &'static str, children: [Option<&'static str>; 2]) -> impl Strategy<Value = Spec> {
    let grant = |child: Option<&'static str>| match child {
        Some(to) => any_grant(to).boxed(),
        None => Just(None).boxed(),
    };
    (grant(children[0]), grant(children[1]), vec(any_rule(), 0..4), 1..3_u64).prop_map(
        move |(one, other, rules, revision)| Spec {
            path: path.to_owned(),
            revision,
            grants: one.into_iter().chain(other).collect(),
            rules,
        },
    )
}

/// A root with two children, each of which may have one child itself. Every namespace except the root sometimes has no file.
pub fn any_universe() -> impl Strategy<Value = Vec<Spec>> {
    let maybe = |path, children| prop::option::weighted(0.85, any_spec(path, children));
    (
        any_spec("r", [Some("a"), Some("b")]),
        maybe("r/a", [Some("x"), None]),
        maybe("r/b", [Some("y"), None]),
        maybe("r/a/x", [None, None]),
        maybe("r/b/y", [None, None]),
    )
        .prop_map(|(root, a, b, x, y)| [Some(root), a, b, x, y].into_iter().flatten().collect())
}

pub fn files(universe: &[Spec]) -> Vec<RuleFile> {
    universe.iter().map(Spec::file).collect()
}

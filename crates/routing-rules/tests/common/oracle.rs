//! A brute-force search for conflicts, which tries each request on each node.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use cottonnotch_routing_rules::{Node, Request};

use crate::common::{
    CLASSES, FLEET_CONNECTIONS, HALLS, HARDWARE, KindSpec, Names, NamespaceSpec, NodeSelection, SelectorSpec,
    TENANTS, nodes, requests,
};

/// A namespace with its scope, its connections and its rules.
#[derive(Clone, Debug)]
pub struct PlacedNamespace {
    pub depth: usize,
    pub selector: SelectorSpec,
    pub nodes: NodeSelection,
    pub connections: u64,
    pub rules: Vec<(String, SelectorSpec, i32, KindSpec)>,
}

fn non_empty_or(named: &Names, granted: &Names) -> Names {
    if named.is_empty() { granted.clone() } else { named.clone() }
}

fn narrow(named: &SelectorSpec, granted: &SelectorSpec) -> SelectorSpec {
    SelectorSpec {
        tenants: non_empty_or(&named.tenants, &granted.tenants),
        classes: non_empty_or(&named.classes, &granted.classes),
        groups: if named.groups.is_empty() { granted.groups.clone() } else { named.groups.clone() },
    }
}

pub fn matches_request(selector: &SelectorSpec, request: &Request) -> bool {
    let has = |names: &Names, of: &[&str], name: &str| names.iter().any(|at| of[*at] == name);
    (selector.tenants.is_empty()
        || request.tenant.is_some_and(|tenant| has(&selector.tenants, &TENANTS, tenant)))
        && (selector.classes.is_empty() || has(&selector.classes, &CLASSES, request.class))
        && (selector.groups.is_empty() || request.group.is_some_and(|group| selector.groups.contains(&group)))
}

pub fn selects_node(nodes: &NodeSelection, node: &Node) -> bool {
    (nodes.halls.is_empty() || nodes.halls.iter().any(|at| HALLS[*at] == node.hall))
        && (nodes.hardware.is_empty() || nodes.hardware.iter().any(|at| HARDWARE[*at] == node.hardware))
}

fn exceeds_scope(
    named: &SelectorSpec,
    named_nodes: &NodeSelection,
    granted: &SelectorSpec,
    granted_nodes: &NodeSelection,
) -> bool {
    let selector = narrow(named, granted);
    requests().iter().any(|request| matches_request(&selector, request) && !matches_request(granted, request))
        || (!granted_nodes.halls.is_empty() && !named_nodes.halls.is_subset(&granted_nodes.halls))
        || (!granted_nodes.hardware.is_empty() && !named_nodes.hardware.is_subset(&granted_nodes.hardware))
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FoundConflicts {
    pub orphans: BTreeSet<String>,
    pub out_of_scope: BTreeSet<(String, String)>,
    pub overlapping_siblings: BTreeSet<(String, String)>,
    pub overcommitted: BTreeSet<String>,
    pub excessive_caps: BTreeSet<(String, String)>,
    pub no_node: BTreeSet<String>,
    pub ineffective_preferences: BTreeSet<(String, String)>,
}

fn requirement_allows(kind: &KindSpec, node: &Node) -> bool {
    match kind {
        KindSpec::Require(of) => selects_node(of, node),
        KindSpec::Avoid(of) => !selects_node(of, node),
        _ => true,
    }
}

/// Whether the node satisfies a preference; `None` if `what` is not a preference.
fn satisfied(kind: &KindSpec, node: &Node) -> Option<bool> {
    match kind {
        KindSpec::Prefer(of) => Some(selects_node(of, node)),
        KindSpec::PreferOthers(of) => Some(!selects_node(of, node)),
        _ => None,
    }
}

fn related(one: &str, other: &str) -> bool {
    one == other || other.starts_with(&format!("{one}/")) || one.starts_with(&format!("{other}/"))
}

pub fn conflicts(universe: &[NamespaceSpec]) -> FoundConflicts {
    let mut found = FoundConflicts::default();
    let mut placed = BTreeMap::<String, PlacedNamespace>::new();
    for spec in universe {
        let (selector, usable_nodes, connections, depth) = match spec.path.rsplit_once('/') {
            None => (SelectorSpec::default(), NodeSelection::default(), FLEET_CONNECTIONS, 0),
            Some((parent, name)) => {
                let parent_namespace = placed.get(parent);
                let parent_spec = universe.iter().find(|spec| spec.path == parent);
                let delegate =
                    parent_spec.and_then(|spec| spec.delegates.iter().find(|delegate| delegate.to == name));
                match (parent_namespace, delegate) {
                    (Some(parent_namespace), Some(delegate)) => {
                        // A child is not evaluated until its parent itself has what it grants to the child.
                        if exceeds_scope(
                            &delegate.selector,
                            &delegate.nodes,
                            &parent_namespace.selector,
                            &parent_namespace.nodes,
                        ) {
                            continue;
                        }
                        let usable_nodes = NodeSelection {
                            halls: non_empty_or(&delegate.nodes.halls, &parent_namespace.nodes.halls),
                            hardware: non_empty_or(
                                &delegate.nodes.hardware,
                                &parent_namespace.nodes.hardware,
                            ),
                        };
                        let connections = delegate.connections.unwrap_or(parent_namespace.connections);
                        (
                            narrow(&delegate.selector, &parent_namespace.selector),
                            usable_nodes,
                            connections,
                            parent_namespace.depth + 1,
                        )
                    }
                    // A namespace whose parent has a file but is not evaluated is not evaluated either.
                    (None, _) if parent_spec.is_some() => continue,
                    _ => {
                        found.orphans.insert(spec.path.clone());
                        continue;
                    }
                }
            }
        };
        let mut out_of_scope_rules = BTreeSet::new();
        let mut rules = Vec::new();
        for (at, rule) in spec.rules.iter().enumerate() {
            let name = format!("rule-{at}");
            let named = match &rule.kind {
                KindSpec::Require(of)
                | KindSpec::Avoid(of)
                | KindSpec::Prefer(of)
                | KindSpec::PreferOthers(of) => of.clone(),
                _ => NodeSelection::default(),
            };
            if exceeds_scope(&rule.selector, &named, &selector, &usable_nodes) {
                found.out_of_scope.insert((spec.path.clone(), name.clone()));
                out_of_scope_rules.insert(name.clone());
            }
            if matches!(rule.kind, KindSpec::Cap(cap) if cap > connections) {
                found.excessive_caps.insert((spec.path.clone(), name.clone()));
            }
            rules.push((name, narrow(&rule.selector, &selector), rule.priority, rule.kind.clone()));
        }
        for delegate in &spec.delegates {
            let is_in_scope = !exceeds_scope(&delegate.selector, &delegate.nodes, &selector, &usable_nodes);
            if !is_in_scope {
                found
                    .out_of_scope
                    .insert((spec.path.clone(), format!("delegate {}/{}", spec.path, delegate.to)));
            }
            let scope = narrow(&delegate.selector, &selector);
            if is_in_scope && delegate.nodes != NodeSelection::default() {
                let name = format!("delegate.{}.nodes", delegate.to);
                rules.push((name, scope.clone(), 0, KindSpec::Require(delegate.nodes.clone())));
            }
            for other in spec.delegates.iter().filter(|other| other.to > delegate.to) {
                let other_scope = narrow(&other.selector, &selector);
                if requests()
                    .iter()
                    .any(|request| matches_request(&scope, request) && matches_request(&other_scope, request))
                {
                    let child = |of: &str| format!("{}/{of}", spec.path);
                    found.overlapping_siblings.insert((child(&delegate.to), child(&other.to)));
                }
            }
        }
        if spec.delegates.iter().filter_map(|delegate| delegate.connections).sum::<u64>() > connections {
            found.overcommitted.insert(spec.path.clone());
        }
        // Rules outside the scope are not checked further.
        rules.retain(|(name, ..)| !out_of_scope_rules.contains(name));
        placed.insert(
            spec.path.clone(),
            PlacedNamespace { depth, selector, nodes: usable_nodes, connections, rules },
        );
    }
    for (path, namespace) in &placed {
        find_missing_node(path, namespace, &placed, &mut found);
        find_ineffective_preferences(path, namespace, &placed, &mut found);
    }
    found
}

fn find_missing_node(
    path: &str,
    namespace: &PlacedNamespace,
    placed: &BTreeMap<String, PlacedNamespace>,
    found: &mut FoundConflicts,
) {
    for request in requests() {
        let has_node = |deepest: usize| {
            let requirements: Vec<&KindSpec> = placed
                .iter()
                .filter(|(other, above)| {
                    above.depth <= deepest && related(path, other) && above.depth <= namespace.depth
                })
                .flat_map(|(_, above)| &above.rules)
                .filter(|(_, selector, ..)| matches_request(selector, &request))
                .map(|(.., kind)| kind)
                .collect();
            nodes()
                .iter()
                .any(|node| requirements.iter().all(|requirement| requirement_allows(requirement, node)))
        };
        let above_has_node = namespace.depth.checked_sub(1).is_none_or(has_node);
        if above_has_node && !has_node(namespace.depth) {
            found.no_node.insert(path.to_owned());
        }
    }
}

fn find_ineffective_preferences(
    path: &str,
    namespace: &PlacedNamespace,
    placed: &BTreeMap<String, PlacedNamespace>,
    found: &mut FoundConflicts,
) {
    let related_namespaces: Vec<(&String, &PlacedNamespace)> =
        placed.iter().filter(|(other, _)| related(path, other)).collect();
    for (name, selector, priority, kind) in &namespace.rules {
        if satisfied(kind, &nodes()[0]).is_none() {
            continue;
        }
        let order = (namespace.depth, Reverse(*priority), path, name.as_str());
        let takes_effect =
            requests().iter().filter(|request| matches_request(selector, request)).any(|request| {
                let rules_of = |(path, namespace): &(&String, &PlacedNamespace)| -> Vec<_> {
                    let rules =
                        namespace.rules.iter().filter(|(_, selector, ..)| matches_request(selector, request));
                    rules
                        .map(|(name, _, priority, kind)| {
                            (
                                (namespace.depth, Reverse(*priority), path.to_string(), name.clone()),
                                kind.clone(),
                            )
                        })
                        .collect()
                };
                let mut matching_rules: Vec<_> = related_namespaces.iter().flat_map(rules_of).collect();
                matching_rules.sort_by(|a, b| a.0.cmp(&b.0));
                let applies_before = |other: &(usize, Reverse<i32>, String, String)| {
                    (other.0, other.1, other.2.as_str(), other.3.as_str()) < order
                };
                let nodes = nodes();
                let allowed: Vec<&Node> = nodes
                    .iter()
                    .filter(|node| matching_rules.iter().all(|(_, kind)| requirement_allows(kind, node)))
                    .collect();
                let rank = |node: &Node| -> Vec<bool> {
                    let preferences = matching_rules.iter().filter(|(order, _)| applies_before(order));
                    preferences
                        .filter_map(|(_, kind)| satisfied(kind, node))
                        .map(|is_satisfied| !is_satisfied)
                        .collect()
                };
                let (satisfying, failing): (Vec<&Node>, Vec<&Node>) =
                    allowed.into_iter().partition(|node| satisfied(kind, node) == Some(true));
                !satisfying.is_empty()
                    && (failing.is_empty()
                        || satisfying.iter().any(|satisfying| {
                            failing.iter().any(|failing| rank(satisfying) <= rank(failing))
                        }))
            });
        if !takes_effect {
            found.ineffective_preferences.insert((path.to_owned(), name.clone()));
        }
    }
}

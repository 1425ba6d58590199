//! A brute-force search for conflicts, which tries each request on each node.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use cottonnotch_routing_rules::{Node, Request};

use crate::common::{
    CLASSES, FLEET_CONNECTIONS, HALLS, HARDWARE, Names, Nodes, On, Spec, TENANTS, What, nodes, requests,
};

/// A namespace with its scope, its connections and its rules.
#[derive(Clone, Debug)]
pub struct Placed {
    pub depth: usize,
    pub on: On,
    pub nodes: Nodes,
    pub whole: u64,
    pub rules: Vec<(String, On, i32, What)>,
}

fn or(named: &Names, had: &Names) -> Names {
    if named.is_empty() { had.clone() } else { named.clone() }
}

fn narrow(named: &On, had: &On) -> On {
    On {
        tenants: or(&named.tenants, &had.tenants),
        classes: or(&named.classes, &had.classes),
        groups: if named.groups.is_empty() { had.groups.clone() } else { named.groups.clone() },
    }
}

pub fn speaks(on: &On, request: &Request) -> bool {
    let has = |names: &Names, of: &[&str], name: &str| names.iter().any(|at| of[*at] == name);
    (on.tenants.is_empty() || request.tenant.is_some_and(|tenant| has(&on.tenants, &TENANTS, tenant)))
        && (on.classes.is_empty() || has(&on.classes, &CLASSES, request.class))
        && (on.groups.is_empty() || request.group.is_some_and(|group| on.groups.contains(&group)))
}

pub fn means(nodes: &Nodes, node: &Node) -> bool {
    (nodes.halls.is_empty() || nodes.halls.iter().any(|at| HALLS[*at] == node.hall))
        && (nodes.hardware.is_empty() || nodes.hardware.iter().any(|at| HARDWARE[*at] == node.hardware))
}

fn beyond(named: &On, named_nodes: &Nodes, had: &On, had_nodes: &Nodes) -> bool {
    let on = narrow(named, had);
    requests().iter().any(|request| speaks(&on, request) && !speaks(had, request))
        || (!had_nodes.halls.is_empty() && !named_nodes.halls.is_subset(&had_nodes.halls))
        || (!had_nodes.hardware.is_empty() && !named_nodes.hardware.is_subset(&had_nodes.hardware))
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub orphans: BTreeSet<String>,
    pub not_owned: BTreeSet<(String, String)>,
    pub same_subject: BTreeSet<(String, String)>,
    pub over_committed: BTreeSet<String>,
    pub beyond_caps: BTreeSet<(String, String)>,
    pub no_node: BTreeSet<String>,
    pub idle: BTreeSet<(String, String)>,
}

fn requirement_allows(what: &What, node: &Node) -> bool {
    match what {
        What::Require(of) => means(of, node),
        What::Avoid(of) => !means(of, node),
        _ => true,
    }
}

/// Whether the node satisfies a preference; `None` if `what` is not a preference.
fn satisfied(what: &What, node: &Node) -> Option<bool> {
    match what {
        What::Prefer(of) => Some(means(of, node)),
        What::RatherNot(of) => Some(!means(of, node)),
        _ => None,
    }
}

fn related(one: &str, other: &str) -> bool {
    one == other || other.starts_with(&format!("{one}/")) || one.starts_with(&format!("{other}/"))
}

pub fn conflicts(universe: &[Spec]) -> Found {
    let mut found = Found::default();
    let mut placed = BTreeMap::<String, Placed>::new();
    for spec in universe {
        let (on, held, whole, depth) = match spec.path.rsplit_once('/') {
            None => (On::default(), Nodes::default(), FLEET_CONNECTIONS, 0),
            Some((parent, name)) => {
                let above = placed.get(parent);
                let parent_spec = universe.iter().find(|spec| spec.path == parent);
                let grant = parent_spec.and_then(|spec| spec.grants.iter().find(|grant| grant.to == name));
                match (above, grant) {
                    (Some(above), Some(grant)) => {
                        // A child is not evaluated until its parent itself has what it grants to the child.
                        if beyond(&grant.on, &grant.nodes, &above.on, &above.nodes) {
                            continue;
                        }
                        let held = Nodes {
                            halls: or(&grant.nodes.halls, &above.nodes.halls),
                            hardware: or(&grant.nodes.hardware, &above.nodes.hardware),
                        };
                        let whole = grant.connections.unwrap_or(above.whole);
                        (narrow(&grant.on, &above.on), held, whole, above.depth + 1)
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
        let mut unowned = BTreeSet::new();
        let mut rules = Vec::new();
        for (at, rule) in spec.rules.iter().enumerate() {
            let name = format!("rule-{at}");
            let named = match &rule.what {
                What::Require(of) | What::Avoid(of) | What::Prefer(of) | What::RatherNot(of) => of.clone(),
                _ => Nodes::default(),
            };
            if beyond(&rule.on, &named, &on, &held) {
                found.not_owned.insert((spec.path.clone(), name.clone()));
                unowned.insert(name.clone());
            }
            if matches!(rule.what, What::Cap(connections) if connections > whole) {
                found.beyond_caps.insert((spec.path.clone(), name.clone()));
            }
            rules.push((name, narrow(&rule.on, &on), rule.priority, rule.what.clone()));
        }
        for grant in &spec.grants {
            let owned = !beyond(&grant.on, &grant.nodes, &on, &held);
            if !owned {
                found.not_owned.insert((spec.path.clone(), format!("delegate {}/{}", spec.path, grant.to)));
            }
            let given = narrow(&grant.on, &on);
            if owned && grant.nodes != Nodes::default() {
                let name = format!("delegate.{}.nodes", grant.to);
                rules.push((name, given.clone(), 0, What::Require(grant.nodes.clone())));
            }
            for other in spec.grants.iter().filter(|other| other.to > grant.to) {
                let theirs = narrow(&other.on, &on);
                if requests().iter().any(|request| speaks(&given, request) && speaks(&theirs, request)) {
                    let child = |of: &str| format!("{}/{of}", spec.path);
                    found.same_subject.insert((child(&grant.to), child(&other.to)));
                }
            }
        }
        if spec.grants.iter().filter_map(|grant| grant.connections).sum::<u64>() > whole {
            found.over_committed.insert(spec.path.clone());
        }
        // Rules outside the scope are not checked further.
        rules.retain(|(name, ..)| !unowned.contains(name));
        placed.insert(spec.path.clone(), Placed { depth, on, nodes: held, whole, rules });
    }
    for (path, of) in &placed {
        no_node(path, of, &placed, &mut found);
        idle(path, of, &placed, &mut found);
    }
    found
}

fn no_node(path: &str, of: &Placed, placed: &BTreeMap<String, Placed>, found: &mut Found) {
    for request in requests() {
        let leaves = |deepest: usize| {
            let requirements: Vec<&What> = placed
                .iter()
                .filter(|(other, above)| {
                    above.depth <= deepest && related(path, other) && above.depth <= of.depth
                })
                .flat_map(|(_, above)| &above.rules)
                .filter(|(_, on, ..)| speaks(on, &request))
                .map(|(.., what)| what)
                .collect();
            nodes()
                .iter()
                .any(|node| requirements.iter().all(|requirement| requirement_allows(requirement, node)))
        };
        let above = of.depth.checked_sub(1).is_none_or(leaves);
        if above && !leaves(of.depth) {
            found.no_node.insert(path.to_owned());
        }
    }
}

fn idle(path: &str, of: &Placed, placed: &BTreeMap<String, Placed>, found: &mut Found) {
    let near: Vec<(&String, &Placed)> = placed.iter().filter(|(other, _)| related(path, other)).collect();
    for (name, on, priority, what) in &of.rules {
        if satisfied(what, &nodes()[0]).is_none() {
            continue;
        }
        let order = (of.depth, Reverse(*priority), path, name.as_str());
        let takes_effect = requests().iter().filter(|request| speaks(on, request)).any(|request| {
            let speaking = |(path, of): &(&String, &Placed)| -> Vec<_> {
                let rules = of.rules.iter().filter(|(_, on, ..)| speaks(on, request));
                rules
                    .map(|(name, _, priority, what)| {
                        ((of.depth, Reverse(*priority), path.to_string(), name.clone()), what.clone())
                    })
                    .collect()
            };
            let mut met: Vec<_> = near.iter().flat_map(speaking).collect();
            met.sort_by(|a, b| a.0.cmp(&b.0));
            let before = |of: &(usize, Reverse<i32>, String, String)| {
                (of.0, of.1, of.2.as_str(), of.3.as_str()) < order
            };
            let nodes = nodes();
            let allowed: Vec<&Node> = nodes
                .iter()
                .filter(|node| met.iter().all(|(_, what)| requirement_allows(what, node)))
                .collect();
            let rank = |node: &Node| -> Vec<bool> {
                let preferences = met.iter().filter(|(order, _)| before(order));
                preferences.filter_map(|(_, what)| satisfied(what, node)).map(|yes| !yes).collect()
            };
            let (yes, no): (Vec<&Node>, Vec<&Node>) =
                allowed.into_iter().partition(|node| satisfied(what, node) == Some(true));
            !yes.is_empty()
                && (no.is_empty() || yes.iter().any(|yes| no.iter().any(|no| rank(yes) <= rank(no))))
        });
        if !takes_effect {
            found.idle.insert((path.to_owned(), name.clone()));
        }
    }
}

//! Finds the conflicts of a namespace with the chain of namespaces above it, and the conflicts among its delegations.

use std::collections::{BTreeMap, BTreeSet};

use crate::book::{Node, Request, Rule, RuleKind};
use crate::compiled::{Compiled, ParsedFile, is_child};
use crate::conflict::{Conflict, RuleLocation, Witness};
use crate::inventory::Inventory;
use crate::node_kind_set::{NodeKindSet, is_requirement};
use crate::scope::{Scope, meeting};

/// The maximum number of [`Conflict::NoNode`] reported for one namespace. Each reports a different set of requirements.
const MAX_REPORTED: usize = 16;

/// All conflicts that can be found without knowing the namespaces below.
pub(crate) fn with_chain(of: &Compiled, inventory: &Inventory) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    same_subject(of, inventory, &mut conflicts);
    over_committed(of, inventory, &mut conflicts);
    no_node(of, inventory, &mut conflicts);
    conflicts
}

pub(crate) fn location(rule: &Rule) -> RuleLocation {
    RuleLocation {
        namespace: rule.namespace.clone(),
        file: rule.file.clone(),
        line: rule.line,
        name: rule.name.clone(),
    }
}

/// The rules and delegations of a namespace that name something outside its scope.
pub(crate) fn not_owned(read: &ParsedFile, scope: &Scope, inventory: &Inventory) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let mut report = |one: RuleLocation, beyond: Option<(String, Witness)>| {
        if let Some((what, witness)) = beyond {
            conflicts.push(Conflict::NotOwned { one, other: scope.location.clone(), what, witness });
        }
    };
    for rule in &read.file.rules {
        report(read.location(rule.line, &rule.name), scope.rule_beyond(rule, inventory));
    }
    // A void delegation must stay within the scope as well: it takes effect once the other claimant is gone.
    let path = read.file.namespace.as_str();
    let given = read.file.delegates.iter().filter(|to| to.handed_to.is_none() && is_child(path, &to.to));
    for delegate in given {
        let name = format!("delegate {}", delegate.to);
        report(read.location(delegate.line, &name), scope.delegate_beyond(delegate, inventory));
    }
    conflicts
}

/// Finds pairs of children whose scopes overlap. Only pairs that share a tenant, or of which one has any tenant, are compared.
fn same_subject(of: &Compiled, inventory: &Inventory, conflicts: &mut Vec<Conflict>) {
    let mut by_tenant = BTreeMap::<&str, Vec<usize>>::new();
    let mut any_tenant = Vec::new();
    let mut pairs = BTreeSet::new();
    for (at, (_, _, given)) in of.grants.iter().enumerate() {
        pairs.extend(any_tenant.iter().map(|other| (*other, at)));
        if given.on.tenants.is_empty() {
            pairs.extend((0..at).map(|other| (other, at)));
            any_tenant.push(at);
        }
        for tenant in &given.on.tenants {
            let others = by_tenant.entry(tenant).or_default();
            pairs.extend(others.iter().map(|other| (*other, at)));
            others.push(at);
        }
    }
    let claimed_at = |at: usize| {
        let (child, _, given) = &of.grants[at];
        RuleLocation { namespace: child.clone(), ..given.location.clone() }
    };
    for (one, other) in pairs {
        if let Some(request) = meeting(&of.grants[one].2.on, &of.grants[other].2.on, inventory) {
            let parent = of.read.location(of.read.file.line, "");
            let witness = Witness::new(&request, None);
            conflicts.push(Conflict::SameSubject {
                one: claimed_at(one),
                other: claimed_at(other),
                parent,
                witness,
            });
        }
    }
}

fn over_committed(of: &Compiled, inventory: &Inventory, conflicts: &mut Vec<Conflict>) {
    let Some(total) = of.scope.connections else { return };
    let other = of.scope.location.clone();
    let (mut promised, mut passes, mut quotas) = (0_u64, None, Vec::new());
    for (child, quota, given) in &of.grants {
        let Some(quota) = quota else { continue };
        promised = promised.saturating_add(*quota);
        let location = RuleLocation { namespace: child.clone(), ..given.location.clone() };
        if promised > total && passes.is_none() {
            passes = Some((location.clone(), Witness::new(&inventory.sample(&given.on), None)));
        }
        quotas.push(location);
    }
    if let Some((one, witness)) = passes {
        let promiser = of.read.location(of.read.file.line, "");
        let other = other.clone();
        conflicts.push(Conflict::OverCommitted { one, promiser, other, quotas, promised, total, witness });
    }
    for rule in &of.read.file.rules {
        let RuleKind::Cap { connections, .. } = rule.kind else { continue };
        if connections > total {
            let one = of.read.location(rule.line, &rule.name);
            let on = of.scope.narrow(&rule.tenants, &rule.classes, &rule.groups);
            let witness = Witness::new(&inventory.sample(&on), None);
            let (promiser, quotas, other) = (one.clone(), Vec::new(), other.clone());
            let promised = connections;
            conflicts.push(Conflict::OverCommitted {
                one,
                promiser,
                other,
                quotas,
                promised,
                total,
                witness,
            });
        }
    }
}

/// The tenants of the requests that the inventory allows and that `named` matches; an empty `named` matches any. `None` stands
/// for a request without a tenant.
pub(crate) fn tenants<'a>(
    named: &'a BTreeSet<String>,
    inventory: &'a Inventory,
) -> impl Iterator<Item = Option<&'a str>> {
    let any = named.is_empty();
    let all = inventory.tenants.iter().filter(move |tenant| any || named.contains(*tenant));
    // A request without a tenant is matched only by a rule for any tenant.
    any.then_some(None).into_iter().chain(all.map(|tenant| Some(tenant.as_str())))
}

/// One representative for each set of groups that the rules do not distinguish, and `None` for a request without a group.
pub(crate) fn groups<'a>(rules: impl Iterator<Item = &'a Rule>) -> BTreeSet<Option<u64>> {
    let mut points = BTreeSet::from([None, Some(0)]);
    for range in rules.flat_map(|rule| &rule.on.groups) {
        points.insert(Some(range.first));
        points.extend(range.last.checked_add(1).map(Some));
    }
    points
}

type PlacedRequirement<'a> = (&'a Rule, &'a NodeKindSet);

fn allowed(requirements: &[PlacedRequirement], inventory: &Inventory) -> NodeKindSet {
    let mut mask = NodeKindSet::all(inventory);
    requirements.iter().for_each(|(_, nodes)| mask.and(nodes));
    mask
}

/// Finds requests that are left without a node by a requirement of this namespace. A request that the requirements above
/// already leave without a node is reported for the namespace above.
fn no_node(of: &Compiled, inventory: &Inventory, conflicts: &mut Vec<Conflict>) {
    if inventory.nodes.is_empty()
        || !of.placements.all.iter().any(|placed| is_requirement(of.rules[placed.rule].strength))
    {
        return;
    }
    let chain = of.chain();
    let mut reported = BTreeSet::new();
    for tenant in tenants(&of.scope.on.tenants, inventory) {
        let of_tenant: Vec<PlacedRequirement> = chain
            .iter()
            .flat_map(|namespace| namespace.placed_for(tenant))
            .filter(|(rule, _)| is_requirement(rule.strength))
            .collect();
        // Fewer requirements allow more nodes: if all of them together allow a node, a request that matches some of them has one.
        if !allowed(&of_tenant, inventory).is_empty() {
            continue;
        }
        for class in &inventory.classes {
            let has = |on: &BTreeSet<String>| on.is_empty() || on.contains(class);
            let of_class: Vec<PlacedRequirement> =
                of_tenant.iter().copied().filter(|(rule, _)| has(&rule.on.classes)).collect();
            if !allowed(&of_class, inventory).is_empty() {
                continue;
            }
            for group in groups(of_class.iter().map(|(rule, _)| *rule)) {
                let request = Request { tenant, class, group };
                let requirements: Vec<PlacedRequirement> =
                    of_class.iter().copied().filter(|(rule, _)| rule.on.matches(&request)).collect();
                let above: Vec<PlacedRequirement> =
                    requirements.iter().copied().filter(|(rule, _)| rule.depth < of.depth).collect();
                if !allowed(&requirements, inventory).is_empty() || allowed(&above, inventory).is_empty() {
                    continue;
                }
                let requirements = minimal_subset(requirements, inventory);
                if reported.insert(requirements.iter().map(|(rule, _)| location(rule)).collect::<Vec<_>>()) {
                    conflicts.push(without_node(&requirements, &request, inventory));
                }
                if reported.len() >= MAX_REPORTED {
                    return;
                }
            }
        }
    }
}

/// A minimal subset of the requirements that still allows no node. Requirements nearer the root are removed first.
fn minimal_subset<'a>(
    mut requirements: Vec<PlacedRequirement<'a>>,
    inventory: &Inventory,
) -> Vec<PlacedRequirement<'a>> {
    let mut at = 0;
    while at < requirements.len() {
        let removed = requirements.remove(at);
        if !allowed(&requirements, inventory).is_empty() {
            requirements.insert(at, removed);
            at += 1;
        }
    }
    requirements
}

fn without_node(requirements: &[PlacedRequirement], request: &Request, inventory: &Inventory) -> Conflict {
    let all: Vec<RuleLocation> = requirements.iter().map(|(rule, _)| location(rule)).collect();
    let nobody =
        || RuleLocation { namespace: String::new(), file: String::new(), line: 0, name: String::new() };
    // The deepest requirement is last. A node that the other requirements allow is the witness.
    let one = all.last().cloned().unwrap_or_else(nobody);
    let other = all.first().cloned().unwrap_or_else(nobody);
    let others = &requirements[..requirements.len().saturating_sub(1)];
    let node: Option<Node> = allowed(others, inventory).first().and_then(|at| inventory.nodes().nth(at));
    Conflict::NoNode { one, other, requirements: all, witness: Witness::new(request, node) }
}

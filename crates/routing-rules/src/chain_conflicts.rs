//! Finds the conflicts of a namespace with the chain of namespaces above it, and the conflicts among its delegations.

use std::collections::{BTreeMap, BTreeSet};

use crate::book::{Node, Request, Rule, RuleKind};
use crate::compiled::{Compiled, ParsedFile, is_child};
use crate::conflict::{Conflict, RuleLocation, Witness};
use crate::inventory::Inventory;
use crate::node_kind_set::{NodeKindSet, is_requirement};
use crate::scope::{Scope, common_request};

/// The maximum number of [`Conflict::NoNode`] reported for one namespace. Each reports a different set of requirements.
const MAX_REPORTED: usize = 16;

/// All conflicts that can be found without knowing the namespaces below.
pub(crate) fn conflicts_with_chain(namespace: &Compiled, inventory: &Inventory) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    find_overlapping_scopes(namespace, inventory, &mut conflicts);
    find_overcommitted_connections(namespace, inventory, &mut conflicts);
    find_requests_without_node(namespace, inventory, &mut conflicts);
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
pub(crate) fn out_of_scope_conflicts(
    parsed: &ParsedFile,
    scope: &Scope,
    inventory: &Inventory,
) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let mut report = |one: RuleLocation, outside: Option<(String, Witness)>| {
        if let Some((what, witness)) = outside {
            conflicts.push(Conflict::OutOfScope { one, other: scope.location.clone(), what, witness });
        }
    };
    for rule in &parsed.file.rules {
        report(parsed.location(rule.line, &rule.name), scope.first_outside_of_rule(rule, inventory));
    }
    // A void delegation must stay within the scope as well: it takes effect once the other claimant is gone.
    let path = parsed.file.namespace.as_str();
    let granted = parsed
        .file
        .delegates
        .iter()
        .filter(|delegate| delegate.handed_to.is_none() && is_child(path, &delegate.to));
    for delegate in granted {
        let name = format!("delegate {}", delegate.to);
        report(parsed.location(delegate.line, &name), scope.first_outside_of_delegate(delegate, inventory));
    }
    conflicts
}

/// Finds pairs of children whose scopes overlap. Only pairs that share a tenant, or of which one has any tenant, are compared.
fn find_overlapping_scopes(namespace: &Compiled, inventory: &Inventory, conflicts: &mut Vec<Conflict>) {
    let mut by_tenant = BTreeMap::<&str, Vec<usize>>::new();
    let mut any_tenant = Vec::new();
    let mut pairs = BTreeSet::new();
    for (at, (_, _, granted)) in namespace.grants.iter().enumerate() {
        pairs.extend(any_tenant.iter().map(|other| (*other, at)));
        if granted.on.tenants.is_empty() {
            pairs.extend((0..at).map(|other| (other, at)));
            any_tenant.push(at);
        }
        for tenant in &granted.on.tenants {
            let others = by_tenant.entry(tenant).or_default();
            pairs.extend(others.iter().map(|other| (*other, at)));
            others.push(at);
        }
    }
    let delegation_location = |at: usize| {
        let (child, _, granted) = &namespace.grants[at];
        RuleLocation { namespace: child.clone(), ..granted.location.clone() }
    };
    for (one, other) in pairs {
        if let Some(request) =
            common_request(&namespace.grants[one].2.on, &namespace.grants[other].2.on, inventory)
        {
            let parent = namespace.parsed.location(namespace.parsed.file.line, "");
            let witness = Witness::new(&request, None);
            conflicts.push(Conflict::OverlappingScopes {
                one: delegation_location(one),
                other: delegation_location(other),
                parent,
                witness,
            });
        }
    }
}

/// Finds quotas of the children, or caps, that exceed the connections of the namespace.
fn find_overcommitted_connections(
    namespace: &Compiled,
    inventory: &Inventory,
    conflicts: &mut Vec<Conflict>,
) {
    let Some(total) = namespace.scope.connections else { return };
    let other = namespace.scope.location.clone();
    let (mut promised, mut first_excess, mut quotas) = (0_u64, None, Vec::new());
    for (child, quota, granted) in &namespace.grants {
        let Some(quota) = quota else { continue };
        promised = promised.saturating_add(*quota);
        let location = RuleLocation { namespace: child.clone(), ..granted.location.clone() };
        if promised > total && first_excess.is_none() {
            first_excess = Some((location.clone(), Witness::new(&inventory.sample(&granted.on), None)));
        }
        quotas.push(location);
    }
    if let Some((one, witness)) = first_excess {
        let grantor = namespace.parsed.location(namespace.parsed.file.line, "");
        let other = other.clone();
        conflicts.push(Conflict::OverCommitted { one, grantor, other, quotas, promised, total, witness });
    }
    for rule in &namespace.parsed.file.rules {
        let RuleKind::Cap { connections, .. } = rule.kind else { continue };
        if connections > total {
            let one = namespace.parsed.location(rule.line, &rule.name);
            let on = namespace.scope.narrow(&rule.tenants, &rule.classes, &rule.groups);
            let witness = Witness::new(&inventory.sample(&on), None);
            let (grantor, quotas, other) = (one.clone(), Vec::new(), other.clone());
            let promised = connections;
            conflicts.push(Conflict::OverCommitted { one, grantor, other, quotas, promised, total, witness });
        }
    }
}

/// The tenants of the requests that the inventory allows and that `named` matches; an empty `named` matches any. `None` stands
/// for a request without a tenant.
pub(crate) fn possible_tenants<'a>(
    named: &'a BTreeSet<String>,
    inventory: &'a Inventory,
) -> impl Iterator<Item = Option<&'a str>> {
    let matches_any = named.is_empty();
    let all = inventory.tenants.iter().filter(move |tenant| matches_any || named.contains(*tenant));
    // A request without a tenant is matched only by a rule for any tenant.
    matches_any.then_some(None).into_iter().chain(all.map(|tenant| Some(tenant.as_str())))
}

/// One representative for each set of groups that the rules do not distinguish, and `None` for a request without a group.
pub(crate) fn representative_groups<'a>(rules: impl Iterator<Item = &'a Rule>) -> BTreeSet<Option<u64>> {
    let mut representatives = BTreeSet::from([None, Some(0)]);
    for range in rules.flat_map(|rule| &rule.on.groups) {
        representatives.insert(Some(range.first));
        representatives.extend(range.last.checked_add(1).map(Some));
    }
    representatives
}

type Requirement<'a> = (&'a Rule, &'a NodeKindSet);

/// The kinds of node that all of the requirements allow.
fn allowed_nodes(requirements: &[Requirement], inventory: &Inventory) -> NodeKindSet {
    let mut allowed = NodeKindSet::all(inventory);
    requirements.iter().for_each(|(_, nodes)| allowed.intersect(nodes));
    allowed
}

/// Finds requests that are left without a node by a requirement of this namespace. A request that the requirements above
/// already leave without a node is reported for the namespace above.
fn find_requests_without_node(namespace: &Compiled, inventory: &Inventory, conflicts: &mut Vec<Conflict>) {
    if inventory.nodes.is_empty()
        || !namespace
            .placements
            .all
            .iter()
            .any(|placed| is_requirement(namespace.rules[placed.rule].strength))
    {
        return;
    }
    let chain = namespace.chain();
    let mut reported = BTreeSet::new();
    for tenant in possible_tenants(&namespace.scope.on.tenants, inventory) {
        let tenant_requirements: Vec<Requirement> = chain
            .iter()
            .flat_map(|namespace| namespace.placements_for(tenant))
            .filter(|(rule, _)| is_requirement(rule.strength))
            .collect();
        // Fewer requirements allow more nodes: if all of them together allow a node, a request that matches some of them has one.
        if !allowed_nodes(&tenant_requirements, inventory).is_empty() {
            continue;
        }
        for class in &inventory.classes {
            let matches_class = |on: &BTreeSet<String>| on.is_empty() || on.contains(class);
            let class_requirements: Vec<Requirement> = tenant_requirements
                .iter()
                .copied()
                .filter(|(rule, _)| matches_class(&rule.on.classes))
                .collect();
            if !allowed_nodes(&class_requirements, inventory).is_empty() {
                continue;
            }
            for group in representative_groups(class_requirements.iter().map(|(rule, _)| *rule)) {
                let request = Request { tenant, class, group };
                let requirements: Vec<Requirement> = class_requirements
                    .iter()
                    .copied()
                    .filter(|(rule, _)| rule.on.matches(&request))
                    .collect();
                let above: Vec<Requirement> =
                    requirements.iter().copied().filter(|(rule, _)| rule.depth < namespace.depth).collect();
                if !allowed_nodes(&requirements, inventory).is_empty()
                    || allowed_nodes(&above, inventory).is_empty()
                {
                    continue;
                }
                let requirements = minimal_subset(requirements, inventory);
                if reported.insert(requirements.iter().map(|(rule, _)| location(rule)).collect::<Vec<_>>()) {
                    conflicts.push(no_node_conflict(&requirements, &request, inventory));
                }
                if reported.len() >= MAX_REPORTED {
                    return;
                }
            }
        }
    }
}

/// A minimal subset of the requirements that still allows no node. Requirements nearer the root are removed first.
fn minimal_subset<'a>(mut requirements: Vec<Requirement<'a>>, inventory: &Inventory) -> Vec<Requirement<'a>> {
    let mut at = 0;
    while at < requirements.len() {
        let removed = requirements.remove(at);
        if !allowed_nodes(&requirements, inventory).is_empty() {
            requirements.insert(at, removed);
            at += 1;
        }
    }
    requirements
}

fn no_node_conflict(requirements: &[Requirement], request: &Request, inventory: &Inventory) -> Conflict {
    let all: Vec<RuleLocation> = requirements.iter().map(|(rule, _)| location(rule)).collect();
    let no_location =
        || RuleLocation { namespace: String::new(), file: String::new(), line: 0, name: String::new() };
    // The deepest requirement is last. A node that the other requirements allow is the witness.
    let one = all.last().cloned().unwrap_or_else(no_location);
    let other = all.first().cloned().unwrap_or_else(no_location);
    let others = &requirements[..requirements.len().saturating_sub(1)];
    let node: Option<Node> =
        allowed_nodes(others, inventory).first().and_then(|index| inventory.nodes().nth(index));
    Conflict::NoNode { one, other, requirements: all, witness: Witness::new(request, node) }
}

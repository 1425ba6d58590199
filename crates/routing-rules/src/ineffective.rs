//! Finds preferences that can never take effect. The check needs the requirements of all ancestors and all descendants.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::book::{Request, Rule};
use crate::chain_conflicts::{location, possible_tenants, representative_groups};
use crate::compiled::Compiled;
use crate::conflict::{Conflict, Witness};
use crate::inventory::Inventory;
use crate::node_kind_set::{NodeKindSet, is_requirement};

/// The namespaces in force, grouped by the path of their parent.
pub(crate) type Children = BTreeMap<String, Vec<Arc<Compiled>>>;

type Placement<'a> = (&'a Rule, &'a NodeKindSet);

/// The preferences of a namespace that can never take effect.
pub(crate) fn ineffective_preferences(
    namespace: &Compiled,
    children: &Children,
    inventory: &Inventory,
) -> Vec<Conflict> {
    let chain = namespace.chain();
    let preferences =
        namespace.placements.all.iter().map(|placement| (&namespace.rules[placement.rule], &placement.nodes));
    let preferences = preferences.filter(|(rule, _)| !is_requirement(rule.strength));
    preferences
        .filter_map(|preference| ineffective_conflict(namespace, preference, &chain, children, inventory))
        .collect()
}

fn ineffective_conflict(
    namespace: &Compiled,
    preference: Placement,
    chain: &[&Compiled],
    children: &Children,
    inventory: &Inventory,
) -> Option<Conflict> {
    // The rule that defeats the preference differs by request. The deepest of these rules is reported, because the rules nearer
    // the root do not defeat the preference for all requests.
    let mut reported: Option<(Request, Option<&Rule>)> = None;
    for tenant in possible_tenants(&preference.0.on.tenants, inventory) {
        let mut matching: Vec<Placement> = Vec::new();
        matching.extend(chain.iter().flat_map(|namespace| namespace.placements_for(tenant)));
        collect_descendant_requirements(namespace, tenant, children, &mut matching);
        matching.retain(|(rule, _)| {
            is_requirement(rule.strength) || rule.preference_order() < preference.0.preference_order()
        });
        for class in &inventory.classes {
            if !preference.0.on.classes.is_empty() && !preference.0.on.classes.contains(class) {
                continue;
            }
            let matches_class = |rule: &&Rule| rule.on.classes.is_empty() || rule.on.classes.contains(class);
            let rules = matching.iter().map(|(rule, _)| *rule).filter(matches_class);
            for group in representative_groups(rules.chain([preference.0])) {
                let request = Request { tenant, class, group };
                if !preference.0.on.matches(&request) {
                    continue;
                }
                let matching = matching.iter().copied().filter(|(rule, _)| rule.on.matches(&request));
                let rule = match find_opposition(preference, matching.collect(), inventory) {
                    Opposition::TakesEffect => return None,
                    Opposition::Rule(rule) => Some(rule),
                    Opposition::NoNodeSatisfies => None,
                };
                let depth = |rule: Option<&Rule>| rule.map(|rule| rule.depth);
                if reported.is_none_or(|(_, reported_rule)| depth(reported_rule) < depth(rule)) {
                    reported = Some((request, rule));
                }
            }
        }
    }
    let (request, other) = reported.unwrap_or_else(|| (inventory.sample(&preference.0.on), None));
    let node = preference.1.first().and_then(|index| inventory.nodes().nth(index));
    let one = location(preference.0);
    let other = other.map_or_else(|| one.clone(), location);
    Some(Conflict::IneffectivePreference { one, other, witness: Witness::new(&request, node) })
}

/// Collects the requirements of the descendants that can match the tenant.
fn collect_descendant_requirements<'a>(
    namespace: &Compiled,
    tenant: Option<&str>,
    children: &'a Children,
    matching: &mut Vec<Placement<'a>>,
) {
    for child in children.get(namespace.path()).into_iter().flatten() {
        let tenants = &child.scope.on.tenants;
        if tenants.is_empty() || tenant.is_some_and(|tenant| tenants.contains(tenant)) {
            matching.extend(child.placements_for(tenant).filter(|(rule, _)| is_requirement(rule.strength)));
            collect_descendant_requirements(child, tenant, children, matching);
        }
    }
}

enum Opposition<'a> {
    TakesEffect,
    Rule(&'a Rule),
    NoNodeSatisfies,
}

/// The rule that defeats a preference for one request. The preference takes effect if some allowed node that satisfies it is
/// not ranked behind every allowed node that does not, in the ranking by the preferences that apply before it.
fn find_opposition<'a>(
    preference: Placement,
    matching: Vec<Placement<'a>>,
    inventory: &Inventory,
) -> Opposition<'a> {
    let (requirements, mut preferences): (Vec<_>, Vec<_>) =
        matching.into_iter().partition(|(rule, _)| is_requirement(rule.strength));
    let mut satisfying = preference.1.clone();
    let mut others = NodeKindSet::all(inventory);
    others.subtract(preference.1);
    if satisfying.is_empty() {
        return Opposition::NoNodeSatisfies;
    }
    for (rule, nodes) in &requirements {
        satisfying.intersect(nodes);
        others.intersect(nodes);
        if satisfying.is_empty() {
            return Opposition::Rule(rule);
        }
    }
    if others.is_empty() {
        return Opposition::TakesEffect;
    }
    preferences.sort_by(|a, b| a.0.preference_order().cmp(&b.0.preference_order()));
    for (rule, nodes) in preferences {
        let (mut preferred, mut failing_others) = (satisfying.clone(), others.clone());
        preferred.intersect(nodes);
        failing_others.subtract(nodes);
        match (preferred.is_empty(), failing_others.is_empty()) {
            // Some satisfying node ranks before some other node, so the preference can take effect.
            (false, false) => return Opposition::TakesEffect,
            // Every other node ranks before every satisfying node: all other nodes meet this preference, and no satisfying node
            // does.
            (true, true) => return Opposition::Rule(rule),
            (true, false) => others = failing_others,
            (false, true) => satisfying = preferred,
        }
    }
    Opposition::TakesEffect
}

//! Wishes that can never take effect: this needs the musts of the whole chain above and of all that lies below.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::book::{Request, Rule};
use crate::check::{groups, spot, tenants};
use crate::compiled::Compiled;
use crate::conflict::{Conflict, Witness};
use crate::mask::{Mask, is_must};
use crate::world::Inventory;

/// The namespaces in force by their parents.
pub(crate) type Children = BTreeMap<String, Vec<Arc<Compiled>>>;

type Placement<'a> = (&'a Rule, &'a Mask);

/// The wishes of a namespace that can never take effect.
pub(crate) fn wishes(of: &Compiled, children: &Children, world: &Inventory) -> Vec<Conflict> {
    let chain = of.chain();
    let wishes = of.placed.iter().map(|placed| (&of.rules[placed.rule], &placed.nodes));
    let wishes = wishes.filter(|(rule, _)| !is_must(rule.strength));
    wishes.filter_map(|wish| idle(of, wish, &chain, children, world)).collect()
}

fn idle(
    of: &Compiled,
    wish: Placement,
    chain: &[&Compiled],
    children: &Children,
    world: &Inventory,
) -> Option<Conflict> {
    // What stands against it differs by request. The deepest is told, since what lies nearer the root isn't enough.
    let mut told: Option<(Request, Option<&Rule>)> = None;
    for tenant in tenants(&wish.0.on.tenants, world) {
        let mut met: Vec<Placement> = Vec::new();
        met.extend(chain.iter().flat_map(|namespace| namespace.placed_for(tenant)));
        below(of, tenant, children, &mut met);
        met.retain(|(rule, _)| is_must(rule.strength) || rule.preference_order() < wish.0.preference_order());
        for class in &world.classes {
            if !wish.0.on.classes.is_empty() && !wish.0.on.classes.contains(class) {
                continue;
            }
            let of_class = |rule: &&Rule| rule.on.classes.is_empty() || rule.on.classes.contains(class);
            let rules = met.iter().map(|(rule, _)| *rule).filter(of_class);
            for group in groups(rules.chain([wish.0])) {
                let request = Request { tenant, class, group };
                if !wish.0.on.matches(&request) {
                    continue;
                }
                let met = met.iter().copied().filter(|(rule, _)| rule.on.matches(&request));
                let rule = match against(wish, met.collect(), world) {
                    Against::Nothing => return None,
                    Against::Rule(rule) => Some(rule),
                    Against::Itself => None,
                };
                let depth = |rule: Option<&Rule>| rule.map(|rule| rule.depth);
                if told.is_none_or(|(_, before)| depth(before) < depth(rule)) {
                    told = Some((request, rule));
                }
            }
        }
    }
    let (request, other) = told.unwrap_or_else(|| (world.sample(&wish.0.on), None));
    let node = wish.1.first().and_then(|at| world.nodes().nth(at));
    let one = spot(wish.0);
    let other = other.map_or_else(|| one.clone(), spot);
    Some(Conflict::IneffectivePreference { one, other, witness: Witness::new(&request, node) })
}

/// The musts of the namespaces below that can match the tenant.
fn below<'a>(of: &Compiled, tenant: Option<&str>, children: &'a Children, met: &mut Vec<Placement<'a>>) {
    for child in children.get(of.path()).into_iter().flatten() {
        let tenants = &child.scope.on.tenants;
        if tenants.is_empty() || tenant.is_some_and(|tenant| tenants.contains(tenant)) {
            met.extend(child.placed_for(tenant).filter(|(rule, _)| is_must(rule.strength)));
            below(child, tenant, children, met);
        }
    }
}

enum Against<'a> {
    Nothing,
    Rule(&'a Rule),
    Itself,
}

/// What stands against a wish on one request. It takes effect if a node that satisfies it is allowed and is not behind
/// each node that doesn't: behind as the wishes before it order them.
fn against<'a>(wish: Placement, met: Vec<Placement<'a>>, world: &Inventory) -> Against<'a> {
    let (musts, mut wishes): (Vec<_>, Vec<_>) = met.into_iter().partition(|(rule, _)| is_must(rule.strength));
    let mut satisfying = wish.1.clone();
    let mut others = Mask::all(world);
    others.without(wish.1);
    if satisfying.is_empty() {
        return Against::Itself;
    }
    for (rule, nodes) in &musts {
        satisfying.and(nodes);
        others.and(nodes);
        if satisfying.is_empty() {
            return Against::Rule(rule);
        }
    }
    if others.is_empty() {
        return Against::Nothing;
    }
    wishes.sort_by(|a, b| a.0.preference_order().cmp(&b.0.preference_order()));
    for (rule, nodes) in wishes {
        let (mut wished, mut unwished) = (satisfying.clone(), others.clone());
        wished.and(nodes);
        unwished.without(nodes);
        match (wished.is_empty(), unwished.is_empty()) {
            // Some satisfying node goes before some other: the wishes agree.
            (false, false) => return Against::Nothing,
            // Only nodes that this wish leaves alike are still to be told apart.
            (true, true) => return Against::Rule(rule),
            (true, false) => others = unwished,
            (false, true) => satisfying = wished,
        }
    }
    Against::Nothing
}

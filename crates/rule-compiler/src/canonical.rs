//! The canonical form of a plan: which body is the one encoding of its meaning.

use cottonnotch_routing_rules::{GroupRange, UncertaintyPolicy};

use crate::plan_body::{Body, CompiledForm, CompiledRule, PlanError};

/// The level that rules need of a build.
pub(crate) fn needs(rules: &[CompiledRule]) -> u16 {
    rules.iter().map(|rule| rule.form.needs()).max().unwrap_or(1)
}

/// Whether a body is as [`compile`](crate::compile()) makes it.
pub(crate) fn check(body: &Body) -> Result<(), PlanError> {
    if body.needs != needs(&body.rules) {
        return Err(PlanError::Canonical("needs"));
    }
    if !body.hardware.is_sorted_by(|a, b| a < b) {
        return Err(PlanError::Canonical("hardware"));
    }
    if !body.rules.is_sorted_by(|a, b| (&a.namespace, &a.name) < (&b.namespace, &b.name)) {
        return Err(PlanError::Canonical("rules"));
    }
    body.rules.iter().try_for_each(|rule| check_rule(rule, &body.hardware))
}

fn check_rule(rule: &CompiledRule, hardware: &[String]) -> Result<(), PlanError> {
    let listed = |places: &[u16], end: usize| {
        places.is_sorted_by(|a, b| a < b) && places.last().is_none_or(|&last| usize::from(last) < end)
    };
    if !listed(&rule.out, hardware.len() + 1) {
        return Err(PlanError::Canonical("classes that are out"));
    }
    if !is_normalized(&rule.on.groups) {
        return Err(PlanError::Canonical("groups"));
    }
    if rule.form.is_preference() && rule.uncertainty_policy != UncertaintyPolicy::Keep {
        return Err(PlanError::Canonical("a wish in doubt"));
    }
    let named = rule.form.nodes().map(|nodes| &nodes.hardware);
    if named.is_some_and(|named| named.iter().any(|name| hardware.binary_search(name).is_err())) {
        return Err(PlanError::Canonical("classes that aren't listed"));
    }
    match &rule.form {
        CompiledForm::Spread { counted: Some(counted), .. } if counted.nodes.hardware.is_empty() => {
            Err(PlanError::Canonical("a spread counted nowhere"))
        }
        CompiledForm::Move { drains_only, .. } if !listed(drains_only, hardware.len()) => {
            Err(PlanError::Canonical("classes that drain only"))
        }
        _ => Ok(()),
    }
}

/// Whether ranges are sorted, disjoint and not next to each other.
fn is_normalized(ranges: &[GroupRange]) -> bool {
    ranges.iter().all(|range| range.first <= range.last)
        && ranges.windows(2).all(|two| two[0].last.checked_add(1).is_some_and(|next| next < two[1].first))
}

/// The ranges that mean the same groups, sorted, disjoint and not next to each other.
pub(crate) fn normalized(ranges: &[GroupRange]) -> Vec<GroupRange> {
    let mut sorted: Vec<_> = ranges.iter().copied().filter(|range| range.first <= range.last).collect();
    sorted.sort();
    let mut normalized: Vec<GroupRange> = Vec::with_capacity(sorted.len());
    for range in sorted {
        match normalized.last_mut() {
            Some(last) if range.first <= last.last.saturating_add(1) => last.last = last.last.max(range.last),
            _ => normalized.push(range),
        }
    }
    normalized
}

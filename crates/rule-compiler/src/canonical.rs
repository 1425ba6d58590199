//! The canonical form of a plan's body. Of all bodies that mean the same, one is accepted.

use cottonnotch_routing_rules::{GroupRange, UncertaintyPolicy};

use crate::plan_body::{Body, CompiledForm, CompiledRule, PlanError};

/// The lowest level that a build must support to run these rules.
pub(crate) fn needs(rules: &[CompiledRule]) -> u16 {
    rules.iter().map(|rule| rule.form.needs()).max().unwrap_or(1)
}

/// Returns an error unless the body is in the canonical form that [`compile`](crate::compile()) makes.
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
        return Err(PlanError::Canonical("indices of excluded classes"));
    }
    if !is_normalized(&rule.on.groups) {
        return Err(PlanError::Canonical("groups"));
    }
    if rule.form.is_preference() && rule.uncertainty_policy != UncertaintyPolicy::Keep {
        return Err(PlanError::Canonical("a preference with an uncertainty policy"));
    }
    let named = rule.form.nodes().map(|nodes| &nodes.hardware);
    if named.is_some_and(|named| named.iter().any(|name| hardware.binary_search(name).is_err())) {
        return Err(PlanError::Canonical("classes that the plan doesn't list"));
    }
    match &rule.form {
        CompiledForm::Spread { counted: Some(counted), .. } if counted.nodes.hardware.is_empty() => {
            Err(PlanError::Canonical("a counted spread without classes"))
        }
        CompiledForm::Move { drains_only, .. } if !listed(drains_only, hardware.len()) => {
            Err(PlanError::Canonical("indices of classes that move on drain only"))
        }
        _ => Ok(()),
    }
}

/// Whether the ranges are non-empty, sorted, disjoint and not adjacent.
fn is_normalized(ranges: &[GroupRange]) -> bool {
    ranges.iter().all(|range| range.first <= range.last)
        && ranges.windows(2).all(|two| two[0].last.checked_add(1).is_some_and(|next| next < two[1].first))
}

/// Merges the ranges into sorted, disjoint and non-adjacent ranges that contain the same groups.
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

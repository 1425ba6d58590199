//! What bytes have to be like to be a plan, and how much of them is read at all.

use std::fmt;
use std::marker::PhantomData;

use cottonnotch_routing_rules::{GroupRange, UncertaintyPolicy};
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::plan::{BadPlan, Body, Form, Lowrule};

/// The level that rules need of a build.
pub(crate) fn needs(rules: &[Lowrule]) -> u16 {
    rules.iter().map(|rule| rule.form.needs()).max().unwrap_or(1)
}

/// Reads a list of bounded length: a rule takes far more room in memory than on the wire.
pub(crate) fn few<'de, D: Deserializer<'de>, T: Deserialize<'de>, const MOST: usize>(
    from: D,
) -> Result<Vec<T>, D::Error> {
    struct Few<T, const MOST: usize>(PhantomData<T>);
    impl<'de, T: Deserialize<'de>, const MOST: usize> Visitor<'de> for Few<T, MOST> {
        type Value = Vec<T>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "at most {MOST} entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Vec<T>, A::Error> {
            let mut entries = Vec::new();
            while let Some(entry) = from.next_element()? {
                if entries.len() == MOST {
                    return Err(serde::de::Error::invalid_length(MOST + 1, &self));
                }
                entries.push(entry);
            }
            Ok(entries)
        }
    }
    from.deserialize_seq(Few::<T, MOST>(PhantomData))
}

pub(crate) fn check(body: &Body) -> Result<(), BadPlan> {
    if body.needs != needs(&body.rules) {
        return Err(BadPlan::Canonical("needs"));
    }
    if !body.hardware.is_sorted_by(|a, b| a < b) {
        return Err(BadPlan::Canonical("hardware"));
    }
    if !body.rules.is_sorted_by(|a, b| (&a.namespace, &a.name) < (&b.namespace, &b.name)) {
        return Err(BadPlan::Canonical("rules"));
    }
    body.rules.iter().try_for_each(|rule| check_rule(rule, &body.hardware))
}

fn check_rule(rule: &Lowrule, hardware: &[String]) -> Result<(), BadPlan> {
    let listed = |places: &[u16], end: usize| {
        places.is_sorted_by(|a, b| a < b) && places.last().is_none_or(|&last| usize::from(last) < end)
    };
    if !listed(&rule.out, hardware.len() + 1) {
        return Err(BadPlan::Canonical("classes that are out"));
    }
    if !tidy(&rule.on.groups) {
        return Err(BadPlan::Canonical("groups"));
    }
    if rule.form.is_wish() && rule.on_doubt != UncertaintyPolicy::Keep {
        return Err(BadPlan::Canonical("a wish in doubt"));
    }
    let named = rule.form.nodes().map(|nodes| &nodes.hardware);
    if named.is_some_and(|named| named.iter().any(|name| hardware.binary_search(name).is_err())) {
        return Err(BadPlan::Canonical("classes that aren't listed"));
    }
    match &rule.form {
        Form::Spread { counted: Some(counted), .. } if counted.nodes.hardware.is_empty() => {
            Err(BadPlan::Canonical("a spread counted nowhere"))
        }
        Form::Move { drains_only, .. } if !listed(drains_only, hardware.len()) => {
            Err(BadPlan::Canonical("classes that drain only"))
        }
        _ => Ok(()),
    }
}

/// Whether ranges are sorted, disjoint and not next to each other.
fn tidy(ranges: &[GroupRange]) -> bool {
    ranges.iter().all(|range| range.first <= range.last)
        && ranges.windows(2).all(|two| two[0].last.checked_add(1).is_some_and(|next| next < two[1].first))
}

/// The ranges that mean the same groups, sorted, disjoint and not next to each other.
pub(crate) fn tidied(ranges: &[GroupRange]) -> Vec<GroupRange> {
    let mut sorted: Vec<_> = ranges.iter().copied().filter(|range| range.first <= range.last).collect();
    sorted.sort();
    let mut tidied: Vec<GroupRange> = Vec::with_capacity(sorted.len());
    for range in sorted {
        match tidied.last_mut() {
            Some(last) if range.first <= last.last.saturating_add(1) => last.last = last.last.max(range.last),
            _ => tidied.push(range),
        }
    }
    tidied
}

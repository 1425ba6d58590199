//! Checks on rules and delegations that the serde schema does not express.

use std::collections::BTreeSet;

use crate::book::{PlacementMode, RuleKind, Strength};
use crate::file::{DeclaredRule, Delegate, MAX_DEPTH, MAX_NAME_BYTES, RuleFileError};
use crate::file_schema::{RawDelegate, RawPlace, RawRule};
use crate::groups;
use crate::source_text::SourceText;

pub(crate) fn check_delegate(
    source: &SourceText,
    namespace: &str,
    line: u32,
    raw: RawDelegate,
) -> Result<Delegate, RuleFileError> {
    // A name without a slash is a child's, except the root's name: a delegation to the root must be reported as a cycle.
    let root = namespace.split('/').next().unwrap_or(namespace);
    let path = |to: String| if to.contains('/') || to == root { to } else { format!("{namespace}/{to}") };
    let to = path(raw.to);
    let handed_to = raw.handed_to.map(path);
    for (key, path) in [("to", Some(&to)), ("handed_to", handed_to.as_ref())] {
        if let Some(why) = path.and_then(|path| path_problem(path)) {
            return Err(source.error(line, key, why));
        }
    }
    let sets = [
        ("tenants", &raw.tenants),
        ("classes", &raw.classes),
        ("halls", &raw.halls),
        ("hardware", &raw.hardware),
    ];
    check_names(source, line, &sets)?;
    let groups =
        groups::normalize(&raw.groups).map_err(|error| source.error(line, "groups", error.to_string()))?;
    if raw.connections == Some(0) {
        return Err(source.error(line, "connections", "is 0; leave it out to promise no part"));
    }
    Ok(Delegate {
        to,
        line,
        tenants: raw.tenants,
        classes: raw.classes,
        groups,
        halls: raw.halls,
        hardware: raw.hardware,
        connections: raw.connections,
        frozen: raw.frozen,
        handed_to,
    })
}

pub(crate) fn check_rule(
    source: &SourceText,
    line: u32,
    mut raw: RawRule,
) -> Result<DeclaredRule, RuleFileError> {
    if let Some(why) = segment_problem(&raw.name) {
        return Err(source.error(line, "name", why));
    }
    check_names(source, line, &[("tenants", &raw.tenants), ("classes", &raw.classes)])?;
    let groups =
        groups::normalize(&raw.groups).map_err(|error| source.error(line, "groups", error.to_string()))?;
    let Some(kind) = take_single_kind(&mut raw) else {
        let why = "has to have one of place, cap, spread, pace, attempts, move";
        return Err(source.error(line, "rule", why));
    };
    check_kind(source, line, &kind)?;
    let stated = stated_strength(source, line, raw.must, raw.strength)?;
    let strength = strength(source, line, &kind, stated)?;
    Ok(DeclaredRule {
        name: raw.name,
        line,
        strength,
        priority: raw.priority,
        tenants: raw.tenants,
        classes: raw.classes,
        groups,
        kind,
    })
}

/// Takes the rule kind out of `raw`. `None` unless exactly one kind is given.
fn take_single_kind(raw: &mut RawRule) -> Option<RuleKind> {
    let kinds = [
        raw.place.take().map(place),
        raw.cap.take().map(|cap| RuleKind::Cap {
            connections: cap.connections,
            halls: cap.halls,
            hardware: cap.hardware,
        }),
        raw.spread.take().map(|spread| RuleKind::Spread { nodes: spread.nodes }),
        raw.pace.take().map(|pace| RuleKind::Pace { per_s_milli: to_thousandths(pace.per_s) }),
        raw.attempts.take().map(|attempts| RuleKind::Attempts { most: attempts.most }),
        raw.r#move.take().map(|when| RuleKind::Move { when }),
    ];
    let mut kinds = kinds.into_iter().flatten();
    let kind = kinds.next()?;
    kinds.next().is_none().then_some(kind)
}

/// Checks the limits and names in a rule kind.
fn check_kind(source: &SourceText, line: u32, kind: &RuleKind) -> Result<(), RuleFileError> {
    let error = |key: &str, why: &str| Err(source.error(line, key, why));
    match kind {
        RuleKind::Place { halls, hardware, .. } if halls.is_empty() && hardware.is_empty() => {
            error("place", "names no halls and no hardware")
        }
        RuleKind::Cap { connections: 0, .. } => error("cap", "is 0; use place = { avoid = .. }"),
        RuleKind::Place { halls, hardware, .. } | RuleKind::Cap { halls, hardware, .. } => {
            check_names(source, line, &[("halls", halls), ("hardware", hardware)])
        }
        RuleKind::Spread { nodes: 0 } => error("spread", "on 0 nodes leaves no node"),
        RuleKind::Pace { per_s_milli: 0 } => error("pace", "is under a thousandth a second"),
        RuleKind::Attempts { most: 0 } => error("attempts", "is 0; 1 is the least"),
        _ => Ok(()),
    }
}

/// The strength given by the key `must` or `strength`; at most one of them may be present.
fn stated_strength(
    source: &SourceText,
    line: u32,
    must: Option<bool>,
    strength: Option<Strength>,
) -> Result<Option<Strength>, RuleFileError> {
    match (must, strength) {
        (Some(_), Some(_)) => {
            Err(source.error(line, "strength", "says the same as must; one of them is enough"))
        }
        (Some(true), None) => Ok(Some(Strength::Requirement)),
        (Some(false), None) => Ok(Some(Strength::Preference)),
        (None, strength) => Ok(strength),
    }
}

/// The strength of a rule of this kind. Most kinds allow only one strength.
fn strength(
    source: &SourceText,
    line: u32,
    kind: &RuleKind,
    stated: Option<Strength>,
) -> Result<Strength, RuleFileError> {
    let error = |key: &str, why: &str| Err(source.error(line, key, why));
    match (kind, stated) {
        (RuleKind::Place { how: PlacementMode::Prefer, .. }, Some(Strength::Requirement)) => {
            error("place", "prefer is a wish; a must requires")
        }
        (RuleKind::Place { how: PlacementMode::Prefer, .. }, _) => Ok(Strength::Preference),
        (RuleKind::Place { how: PlacementMode::Require, .. }, Some(Strength::Preference)) => {
            error("place", "require is a must; a wish prefers")
        }
        (RuleKind::Place { .. } | RuleKind::Move { .. }, stated) => {
            Ok(stated.unwrap_or(Strength::Requirement))
        }
        (_, Some(Strength::Preference)) => error("must", "only a place or a move can be a wish"),
        (_, _) => Ok(Strength::Requirement),
    }
}

fn place(raw: RawPlace) -> RuleKind {
    let (how, nodes) = match raw {
        RawPlace::Require(nodes) => (PlacementMode::Require, nodes),
        RawPlace::Avoid(nodes) => (PlacementMode::Avoid, nodes),
        RawPlace::Prefer(nodes) => (PlacementMode::Prefer, nodes),
    };
    RuleKind::Place { how, halls: nodes.halls, hardware: nodes.hardware }
}

/// A rate in thousandths. An invalid rate becomes 0, which `check_kind` rejects.
fn to_thousandths(per_s: f64) -> u64 {
    if per_s.is_finite() && per_s > 0.0 && per_s < 1e12 { (per_s * 1_000.0).round() as u64 } else { 0 }
}

fn check_names(
    source: &SourceText,
    line: u32,
    sets: &[(&str, &BTreeSet<String>)],
) -> Result<(), RuleFileError> {
    for (key, set) in sets {
        if set.iter().any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
            return Err(source.error(line, key, "has a name that is empty or too long"));
        }
    }
    Ok(())
}

/// Why a namespace path is invalid; `None` if it is valid.
pub(crate) fn path_problem(path: &str) -> Option<&'static str> {
    if path.split('/').count() > MAX_DEPTH + 1 {
        return Some("is too deep");
    }
    path.split('/').find_map(segment_problem)
}

/// Why a path segment or rule name is invalid. Dots are reserved for the names of the rules that delegations imply.
fn segment_problem(name: &str) -> Option<&'static str> {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_';
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Some("has a name that is empty or too long");
    }
    (!name.bytes().all(is_allowed)).then_some("has a name of other than a-z, 0-9, - and _")
}

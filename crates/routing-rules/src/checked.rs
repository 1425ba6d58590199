//! Rules and delegations checked for what serde can't say.

use std::collections::BTreeSet;

use crate::book::{PlacementMode, RuleKind, Strength};
use crate::file::{DeclaredRule, Delegate, MAX_DEPTH, MAX_NAME_BYTES, Reader, RuleFileError};
use crate::file_schema::{RawDelegate, RawPlace, RawRule};
use crate::groups;

pub(crate) fn delegate(
    reader: &Reader,
    of: &str,
    line: u32,
    raw: RawDelegate,
) -> Result<Delegate, RuleFileError> {
    // A name alone is a child's, but for the root's: one that delegates to the root should hear of it.
    let root = of.split('/').next().unwrap_or(of);
    let path = |to: String| if to.contains('/') || to == root { to } else { format!("{of}/{to}") };
    let to = path(raw.to);
    let handed_to = raw.handed_to.map(path);
    for (key, path) in [("to", Some(&to)), ("handed_to", handed_to.as_ref())] {
        if let Some(why) = path.and_then(|path| bad_path(path)) {
            return Err(reader.bad(line, key, why));
        }
    }
    let sets = [
        ("tenants", &raw.tenants),
        ("classes", &raw.classes),
        ("halls", &raw.halls),
        ("hardware", &raw.hardware),
    ];
    names(reader, line, &sets)?;
    let groups = groups::normal(&raw.groups).map_err(|why| reader.bad(line, "groups", why))?;
    if raw.connections == Some(0) {
        return Err(reader.bad(line, "connections", "is 0; leave it out to promise no part"));
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

pub(crate) fn rule(reader: &Reader, line: u32, raw: RawRule) -> Result<DeclaredRule, RuleFileError> {
    let bad = |key: &str, why: &str| reader.bad(line, key, why);
    if let Some(why) = bad_segment(&raw.name) {
        return Err(bad("name", why));
    }
    names(reader, line, &[("tenants", &raw.tenants), ("classes", &raw.classes)])?;
    let groups = groups::normal(&raw.groups).map_err(|why| reader.bad(line, "groups", why))?;
    let kinds = [
        raw.place.map(place),
        raw.cap.map(|cap| RuleKind::Cap {
            connections: cap.connections,
            halls: cap.halls,
            hardware: cap.hardware,
        }),
        raw.spread.map(|spread| RuleKind::Spread { nodes: spread.nodes }),
        raw.pace.map(|pace| RuleKind::Pace { per_s_milli: milli(pace.per_s) }),
        raw.attempts.map(|attempts| RuleKind::Attempts { most: attempts.most }),
        raw.r#move.map(|when| RuleKind::Move { when }),
    ];
    let mut kinds = kinds.into_iter().flatten();
    let (Some(kind), None) = (kinds.next(), kinds.next()) else {
        return Err(bad("rule", "has to have one of place, cap, spread, pace, attempts, move"));
    };
    match &kind {
        RuleKind::Place { halls, hardware, .. } => {
            if halls.is_empty() && hardware.is_empty() {
                return Err(bad("place", "names no halls and no hardware"));
            }
            names(reader, line, &[("halls", halls), ("hardware", hardware)])?;
        }
        RuleKind::Cap { connections: 0, .. } => return Err(bad("cap", "is 0; use place = { avoid = .. }")),
        RuleKind::Cap { halls, hardware, .. } => {
            names(reader, line, &[("halls", halls), ("hardware", hardware)])?;
        }
        RuleKind::Spread { nodes: 0 } => return Err(bad("spread", "on 0 nodes leaves no node")),
        RuleKind::Pace { per_s_milli: 0 } => return Err(bad("pace", "is under a thousandth a second")),
        RuleKind::Attempts { most: 0 } => return Err(bad("attempts", "is 0; 1 is the least")),
        _ => {}
    }
    let stated = match (raw.must, raw.strength) {
        (Some(_), Some(_)) => return Err(bad("strength", "says the same as must; one of them is enough")),
        (Some(true), None) => Some(Strength::Requirement),
        (Some(false), None) => Some(Strength::Preference),
        (None, strength) => strength,
    };
    let strength = match (&kind, stated) {
        (RuleKind::Place { how: PlacementMode::Prefer, .. }, Some(Strength::Requirement)) => {
            return Err(bad("place", "prefer is a wish; a must requires"));
        }
        (RuleKind::Place { how: PlacementMode::Prefer, .. }, _) => Strength::Preference,
        (RuleKind::Place { how: PlacementMode::Require, .. }, Some(Strength::Preference)) => {
            return Err(bad("place", "require is a must; a wish prefers"));
        }
        (RuleKind::Place { .. } | RuleKind::Move { .. }, stated) => stated.unwrap_or(Strength::Requirement),
        (_, Some(Strength::Preference)) => return Err(bad("must", "only a place or a move can be a wish")),
        (_, _) => Strength::Requirement,
    };
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

fn place(raw: RawPlace) -> RuleKind {
    let (how, nodes) = match raw {
        RawPlace::Require(nodes) => (PlacementMode::Require, nodes),
        RawPlace::Avoid(nodes) => (PlacementMode::Avoid, nodes),
        RawPlace::Prefer(nodes) => (PlacementMode::Prefer, nodes),
    };
    RuleKind::Place { how, halls: nodes.halls, hardware: nodes.hardware }
}

/// A rate in thousandths; what is no rate at all becomes 0, which is refused.
fn milli(per_s: f64) -> u64 {
    if per_s.is_finite() && per_s > 0.0 && per_s < 1e12 { (per_s * 1_000.0).round() as u64 } else { 0 }
}

fn names(reader: &Reader, line: u32, sets: &[(&str, &BTreeSet<String>)]) -> Result<(), RuleFileError> {
    for (key, set) in sets {
        if set.iter().any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
            return Err(reader.bad(line, key, "has a name that is empty or too long"));
        }
    }
    Ok(())
}

pub(crate) fn bad_path(path: &str) -> Option<&'static str> {
    if path.split('/').count() > MAX_DEPTH + 1 {
        return Some("is too deep");
    }
    path.split('/').find_map(bad_segment)
}

/// Dots are kept for the names of rules that delegations stand for.
fn bad_segment(name: &str) -> Option<&'static str> {
    let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_';
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Some("has a name that is empty or too long");
    }
    (!name.bytes().all(plain)).then_some("has a name of other than a-z, 0-9, - and _")
}

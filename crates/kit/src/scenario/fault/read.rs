//! Parses the faults of a scenario: first the kind of a fault, then the parameters of that kind. A serde enum would
//! do the same, but it loses the positions in the file, so that errors would have no line number.

use super::{
    DiscoveryFault, DropClients, Fault, FaultKind, Flap, Grow, MisbehaviorWave, NetworkFault, Outage,
    OutageKind, ProxyFault, RollingRestart, Shrink, Slow, Surge,
};
use crate::scenario::ScenarioError;
use crate::scenario::error::{Problem, Source, invalid, suggest_name};
use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, DeValue, Deserializer};

const KINDS: [&str; 15] = [
    "kill",
    "vanish",
    "hang",
    "rubbish",
    "slow",
    "shrink",
    "rolling-restart",
    "flap",
    "grow",
    "drop",
    "surge",
    "discovery",
    "proxy",
    "network",
    "rude",
];

/// Parses all faults of a file.
pub(in crate::scenario) fn parse_all(source: &Source<'_>) -> Result<Vec<Fault>, ScenarioError> {
    let table = DeTable::parse(source.text).map_err(|error| source.parse_error(&error))?.into_inner();
    let Some((_, value)) = table.into_iter().find(|(name, _)| name.get_ref() == "fault") else {
        return Ok(Vec::new());
    };
    let DeValue::Array(items) = value.into_inner() else {
        return Err(source.error_at(Problem {
            key: "fault".into(),
            message: "must be written as [[fault]], once for each fault".into(),
        }));
    };
    items.into_iter().enumerate().map(|(i, item)| read_fault(source, i, item)).collect()
}

fn read_fault(source: &Source<'_>, i: usize, item: Spanned<DeValue<'_>>) -> Result<Fault, ScenarioError> {
    let span = item.span();
    let DeValue::Table(mut table) = item.into_inner() else {
        return Err(source.error_at(Problem { key: format!("fault[{i}]"), message: "is not a table".into() }));
    };
    let name = parse_kind_name(i, table.remove("kind")).map_err(|problem| source.error_at(problem))?;
    let at_s = parse_start(i, table.remove("at_s")).map_err(|problem| source.error_at(problem))?;
    let kind = parse_kind(&name, Spanned::new(span, table)).map_err(|error| source.parse_error(&error))?;
    Ok(Fault { at_s, kind })
}

fn parse_kind_name(i: usize, value: Option<Spanned<DeValue<'_>>>) -> Result<String, Problem> {
    let Some(value) = value else {
        return invalid(format!("fault[{i}]"), format!("has no `kind`; the kinds are {}", KINDS.join(", ")));
    };
    let key = format!("fault[{i}].kind");
    let Some(name) = value.get_ref().as_str() else { return invalid(key, "is not a string") };
    if KINDS.contains(&name) {
        return Ok(name.to_owned());
    }
    let suggestion = suggest_name(name, KINDS);
    let hint =
        if suggestion.is_empty() { format!("; the kinds are {}", KINDS.join(", ")) } else { suggestion };
    invalid(key, format!("there is no fault '{name}'{hint}"))
}

fn parse_start(i: usize, value: Option<Spanned<DeValue<'_>>>) -> Result<f64, Problem> {
    let Some(value) = value else {
        return invalid(format!("fault[{i}]"), "has no `at_s`: its start in seconds of the measured part");
    };
    let number = match value.get_ref() {
        DeValue::Integer(number) => number.to_string().parse().ok(),
        DeValue::Float(number) => number.to_string().parse::<f64>().ok(),
        _ => None,
    };
    match number.filter(|at: &f64| at.is_finite() && *at >= 0.0) {
        Some(at) => Ok(at),
        None => invalid(format!("fault[{i}].at_s"), "is not a number of seconds of at least 0"),
    }
}

fn parse_kind(name: &str, table: Spanned<DeTable<'_>>) -> Result<FaultKind, toml::de::Error> {
    let parameters = Deserializer::from(table);
    Ok(match name {
        "kill" => FaultKind::Outage(OutageKind::Kill, Outage::deserialize(parameters)?),
        "vanish" => FaultKind::Outage(OutageKind::Vanish, Outage::deserialize(parameters)?),
        "hang" => FaultKind::Outage(OutageKind::Hang, Outage::deserialize(parameters)?),
        "rubbish" => FaultKind::Outage(OutageKind::Rubbish, Outage::deserialize(parameters)?),
        "slow" => FaultKind::Slow(Slow::deserialize(parameters)?),
        "shrink" => FaultKind::Shrink(Shrink::deserialize(parameters)?),
        "rolling-restart" => FaultKind::RollingRestart(RollingRestart::deserialize(parameters)?),
        "flap" => FaultKind::Flap(Flap::deserialize(parameters)?),
        "grow" => FaultKind::Grow(Grow::deserialize(parameters)?),
        "drop" => FaultKind::Drop(DropClients::deserialize(parameters)?),
        "surge" => FaultKind::Surge(Surge::deserialize(parameters)?),
        "discovery" => FaultKind::Discovery(DiscoveryFault::deserialize(parameters)?),
        "proxy" => FaultKind::Proxy(ProxyFault::deserialize(parameters)?),
        "network" => FaultKind::Network(NetworkFault::deserialize(parameters)?),
        // `parse_kind_name` has rejected every name that is not in `KINDS`, so this is "rude".
        _ => FaultKind::MisbehaviorWave(MisbehaviorWave::deserialize(parameters)?),
    })
}

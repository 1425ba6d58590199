//! Parses the faults of a scenario: first the kind of a fault, then the parameters of that kind. A serde enum would
//! do the same, but it loses the positions in the file, so that errors would have no line number.

use super::{
    DiscoveryFault, Down, DownKind, DropClients, Fault, Flap, Grow, Kind, NetworkFault, ProxyFault, Rolling,
    RudeWave, Shrink, Slow, Surge,
};
use crate::scenario::BadScenario;
use crate::scenario::error::{Source, Trouble, near_miss, wrong};
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
pub(in crate::scenario) fn read_all(source: &Source<'_>) -> Result<Vec<Fault>, BadScenario> {
    let table = DeTable::parse(source.text).map_err(|error| source.unread(&error))?.into_inner();
    let Some((_, value)) = table.into_iter().find(|(name, _)| name.get_ref() == "fault") else {
        return Ok(Vec::new());
    };
    let DeValue::Array(items) = value.into_inner() else {
        return Err(source.found(Trouble {
            key: "fault".into(),
            what: "must be written as [[fault]], once for each fault".into(),
        }));
    };
    items.into_iter().enumerate().map(|(i, item)| read(source, i, item)).collect()
}

fn read(source: &Source<'_>, i: usize, item: Spanned<DeValue<'_>>) -> Result<Fault, BadScenario> {
    let span = item.span();
    let DeValue::Table(mut table) = item.into_inner() else {
        return Err(source.found(Trouble { key: format!("fault[{i}]"), what: "is not a table".into() }));
    };
    let name = kind_of(i, table.remove("kind")).map_err(|trouble| source.found(trouble))?;
    let at_s = time_of(i, table.remove("at_s")).map_err(|trouble| source.found(trouble))?;
    let kind = kind(&name, Spanned::new(span, table)).map_err(|error| source.unread(&error))?;
    Ok(Fault { at_s, kind })
}

fn kind_of(i: usize, value: Option<Spanned<DeValue<'_>>>) -> Result<String, Trouble> {
    let Some(value) = value else {
        return wrong(format!("fault[{i}]"), format!("has no `kind`; the kinds are {}", KINDS.join(", ")));
    };
    let key = format!("fault[{i}].kind");
    let Some(name) = value.get_ref().as_str() else { return wrong(key, "is not a string") };
    if KINDS.contains(&name) {
        return Ok(name.to_owned());
    }
    let near = near_miss(name, KINDS);
    let all = if near.is_empty() { format!("; the kinds are {}", KINDS.join(", ")) } else { near };
    wrong(key, format!("there is no fault '{name}'{all}"))
}

fn time_of(i: usize, value: Option<Spanned<DeValue<'_>>>) -> Result<f64, Trouble> {
    let Some(value) = value else {
        return wrong(format!("fault[{i}]"), "has no `at_s`: its start in seconds of the measured part");
    };
    let number = match value.get_ref() {
        DeValue::Integer(number) => number.to_string().parse().ok(),
        DeValue::Float(number) => number.to_string().parse::<f64>().ok(),
        _ => None,
    };
    match number.filter(|at: &f64| at.is_finite() && *at >= 0.0) {
        Some(at) => Ok(at),
        None => wrong(format!("fault[{i}].at_s"), "is not a number of seconds of at least 0"),
    }
}

fn kind(name: &str, table: Spanned<DeTable<'_>>) -> Result<Kind, toml::de::Error> {
    let rest = Deserializer::from(table);
    Ok(match name {
        "kill" => Kind::Down(DownKind::Kill, Down::deserialize(rest)?),
        "vanish" => Kind::Down(DownKind::Vanish, Down::deserialize(rest)?),
        "hang" => Kind::Down(DownKind::Hang, Down::deserialize(rest)?),
        "rubbish" => Kind::Down(DownKind::Rubbish, Down::deserialize(rest)?),
        "slow" => Kind::Slow(Slow::deserialize(rest)?),
        "shrink" => Kind::Shrink(Shrink::deserialize(rest)?),
        "rolling-restart" => Kind::Rolling(Rolling::deserialize(rest)?),
        "flap" => Kind::Flap(Flap::deserialize(rest)?),
        "grow" => Kind::Grow(Grow::deserialize(rest)?),
        "drop" => Kind::Drop(DropClients::deserialize(rest)?),
        "surge" => Kind::Surge(Surge::deserialize(rest)?),
        "discovery" => Kind::Discovery(DiscoveryFault::deserialize(rest)?),
        "proxy" => Kind::Proxy(ProxyFault::deserialize(rest)?),
        "network" => Kind::Network(NetworkFault::deserialize(rest)?),
        // `kind_of` has rejected every name that is not in `KINDS`, so this is "rude".
        _ => Kind::Rude(RudeWave::deserialize(rest)?),
    })
}

//! The operator's file: what is new here and no business of the platform's. One section a subsystem, whose type
//! lives with what it configures. A new section is a field of [`OperatorConfig`], and a line each in `check` and `succeed`.

use super::effective::{Effective, Source};
use super::fault::ConfigError;
use super::operator_file::OperatorFile;
use crate::OPERATOR_VARIABLE;
use crate::logging::LogConfig;
use crate::rules::{ConsensusSection, HardwareSection, RulesSection};
use cottonnotch_aggregation::FleetSection;
use cottonnotch_gossip::{GossipSection, Strength};
use cottonnotch_records::RecordsSection;
use serde::{Deserialize, Serialize};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Every section. What the file leaves out has its default, and is then off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// `[log]`
    pub log: LogConfig,
    /// `[records]`
    pub records: RecordsSection,
    /// `[gossip]`
    pub gossip: GossipSection,
    /// `[fleet]`
    pub fleet: FleetSection,
    /// `[rules]`
    pub rules: RulesSection,
    /// `[[hardware]]`
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub hardware: Vec<HardwareSection>,
    /// `[accord]`
    #[serde(rename = "accord")]
    pub consensus: ConsensusSection,
}

impl OperatorConfig {
    /// Reads and checks a file whole, and notes each value; with no file, all are defaults.
    pub fn read(path: Option<&Path>, effective: &mut Effective) -> Result<OperatorConfig, ConfigError> {
        let mut operator = OperatorConfig::default();
        let shown = path.map_or(String::new(), |path| path.display().to_string());
        effective.note("operator", shown, source(path));
        if let Some(path) = path {
            let (file, read) = OperatorFile::read::<OperatorConfig>(path)?;
            read.check().map_err(|message| file.refuse(&message))?;
            operator = read;
            effective.operator = Some(file);
        }
        operator.log.rust_log = LogConfig::from_environment().rust_log;
        operator.note(effective);
        Ok(operator)
    }

    /// What serde can't see: bounds, and keys that don't go together. A message begins with the key's full path.
    fn check(&self) -> Result<(), String> {
        self.log.check()?;
        self.records.check().map_err(|bad| bad.to_string())?;
        self.gossip.check().map_err(|bad| bad.to_string())?;
        self.fleet.check().map_err(|bad| bad.to_string())?;
        self.consensus.check().map_err(|error| error.to_string())?;
        if self.fleet.members_from.is_some()
            && !matches!(self.gossip.strength, None | Some(Strength::Address))
        {
            return Err(
                "fleet.members_from goes with gossip.strength 'address' only, its datagrams have no proof"
                    .into(),
            );
        }
        Ok(())
    }

    /// Takes this in place of the `old` one, as far as that is possible while clients are served; says in the
    /// log what is not. Returns what counts from now on.
    pub fn replacing(self, old: &OperatorConfig) -> OperatorConfig {
        if self.records != old.records {
            log::warn!(
                key = "records";
                "records cannot change while clients are served, they go on as at the start"
            );
        }
        let gossip = match self.gossip.without_files() == old.gossip.without_files() {
            true => self.gossip,
            false => {
                log::warn!(
                    key = "gossip";
                    "of gossip only keys can change while clients are served, the rest goes on as at the start"
                );
                old.gossip.clone()
            }
        };
        if self.fleet != old.fleet {
            log::warn!(key = "fleet"; "the fleet view cannot change while clients are served, it goes on as at the start");
        }
        if self.consensus != old.consensus {
            log::warn!(key = "accord"; "the accord cannot change while clients are served, it goes on as at the start");
        }
        let (log, records, fleet) = (self.log.replacing(&old.log), old.records.clone(), old.fleet.clone());
        let (rules, hardware, consensus) = (self.rules, self.hardware, old.consensus.clone());
        OperatorConfig { log, records, gossip, fleet, rules, hardware, consensus }
    }

    /// The values as they are written, so that no section is to list its keys a second time.
    fn note(&self, effective: &mut Effective) {
        let mut values = BTreeMap::new();
        // No section holds what JSON can't say; were it so, it would only go unlisted.
        if let Ok(written) = simd_json::serde::to_owned_value(self) {
            leaves("", &written, &mut values);
        }
        for (key, value) in values {
            let source = match &effective.operator {
                Some(file) if file.line(&key).is_some() => Source::Operator,
                _ => Source::Default,
            };
            match &self.log.rust_log {
                Some(filter) if key == "log.filter" => {
                    effective.note(key, filter, Source::Environment("RUST_LOG"));
                }
                _ => effective.note(key, value, source),
            }
        }
    }
}

/// Who named the file.
fn source(path: Option<&Path>) -> Source {
    match (path, super::variable(OPERATOR_VARIABLE)) {
        (None, _) => Source::Default,
        (Some(path), Some(inherited)) if path == Path::new(&inherited) => {
            Source::Environment(OPERATOR_VARIABLE)
        }
        (Some(_), _) => Source::Argument("--operator"),
    }
}

fn leaves(path: &str, value: &OwnedValue, into: &mut BTreeMap<String, String>) {
    match value.as_object() {
        Some(object) => {
            for (name, value) in object.iter() {
                let path = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
                leaves(&path, value, into);
            }
        }
        None => {
            into.insert(path.to_owned(), super::plain(value));
        }
    }
}

#[cfg(test)]
#[path = "operator_tests.rs"]
mod tests;

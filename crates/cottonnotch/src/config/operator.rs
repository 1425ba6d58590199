//! The operator's file: everything that is not the platform's. One section a subsystem, whose type is defined in the crate that
//! it configures. A new section is a field of [`OperatorConfig`], and a line each in `check` and `replacing`.

use super::effective::{Effective, Source};
use super::environment::{OPERATOR_VARIABLE, variable};
use super::error::ConfigError;
use super::json_text::text_of;
use super::operator_file::OperatorFile;
use crate::logging::{LogConfig, LogConfigError};
use crate::rules::{ConsensusSection, HardwareSection, RulesSection, SectionError};
use cottonnotch_aggregation::{FleetSection, FleetSectionError};
use cottonnotch_gossip::{GossipSection, GossipSectionError, Strength};
use cottonnotch_records::{RecordsSection, RecordsSectionError};
use serde::{Deserialize, Serialize};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Why the sections can't be used. Each message begins with the key's full path.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// `[log]`
    #[error(transparent)]
    Log(#[from] LogConfigError),
    /// `[records]`
    #[error(transparent)]
    Records(#[from] RecordsSectionError),
    /// `[gossip]`
    #[error(transparent)]
    Gossip(#[from] GossipSectionError),
    /// `[fleet]`
    #[error(transparent)]
    Fleet(#[from] FleetSectionError),
    /// `[accord]`
    #[error(transparent)]
    Consensus(#[from] SectionError),
    /// Aggregation's datagrams are not authenticated, while gossip's are to be.
    #[error("fleet.members_from goes with gossip.strength 'address' only, its datagrams have no proof")]
    AggregationHasNoProof,
}

/// Every section. One that the file leaves out has its defaults, with which its subsystem is off.
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
        effective.note("operator", shown, path_source(path));
        if let Some(path) = path {
            let (file, read) = OperatorFile::read::<OperatorConfig>(path)?;
            read.check().map_err(|error| file.reject(&error))?;
            operator = read;
            effective.operator = Some(file);
        }
        operator.log.rust_log = LogConfig::from_environment().rust_log;
        operator.note(effective);
        Ok(operator)
    }

    /// Checks what serde can't see: bounds, and keys that don't go together.
    fn check(&self) -> Result<(), OperatorError> {
        self.log.check()?;
        self.records.check()?;
        self.gossip.check()?;
        self.fleet.check()?;
        self.consensus.check()?;
        let has_proof = !matches!(self.gossip.strength, None | Some(Strength::Address));
        if self.fleet.members_from.is_some() && has_proof {
            return Err(OperatorError::AggregationHasNoProof);
        }
        Ok(())
    }

    /// Replaces the `old` one, as far as that is possible while clients are served; the log says what is not. Returns the
    /// configuration in force from now on.
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
            log::warn!(key = "accord"; "consensus cannot change while clients are served, it goes on as at the start");
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
            collect_leaves("", &written, &mut values);
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

/// The source of the file's path.
fn path_source(path: Option<&Path>) -> Source {
    match (path, variable(OPERATOR_VARIABLE)) {
        (None, _) => Source::Default,
        (Some(path), Some(inherited)) if path == Path::new(&inherited) => {
            Source::Environment(OPERATOR_VARIABLE)
        }
        (Some(_), _) => Source::Argument("--operator"),
    }
}

fn collect_leaves(path: &str, value: &OwnedValue, leaves: &mut BTreeMap<String, String>) {
    match value.as_object() {
        Some(object) => {
            for (name, value) in object.iter() {
                let path = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
                collect_leaves(&path, value, leaves);
            }
        }
        None => {
            leaves.insert(path.to_owned(), text_of(value));
        }
    }
}

#[cfg(test)]
#[path = "operator_tests.rs"]
mod tests;

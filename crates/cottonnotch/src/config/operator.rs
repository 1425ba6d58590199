//! The operator's file, which holds all configuration that the platform does not set. Each subsystem has one
//! section, whose type is defined in the crate that it configures. To add a section, add a field to
//! [`OperatorConfig`] and a line to each of `check` and `replacing`.

use super::effective::{EffectiveConfig, Source};
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

/// Why the sections are rejected. Each message begins with the full path of the key.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The section `[log]` is invalid.
    #[error(transparent)]
    Log(#[from] LogConfigError),
    /// The section `[records]` is invalid.
    #[error(transparent)]
    Records(#[from] RecordsSectionError),
    /// The section `[gossip]` is invalid.
    #[error(transparent)]
    Gossip(#[from] GossipSectionError),
    /// The section `[fleet]` is invalid.
    #[error(transparent)]
    Fleet(#[from] FleetSectionError),
    /// The section `[accord]` is invalid.
    #[error(transparent)]
    Consensus(#[from] SectionError),
    /// Aggregation is on, whose datagrams are not authenticated, while gossip is configured to authenticate its
    /// datagrams.
    #[error(
        "fleet.members_from requires gossip.strength 'address', aggregation datagrams are not authenticated"
    )]
    AggregationUnauthenticated,
}

/// All sections of the operator's file. A section that the file omits has its default values, which turn its
/// subsystem off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// The section `[log]`.
    pub log: LogConfig,
    /// The section `[records]`.
    pub records: RecordsSection,
    /// The section `[gossip]`.
    pub gossip: GossipSection,
    /// The section `[fleet]`, which configures aggregation.
    pub fleet: FleetSection,
    /// The section `[rules]`.
    pub rules: RulesSection,
    /// The sections `[[hardware]]`, one for each hardware class.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub hardware: Vec<HardwareSection>,
    /// The section `[accord]`, which configures consensus.
    #[serde(rename = "accord")]
    pub consensus: ConsensusSection,
}

impl OperatorConfig {
    /// Reads and checks the whole file and records each value in `effective`; without a file, all values are
    /// defaults.
    pub fn read(path: Option<&Path>, effective: &mut EffectiveConfig) -> Result<OperatorConfig, ConfigError> {
        let mut operator = OperatorConfig::default();
        let shown = path.map_or(String::new(), |path| path.display().to_string());
        effective.record("operator", shown, path_source(path));
        if let Some(path) = path {
            let (file, read) = OperatorFile::read::<OperatorConfig>(path)?;
            read.check().map_err(|error| file.reject(&error))?;
            operator = read;
            effective.operator = Some(file);
        }
        operator.log.rust_log = LogConfig::from_environment().rust_log;
        operator.record_values(effective);
        Ok(operator)
    }

    /// Checks what serde does not: the ranges of values, and combinations of keys.
    fn check(&self) -> Result<(), OperatorError> {
        self.log.check()?;
        self.records.check()?;
        self.gossip.check()?;
        self.fleet.check()?;
        self.consensus.check()?;
        let authenticates_gossip = !matches!(self.gossip.strength, None | Some(Strength::Address));
        if self.fleet.members_from.is_some() && authenticates_gossip {
            return Err(OperatorError::AggregationUnauthenticated);
        }
        Ok(())
    }

    /// Replaces the `old` configuration, except for values that cannot change while clients are served; logs a
    /// warning for each section that has such a change. Returns the configuration that is now in force.
    pub fn replacing(self, old: &OperatorConfig) -> OperatorConfig {
        if self.records != old.records {
            log::warn!(
                key = "records";
                "records cannot change while clients are served, the settings from the start stay in force"
            );
        }
        let gossip = match self.gossip.without_files() == old.gossip.without_files() {
            true => self.gossip,
            false => {
                log::warn!(
                    key = "gossip";
                    "only the keys of gossip can change while clients are served, its other settings stay in force"
                );
                old.gossip.clone()
            }
        };
        if self.fleet != old.fleet {
            log::warn!(key = "fleet"; "fleet cannot change while clients are served, the settings from the start stay in force");
        }
        if self.consensus != old.consensus {
            log::warn!(key = "accord"; "accord cannot change while clients are served, the settings from the start stay in force");
        }
        let (log, records, fleet) = (self.log.replacing(&old.log), old.records.clone(), old.fleet.clone());
        let (rules, hardware, consensus) = (self.rules, self.hardware, old.consensus.clone());
        OperatorConfig { log, records, gossip, fleet, rules, hardware, consensus }
    }

    /// Records each value with its source. The keys and values come from serializing the configuration, so that no
    /// section has to list its keys a second time.
    fn record_values(&self, effective: &mut EffectiveConfig) {
        let mut values = BTreeMap::new();
        // All values of the sections can be serialized as JSON. If serialization failed, `check` would only print
        // fewer lines.
        if let Ok(serialized) = simd_json::serde::to_owned_value(self) {
            collect_leaves("", &serialized, &mut values);
        }
        for (key, value) in values {
            let source = match &effective.operator {
                Some(file) if file.line(&key).is_some() => Source::Operator,
                _ => Source::Default,
            };
            match &self.log.rust_log {
                Some(filter) if key == "log.filter" => {
                    effective.record(key, filter, Source::Environment("RUST_LOG"));
                }
                _ => effective.record(key, value, source),
            }
        }
    }
}

/// Returns the source of the path of the operator's file.
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

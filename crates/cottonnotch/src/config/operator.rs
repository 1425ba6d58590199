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
        self.consensus.check()?;
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
mod tests {
    use super::*;

    const SHIPPED: &str = include_str!("../../../../deploy/cottonnotch.toml");

    /// The shipped file with its settings, which are the comments without a space, set.
    fn uncommented() -> String {
        let set = |line: &str| match line.strip_prefix('#') {
            Some(set) if set.starts_with("[[") || set.starts_with(|c: char| c.is_ascii_alphabetic()) => {
                set.to_owned()
            }
            _ => line.to_owned(),
        };
        SHIPPED.lines().map(set).collect::<Vec<_>>().join("\n")
    }

    #[test]
    fn the_shipped_file_changes_nothing_and_its_comments_are_accepted() {
        assert_eq!(toml::from_str::<OperatorConfig>(SHIPPED).unwrap(), OperatorConfig::default());
        let all = uncommented();
        let set: toml::Table = all.parse().unwrap();
        let read: OperatorConfig = toml::from_str(&all).unwrap();
        // Of the two targets only one may be set.
        let RecordsSection { file, descriptor, queue_records, flush_ms, .. } = read.records.clone();
        let to_file = RecordsSection { descriptor: None, ..read.records.clone() };
        let usual = RecordsSection::default();
        let to_descriptor = RecordsSection { descriptor, queue_records, flush_ms, ..usual.clone() };
        assert!(file.is_some() && descriptor.is_some());
        for records in [to_file, to_descriptor] {
            // A fleet view has no proof, so it goes with no other strength than 'address'.
            let fleet = FleetSection::default();
            OperatorConfig { records, fleet, ..read.clone() }.check().unwrap();
        }
        let signed =
            OperatorConfig { gossip: read.gossip, fleet: read.fleet.clone(), ..OperatorConfig::default() };
        assert!(signed.check().unwrap_err().starts_with("fleet.members_from"));
        let fleet = FleetSection { members_from: Some(24), group_homes: Some(64), ..FleetSection::default() };
        assert_eq!(read.fleet, fleet);
        assert_eq!((queue_records, flush_ms), (usual.queue_records, usual.flush_ms));
        assert!(read.consensus.check().unwrap().is_some() && read.hardware.len() == 1);
        let plain = ConsensusSection::default();
        let (listen, cluster, key_file, me) =
            (plain.listen, plain.cluster.clone(), plain.key_file.clone(), plain.me);
        let (voters, members, state_folder) = (Vec::new(), Vec::new(), plain.state_folder.clone());
        let figures = ConsensusSection {
            listen,
            cluster,
            key_file,
            me,
            voters,
            members,
            state_folder,
            ..read.consensus
        };
        assert_eq!(figures, plain, "the shipped figures are the defaults");
        let mut keys = BTreeMap::new();
        leaves("", &simd_json::serde::to_owned_value(OperatorConfig::default()).unwrap(), &mut keys);
        for key in keys.keys() {
            let (section, name) = key.split_once('.').unwrap();
            let found = set.get(section).and_then(|section| section.get(name));
            assert!(found.is_some(), "{key} is not in the shipped file");
        }
    }
}

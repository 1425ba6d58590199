//! The validated settings of the rules, including the contents of the files that the sections name.

use super::config::{self, ConsensusSection, ConsensusSettings, HardwareSection, RulesSection, SectionError};
use super::rules_folder::{FolderError, first_invalid, read_folder};
use cottonnotch_decision::settings::Profile;
use cottonnotch_proxy_core::envelope::EnvelopeKey;
use cottonnotch_routing_rules::{Inventory, RuleFile, RuleFileError};
use cottonnotch_rule_compiler::Profiles;
use std::collections::BTreeSet;

/// The settings of the rules.
#[derive(Clone, Debug)]
pub struct RulesSettings {
    /// The rule files of the namespaces.
    pub files: Vec<RuleFile>,
    /// The profile of each hardware class.
    pub profiles: Profiles,
    /// The settings of consensus and the members' key. `None` if consensus is off and this process acts on its own files alone.
    pub consensus: Option<(ConsensusSettings, EnvelopeKey)>,
    root: String,
    connections: u64,
}

/// Why the configuration of the rules is invalid. Each message begins with the full path of the key.
#[derive(Debug, thiserror::Error)]
pub enum RulesError {
    /// A section is invalid.
    #[error(transparent)]
    Section(#[from] SectionError),
    /// The folder cannot be read.
    #[error(transparent)]
    Folder(#[from] FolderError),
    /// A file in the folder is invalid.
    #[error("rules.folder has a faulty file: {0}")]
    File(#[from] RuleFileError),
    /// The key file cannot be read.
    #[error("accord.key_file cannot be read: '{path}': {error}")]
    UnreadableKey {
        /// The path of the key file.
        path: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The key file with this path does not hold a valid key.
    #[error(
        "accord.key_file does not hold 64 hexadecimal digits and nothing else (`openssl rand -hex 32` makes a key): '{0}'"
    )]
    InvalidKey(String),
}

impl RulesSettings {
    /// Validates the sections and reads the files that they name. Returns `None` if the rules are off.
    pub fn read(
        rules: &RulesSection,
        hardware: &[HardwareSection],
        consensus: &ConsensusSection,
    ) -> Result<Option<Self>, RulesError> {
        let consensus = consensus.check()?;
        let profiles = config::profiles(hardware)?;
        let folder = &rules.folder;
        if consensus.is_none() && folder.is_none() {
            return Ok(None);
        }
        let files = folder.as_deref().map(read_folder).transpose()?.unwrap_or_default();
        let consensus = consensus.map(load_key).transpose()?;
        let (root, connections) = (rules.root.clone(), rules.connections);
        Ok(Some(RulesSettings { files, profiles, consensus, root, connections }))
    }

    /// Fails if any rule file is invalid.
    pub fn check_files(&self) -> Result<(), RulesError> {
        first_invalid(&self.files).map_or(Ok(()), |error| Err(error.into()))
    }

    /// The inventory of the names that rules can refer to. `nodes` has the kinds (hall and hardware class) of the render nodes.
    pub fn inventory(&self, profile: &Profile, nodes: BTreeSet<(String, String)>) -> Inventory {
        let Profile { settings, classes, tenants, .. } = profile;
        let tenant_allowance = settings.allowance_open();
        let connections = match self.connections {
            0 if tenant_allowance >= 1.0 => tenant_allowance as u64,
            0 => u64::MAX,
            connections => connections,
        };
        Inventory {
            root: self.root.clone(),
            tenants: (0..settings.tenants.len()).map(|i| tenants.name(i as u32).to_owned()).collect(),
            classes: (0..settings.classes.len()).map(|i| classes.name(i as u32).to_owned()).collect(),
            nodes,
            connections,
        }
    }
}

/// Adds the key that authenticates members, read from the key file.
fn load_key(settings: ConsensusSettings) -> Result<(ConsensusSettings, EnvelopeKey), RulesError> {
    let path = settings.key_file.display().to_string();
    let text = match std::fs::read(&settings.key_file) {
        Ok(text) => text,
        Err(error) => return Err(RulesError::UnreadableKey { path, error }),
    };
    let key = EnvelopeKey::new(&text, &settings.cluster, settings.ordinal);
    Ok((settings, key.ok_or(RulesError::InvalidKey(path))?))
}

//! What the sections come to, with the files that they name read.

use super::config::{self, ConsensusSettings};
use super::rules_folder::{BadFolder, faulty, read_folder};
use crate::config::OperatorConfig;
use cottonnotch_decision::settings::Profile;
use cottonnotch_proxy_core::envelope::EnvelopeKey;
use cottonnotch_routing_rules::{Inventory, RuleFile, RuleFileError};
use cottonnotch_rule_compiler::Profiles;
use std::collections::BTreeSet;

/// Everything that the rules need of the configuration.
#[derive(Clone, Debug)]
pub struct RulesSettings {
    /// The namespaces' files.
    pub files: Vec<RuleFile>,
    /// What each hardware class can run.
    pub profiles: Profiles,
    /// How the others are agreed with, if they are.
    pub accord: Option<(ConsensusSettings, EnvelopeKey)>,
    root: String,
    connections: u64,
}

/// Why the rules can't be as they are configured. Each message begins with the key's full path.
#[derive(Debug, thiserror::Error)]
pub enum RulesError {
    /// A section.
    #[error("{0}")]
    Section(String),
    /// The folder.
    #[error(transparent)]
    Folder(#[from] BadFolder),
    /// A file in it.
    #[error("rules.folder has a faulty file: {0}")]
    File(#[from] RuleFileError),
    /// The key.
    #[error("accord.key_file cannot be read: '{path}': {error}")]
    NoKey {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// What it holds.
    #[error(
        "accord.key_file does not hold 64 hexadecimal digits and nothing else (`openssl rand -hex 32` makes a key): '{0}'"
    )]
    BadKey(String),
}

impl RulesSettings {
    /// Reads what the sections name; `None`: they are off.
    pub fn read(operator: &OperatorConfig) -> Result<Option<Self>, RulesError> {
        let accord = operator.consensus.check().map_err(RulesError::Section)?;
        let profiles = config::profiles(&operator.hardware).map_err(RulesError::Section)?;
        let folder = &operator.rules.folder;
        if accord.is_none() && folder.is_none() {
            return Ok(None);
        }
        let files = folder.as_deref().map(read_folder).transpose()?.unwrap_or_default();
        let sealed = |settings: ConsensusSettings| {
            let path = settings.key_file.display().to_string();
            let text = std::fs::read(&settings.key_file)
                .map_err(|error| RulesError::NoKey { path: path.clone(), error })?;
            let seal =
                EnvelopeKey::new(&text, &settings.cluster, settings.me).ok_or(RulesError::BadKey(path))?;
            Ok::<_, RulesError>((settings, seal))
        };
        let accord = accord.map(sealed).transpose()?;
        let (root, connections) = (operator.rules.root.clone(), operator.rules.connections);
        Ok(Some(RulesSettings { files, profiles, accord, root, connections }))
    }

    /// Whether each file is a namespace's.
    pub fn check_files(&self) -> Result<(), RulesError> {
        faulty(&self.files).map_or(Ok(()), |bad| Err(bad.into()))
    }

    /// The world that is ruled, with render nodes of these kinds.
    pub fn world(&self, profile: &Profile, nodes: BTreeSet<(String, String)>) -> Inventory {
        let Profile { settings, classes, tenants, .. } = profile;
        let stated = settings.allowance_open();
        let connections = match self.connections {
            0 if stated >= 1.0 => stated as u64,
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

//! Errors for which a configuration is rejected. Each message begins with the invalid key and ends with the file
//! and line.

use super::operator_file::OperatorFileError;
use crate::rules::RulesError;
use cottonnotch_decision::settings::InvalidSetting;
use cottonnotch_gossip::{GossipSectionError, KeysError};
use cottonnotch_proxy_core::EndpointUpdateError;

/// Why a configuration is rejected. At the start the proxy then exits; on a reload it keeps the configuration in
/// force.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file cannot be read.
    #[error("GW_CONFIG: '{path}' cannot be read: {error}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The I/O error.
        #[source]
        error: std::io::Error,
    },
    /// The platform's file is not valid JSON.
    #[error("GW_CONFIG: '{path}'{} is not JSON: {error}", at_line(.line))]
    NotJson {
        /// The path of the file.
        path: String,
        /// The line of the error, if the parser reports a position.
        line: Option<usize>,
        /// The parser's error.
        #[source]
        error: simd_json::Error,
    },
    /// A value from the platform is invalid.
    #[error("{error} ({location})")]
    Platform {
        /// What is wrong with the value.
        #[source]
        error: ValueError,
        /// The file and line, or the environment variable, that holds the value.
        location: String,
    },
    /// The gossip section, or a file to which it refers, is invalid.
    #[error(transparent)]
    Gossip(#[from] GossipConfigError),
    /// One of the sections of the routing rules, or a file to which it refers, is invalid.
    #[error(transparent)]
    Rules(#[from] RulesError),
    /// The operator's file is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
}

impl ConfigError {
    /// Returns the full path of the invalid key; if the whole file is invalid, the setting that names the file.
    pub fn key(&self) -> String {
        match self {
            ConfigError::Unreadable { .. } | ConfigError::NotJson { .. } => "GW_CONFIG".to_owned(),
            ConfigError::Platform { error, .. } => error.key(),
            ConfigError::Gossip(error) => first_word(&error.to_string()).to_owned(),
            ConfigError::Rules(error) => first_word(&error.to_string()).to_owned(),
            ConfigError::Operator(error) => error.key().to_owned(),
        }
    }
}

/// Returns the key with which a message begins.
fn first_word(message: &str) -> &str {
    message.split([':', ' ']).next().unwrap_or_default()
}

fn at_line(line: &Option<usize>) -> String {
    line.map_or(String::new(), |line| format!(", line {line},"))
}

/// What is wrong with a value from the platform.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// A required key is missing.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// The configuration in force has this key, but the new one does not.
    #[error("{key} is missing, but the configuration in force has it")]
    MissingAfterReload {
        /// The key.
        key: String,
    },
    /// The value has the wrong type or is out of range.
    #[error("{key} {problem}: '{value}'")]
    Invalid {
        /// The key.
        key: &'static str,
        /// What is wrong with the value, as a predicate of the key.
        problem: &'static str,
        /// The value.
        value: String,
    },
    /// The endpoint list in `known` is invalid.
    #[error("known: {0}")]
    Known(#[from] EndpointUpdateError),
    /// A setting is invalid.
    #[error("settings.{key} {problem}")]
    Setting {
        /// The path of the key, relative to `settings`.
        key: String,
        /// What is wrong with the value, as a predicate of the key.
        problem: String,
    },
}

impl ValueError {
    /// Returns the full path of the invalid key.
    pub fn key(&self) -> String {
        match self {
            ValueError::Missing { key } | ValueError::Invalid { key, .. } => (*key).to_owned(),
            ValueError::Known(error) => known_key(error),
            ValueError::MissingAfterReload { key } => key.clone(),
            ValueError::Setting { key, .. } => format!("settings.{key}"),
        }
    }
}

fn known_key(error: &EndpointUpdateError) -> String {
    match error {
        EndpointUpdateError::NotJson(_) => "known".to_owned(),
        EndpointUpdateError::Contradicts(position) => format!("known.members.{position}.id"),
        EndpointUpdateError::Field(field) => format!("known.{field}"),
        EndpointUpdateError::Endpoint(position, field) => format!("known.members.{position}.{field}"),
    }
}

impl From<InvalidSetting> for ValueError {
    fn from(InvalidSetting { key, problem }: InvalidSetting) -> Self {
        ValueError::Setting { key, problem }
    }
}

/// Why the configuration of the gossip protocol is rejected. Each message begins with the key.
#[derive(Debug, thiserror::Error)]
pub enum GossipConfigError {
    /// A value in the section `[gossip]` is invalid.
    #[error(transparent)]
    Section(#[from] GossipSectionError),
    /// A key file cannot be read.
    #[error("gossip.key_files: '{path}': {error}")]
    KeyFile {
        /// The path of the file.
        path: String,
        /// The I/O error.
        #[source]
        error: std::io::Error,
    },
    /// This proxy's ordinal is not below the number of members.
    #[error("gossip: settings.ordinal is {ordinal}, but peers lists {members} proxies")]
    Ordinal {
        /// This proxy's ordinal.
        ordinal: u32,
        /// The number of members that the platform lists.
        members: u32,
    },
    /// The content of a key file is invalid.
    #[error(transparent)]
    Keys(#[from] KeysError),
}

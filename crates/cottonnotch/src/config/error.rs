//! Why a configuration is rejected. Each message begins with the faulty key and ends with the file and line.

use super::operator_file::OperatorFileError;
use crate::rules::RulesError;
use cottonnotch_decision::settings::InvalidSetting;
use cottonnotch_gossip::{GossipSectionError, KeysError};
use cottonnotch_proxy_core::EndpointUpdateError;

/// Why the proxy cannot start, or keeps the configuration that it has.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file can't be read.
    #[error("GW_CONFIG: '{path}' cannot be read: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's reason.
        #[source]
        error: std::io::Error,
    },
    /// The platform's file is not JSON.
    #[error("GW_CONFIG: '{path}'{} is not JSON: {error}", at_line(.line))]
    NotJson {
        /// The file.
        path: String,
        /// The line, where the parser knows it.
        line: Option<usize>,
        /// The parser's reason.
        #[source]
        error: simd_json::Error,
    },
    /// A value of the platform's can't be used.
    #[error("{error} ({place})")]
    Platform {
        /// What is wrong with it.
        #[source]
        error: ValueError,
        /// The file and line, or the variable.
        place: String,
    },
    /// The gossip section, or what it refers to.
    #[error(transparent)]
    Gossip(#[from] GossipConfigError),
    /// The rules sections, or what they refer to.
    #[error(transparent)]
    Rules(#[from] RulesError),
    /// The operator's file.
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
}

impl ConfigError {
    /// The faulty key, by its full path; what names the file if all of it is faulty.
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

/// The key that a message begins with.
fn first_word(message: &str) -> &str {
    message.split([':', ' ']).next().unwrap_or_default()
}

fn at_line(line: &Option<usize>) -> String {
    line.map_or(String::new(), |line| format!(", line {line},"))
}

/// What is wrong with a value of the platform's.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// A required key.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// A key that the configuration in force has, and the new one hasn't.
    #[error("{key} is missing, and the configuration that counts has it")]
    Dropped {
        /// The key.
        key: String,
    },
    /// A value of the wrong kind, or out of bounds.
    #[error("{key} {problem}: '{value}'")]
    Invalid {
        /// The key.
        key: &'static str,
        /// What is wrong with the value, as a predicate of the key.
        problem: &'static str,
        /// The value.
        value: String,
    },
    /// The endpoint list that the proxy last had.
    #[error("known: {0}")]
    Known(#[from] EndpointUpdateError),
    /// A setting.
    #[error("settings.{key} {problem}")]
    Setting {
        /// The key, below `settings`.
        key: String,
        /// What is wrong with it, as a predicate of the key.
        problem: String,
    },
}

impl ValueError {
    /// The faulty key, by its full path.
    pub fn key(&self) -> String {
        match self {
            ValueError::Missing { key } | ValueError::Invalid { key, .. } => (*key).to_owned(),
            ValueError::Known(error) => known_key(error),
            ValueError::Dropped { key } => key.clone(),
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

/// Why the gossip protocol can't be used as it is configured. Each message begins with the key.
#[derive(Debug, thiserror::Error)]
pub enum GossipConfigError {
    /// The section.
    #[error(transparent)]
    Section(#[from] GossipSectionError),
    /// A key file can't be read.
    #[error("gossip.key_files: '{path}': {error}")]
    KeyFile {
        /// The file.
        path: String,
        /// The system's reason.
        #[source]
        error: std::io::Error,
    },
    /// This proxy's ordinal is none of the members'.
    #[error("gossip: settings.ordinal is {ordinal}, and peers names {members} proxies")]
    Ordinal {
        /// This proxy's ordinal.
        ordinal: u32,
        /// How many members the platform names.
        members: u32,
    },
    /// What the key files hold.
    #[error(transparent)]
    Keys(#[from] KeysError),
}

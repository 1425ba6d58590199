//! Why a configuration is refused. Each message begins with the faulty key and ends with where it stands.

use super::operator_file::OperatorFileError;
use crate::rules::RulesError;
use cottonnotch_decision::settings::InvalidSetting;
use cottonnotch_proxy_core::EndpointUpdateError;

/// Why the proxy cannot start, or keeps what it has.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file can't be had.
    #[error("GW_CONFIG: '{path}' cannot be read: {error}")]
    Unreadable { path: String, error: std::io::Error },
    /// It is no JSON.
    #[error("GW_CONFIG: '{path}'{} is not JSON: {error}", at_line(.line))]
    NotJson { path: String, line: Option<usize>, error: simd_json::Error },
    /// A value of the platform's can't be used.
    #[error("{fault} ({place})")]
    Platform { fault: ValueError, place: String },
    /// Gossip can't be as it is configured.
    #[error("{trouble}")]
    Gossip { trouble: String },
    /// The rules can't be as they are configured.
    #[error("{0}")]
    Rules(#[from] RulesError),
    /// The operator's file is faulty.
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
}

impl ConfigError {
    /// The faulty key, by its full path; what names the file if all of it is faulty.
    pub fn key(&self) -> String {
        match self {
            ConfigError::Unreadable { .. } | ConfigError::NotJson { .. } => "GW_CONFIG".to_owned(),
            ConfigError::Platform { fault, .. } => fault.key(),
            ConfigError::Gossip { trouble } => {
                trouble.split([':', ' ']).next().unwrap_or("gossip").to_owned()
            }
            ConfigError::Rules(error) => {
                error.to_string().split([':', ' ']).next().unwrap_or("rules").to_owned()
            }
            ConfigError::Operator(error) => error.key().to_owned(),
        }
    }
}

fn at_line(line: &Option<usize>) -> String {
    line.map_or(String::new(), |line| format!(", line {line},"))
}

/// What is wrong with a value of the platform's.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// It must be told, and isn't.
    #[error("{key} is missing")]
    Missing { key: &'static str },
    /// The configuration that counts has it, and the new one hasn't.
    #[error("{key} is missing, and the configuration that counts has it")]
    Dropped { key: String },
    /// It is of the wrong kind, or out of bounds.
    #[error("{key} {trouble}: '{value}'")]
    Wrong { key: &'static str, trouble: &'static str, value: String },
    /// The list that the proxy last had.
    #[error("known: {0}")]
    Known(#[from] EndpointUpdateError),
    /// A setting.
    #[error("settings.{key} {trouble}")]
    Setting { key: String, trouble: String },
}

impl ValueError {
    /// The faulty key, by its full path.
    pub fn key(&self) -> String {
        match self {
            ValueError::Missing { key } | ValueError::Wrong { key, .. } => (*key).to_owned(),
            ValueError::Known(EndpointUpdateError::NotJson(_)) => "known".to_owned(),
            ValueError::Known(EndpointUpdateError::Contradicts(i)) => format!("known.members.{i}.id"),
            ValueError::Known(EndpointUpdateError::Field(field)) => format!("known.{field}"),
            ValueError::Known(EndpointUpdateError::Endpoint(i, field)) => {
                format!("known.members.{i}.{field}")
            }
            ValueError::Dropped { key } => key.clone(),
            ValueError::Setting { key, .. } => format!("settings.{key}"),
        }
    }
}

impl From<InvalidSetting> for ValueError {
    fn from(InvalidSetting { key, problem }: InvalidSetting) -> Self {
        ValueError::Setting { key, trouble: problem }
    }
}

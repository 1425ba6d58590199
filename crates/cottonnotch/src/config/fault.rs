//! Why a configuration is refused. Each message begins with the faulty key and ends with where it stands.

use super::operator_file::BadOperator;
use crate::rules::RulesError;
use cottonnotch_decision::settings::InvalidSetting;
use cottonnotch_proxy_core::EndpointUpdateError;

/// Why the proxy cannot start, or keeps what it has.
#[derive(Debug, thiserror::Error)]
pub enum BadConfig {
    /// The platform's file can't be had.
    #[error("GW_CONFIG: '{path}' cannot be read: {error}")]
    Unreadable { path: String, error: std::io::Error },
    /// It is no JSON.
    #[error("GW_CONFIG: '{path}'{} is not JSON: {error}", at_line(.line))]
    NotJson { path: String, line: Option<usize>, error: simd_json::Error },
    /// A value of the platform's can't be used.
    #[error("{fault} ({place})")]
    Platform { fault: Fault, place: String },
    /// Gossip can't be as it is configured.
    #[error("{trouble}")]
    Gossip { trouble: String },
    /// The rules can't be as they are configured.
    #[error("{0}")]
    Rules(#[from] RulesError),
    /// The operator's file is faulty.
    #[error(transparent)]
    Operator(#[from] BadOperator),
}

impl BadConfig {
    /// The faulty key, by its full path; what names the file if all of it is faulty.
    pub fn key(&self) -> String {
        match self {
            BadConfig::Unreadable { .. } | BadConfig::NotJson { .. } => "GW_CONFIG".to_owned(),
            BadConfig::Platform { fault, .. } => fault.key(),
            BadConfig::Gossip { trouble } => trouble.split([':', ' ']).next().unwrap_or("gossip").to_owned(),
            BadConfig::Rules(error) => {
                error.to_string().split([':', ' ']).next().unwrap_or("rules").to_owned()
            }
            BadConfig::Operator(error) => error.key().to_owned(),
        }
    }
}

fn at_line(line: &Option<usize>) -> String {
    line.map_or(String::new(), |line| format!(", line {line},"))
}

/// What is wrong with a value of the platform's.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
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

impl Fault {
    /// The faulty key, by its full path.
    pub fn key(&self) -> String {
        match self {
            Fault::Missing { key } | Fault::Wrong { key, .. } => (*key).to_owned(),
            Fault::Known(EndpointUpdateError::NotJson(_)) => "known".to_owned(),
            Fault::Known(EndpointUpdateError::Contradicts(i)) => format!("known.members.{i}.id"),
            Fault::Known(EndpointUpdateError::Field(field)) => format!("known.{field}"),
            Fault::Known(EndpointUpdateError::Member(i, field)) => format!("known.members.{i}.{field}"),
            Fault::Dropped { key } => key.clone(),
            Fault::Setting { key, .. } => format!("settings.{key}"),
        }
    }
}

impl From<InvalidSetting> for Fault {
    fn from(InvalidSetting { key, trouble }: InvalidSetting) -> Self {
        Fault::Setting { key, trouble }
    }
}

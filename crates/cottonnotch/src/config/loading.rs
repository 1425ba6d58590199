//! Loads the configuration at the start and on SIGHUP, and checks that a reloaded configuration may replace the one
//! in force.

use super::effective::EffectiveConfig;
use super::error::{ConfigError, ValueError};
use super::model::Config;
use super::operator::OperatorConfig;
use super::platform::{self, Precedence};
use std::path::Path;

impl Config {
    /// Loads the configuration at the start from the environment, the JSON file and the operator's file, which the
    /// caller has read already.
    pub fn load(operator: OperatorConfig, effective: &mut EffectiveConfig) -> Result<Self, ConfigError> {
        platform::read(operator, Precedence::Environment, effective)
    }

    /// Reads both files again on SIGHUP. The JSON file takes precedence over the environment, whose values are
    /// still those of the start.
    pub fn reload(operator: Option<&Path>) -> Result<Self, ConfigError> {
        let mut effective = EffectiveConfig::default();
        let operator = OperatorConfig::read(operator, &mut effective)?;
        platform::read(operator, Precedence::File, &mut effective)
    }

    /// Checks that this configuration may replace `old`: its JSON file must have every key that the old file had.
    /// This rejects a file that was truncated by mistake, whose missing keys would fall back to their defaults or
    /// to the environment of the start.
    pub fn check_replaces(&self, old: &Config) -> Result<(), ConfigError> {
        match self.present_keys.first_missing(&old.present_keys) {
            Some(key) => {
                let location = self.present_keys.path.clone();
                Err(ConfigError::Platform { error: ValueError::MissingAfterReload { key }, location })
            }
            None => Ok(()),
        }
    }
}

//! Loads the configuration at the start, and again on SIGHUP, and compares the two.

use super::effective::Effective;
use super::error::{ConfigError, ValueError};
use super::model::Config;
use super::operator::OperatorConfig;
use super::platform::{self, Precedence};
use std::path::Path;

impl Config {
    /// Reads the environment and the JSON file at the start, once the operator's file is read.
    pub fn load(operator: OperatorConfig, effective: &mut Effective) -> Result<Self, ConfigError> {
        platform::read(operator, Precedence::Environment, effective)
    }

    /// Reads both files again. The JSON file wins: the environment may still have what the file has replaced.
    pub fn reload(operator: Option<&Path>) -> Result<Self, ConfigError> {
        let mut effective = Effective::default();
        let operator = OperatorConfig::read(operator, &mut effective)?;
        platform::read(operator, Precedence::File, &mut effective)
    }

    /// Checks that this configuration may replace `old`: that its JSON file has every key that the old one had. Guards against
    /// a file that was cut down by mistake: a missing key would fall back to its default, or to the environment of the start.
    pub fn check_replaces(&self, old: &Config) -> Result<(), ConfigError> {
        match self.present_keys.first_missing(&old.present_keys) {
            Some(key) => {
                let place = self.present_keys.path.clone();
                Err(ConfigError::Platform { error: ValueError::Dropped { key }, place })
            }
            None => Ok(()),
        }
    }
}

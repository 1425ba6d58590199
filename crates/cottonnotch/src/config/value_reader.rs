//! Reads single values from the environment and the platform's JSON file: applies the precedence, checks the value
//! and records its source.

use super::effective::{EffectiveConfig, Source};
use super::environment::variable;
use super::error::{ConfigError, ValueError};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::net::SocketAddr;

/// The problem that is reported for an invalid address.
const NOT_AN_ADDRESS: &str = "is not an address and port";

/// Which source takes precedence if both have a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// The environment takes precedence; used at the start.
    Environment,
    /// The JSON file takes precedence; used on SIGHUP.
    File,
}

/// Reads values from the environment and the JSON file, and records each value and its source.
pub struct ValueReader<'a> {
    /// The content of the JSON file; an empty object if there is no file.
    pub json: &'a OwnedValue,
    /// Which source takes precedence.
    pub precedence: Precedence,
    /// The rows to which each value is added.
    pub effective: &'a mut EffectiveConfig,
}

impl ValueReader<'_> {
    /// Adds the location of the invalid value to an error.
    pub fn error(&self, error: ValueError, source: Source) -> ConfigError {
        let location = match (source, &self.effective.json) {
            (Source::Environment(name), _) => format!("environment {name}"),
            (_, None) => "GW_CONFIG is not set".to_owned(),
            (_, Some(file)) => match file.line(&error.key()) {
                Some(line) => format!("{}, line {line}", file.path),
                None => file.path.clone(),
            },
        };
        ConfigError::Platform { error, location }
    }

    fn invalid(
        &self,
        key: &'static str,
        problem: &'static str,
        value: String,
        source: Source,
    ) -> ConfigError {
        self.error(ValueError::Invalid { key, problem, value }, source)
    }

    /// Reads a text from the environment variable `name` or from `key` in the file; records it and returns it with
    /// its source.
    pub fn text(
        &mut self,
        name: &'static str,
        key: &'static str,
        default: Option<&str>,
    ) -> Result<(String, Source), ConfigError> {
        let env_value = variable(name);
        let file_wins = self.precedence == Precedence::File;
        let file_value = self.json.get(key).filter(|_| file_wins || env_value.is_none());
        let (text, source) = match (file_value, env_value, default) {
            (Some(value), ..) => match value.as_str() {
                Some(text) => (text.to_owned(), Source::Json),
                None => return Err(self.invalid(key, "is not a text", value.encode(), Source::Json)),
            },
            (None, Some(text), _) => (text, Source::Environment(name)),
            (None, None, Some(text)) => (text.to_owned(), Source::Default),
            (None, None, None) => return Err(self.error(ValueError::Missing { key }, Source::Default)),
        };
        self.effective.record(key, &text, source);
        Ok((text, source))
    }

    /// Reads a required address.
    pub fn address(&mut self, name: &'static str, key: &'static str) -> Result<SocketAddr, ConfigError> {
        let (text, source) = self.text(name, key, None)?;
        text.parse().map_err(|_| self.invalid(key, NOT_AN_ADDRESS, text, source))
    }

    /// Reads an address that may be missing or empty.
    pub fn optional_address(
        &mut self,
        name: &'static str,
        key: &'static str,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        let (text, source) = self.text(name, key, Some(""))?;
        if text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| self.invalid(key, NOT_AN_ADDRESS, text, source))
    }

    /// Reads an optional address that only the file can set.
    pub fn file_address(&mut self, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(value) = self.json.get(key) else {
            self.effective.record(key, "", Source::Default);
            return Ok(None);
        };
        let address = value.as_str().and_then(|text| text.parse().ok());
        let address: SocketAddr =
            address.ok_or_else(|| self.invalid(key, NOT_AN_ADDRESS, value.encode(), Source::Json))?;
        self.effective.record(key, address.to_string(), Source::Json);
        Ok(Some(address))
    }

    /// Reads an optional list of addresses that only the file can set.
    pub fn file_addresses(&mut self, key: &'static str) -> Result<Vec<SocketAddr>, ConfigError> {
        let Some(value) = self.json.get(key) else {
            self.effective.record(key, "", Source::Default);
            return Ok(Vec::new());
        };
        let problem = "is not a list of addresses and ports";
        let parse = |value: &OwnedValue| value.as_str()?.parse().ok();
        let addresses: Option<Vec<SocketAddr>> =
            value.as_array().and_then(|list| list.iter().map(parse).collect());
        let addresses = addresses.ok_or_else(|| self.invalid(key, problem, value.encode(), Source::Json))?;
        let shown = addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        self.effective.record(key, shown, Source::Json);
        Ok(addresses)
    }

    /// Reads a 64-bit hexadecimal number.
    pub fn hexadecimal(
        &mut self,
        name: &'static str,
        key: &'static str,
        default: &str,
    ) -> Result<u64, ConfigError> {
        let (text, source) = self.text(name, key, Some(default))?;
        let problem = "is not a hexadecimal number of 64 bits";
        u64::from_str_radix(&text, 16).map_err(|_| self.invalid(key, problem, text, source))
    }

    /// Reads a number below `limits` in the file. `key` is its full path, `name` the last segment of it; `check`
    /// converts the value and returns `None` if it is invalid.
    pub fn limit<T>(
        &mut self,
        key: &'static str,
        name: &str,
        default: u64,
        check: impl FnOnce(&OwnedValue) -> Option<T>,
        problem: &'static str,
    ) -> Result<T, ConfigError> {
        let (value, source) = match self.json.get("limits").and_then(|limits| limits.get(name)) {
            Some(value) => (value.clone(), Source::Json),
            None => (OwnedValue::from(default), Source::Default),
        };
        let limit = check(&value).ok_or_else(|| self.invalid(key, problem, value.encode(), source))?;
        self.effective.record(key, value.encode(), source);
        Ok(limit)
    }
}

//! Logging to standard error; each line has a text and key-value fields. The `log` and `env_logger` crates do the
//! work. This module adds the operator's settings, and a logger that can be replaced while the program runs.

use crate::spelling::nearest_name;
use env_logger::fmt::Formatter;
use env_logger::{Builder, Logger};
use log::kv::{Error, Key, Source, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{self, Write};
use std::sync::{PoisonError, RwLock};

/// The section `[log]` of the operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "a table")]
pub struct LogConfig {
    /// Selects the lines that are written, in the syntax of `RUST_LOG`: `LEVEL` or `TARGET=LEVEL`, separated by
    /// commas.
    pub filter: String,
    /// The format of the log lines.
    pub format: LogFormat,
    /// The value of `RUST_LOG` if it is set, which takes precedence over `filter`.
    #[serde(skip)]
    pub rust_log: Option<String>,
}

/// The format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable: time, level and target in brackets, the text, and then ` key=value` for each field.
    #[default]
    Text,
    /// Machine-readable: one JSON object per line.
    Json,
}

/// Why the section `[log]` is rejected. Each message begins with the key.
#[derive(Debug, thiserror::Error)]
pub enum LogConfigError {
    /// The filter contains an unknown level.
    #[error("log.filter has an unknown level: '{level}', {}", suggestion(level))]
    UnknownLevel {
        /// The unknown level.
        level: String,
    },
    /// The filter cannot be parsed.
    #[error("log.filter cannot be used: {0}")]
    Filter(env_filter::ParseError),
}

/// The levels that a filter may contain.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Suggests the level that was probably meant, or lists all levels if none is similar.
fn suggestion(level: &str) -> String {
    match nearest_name(level, &LEVELS) {
        Some(name) => format!("did you mean '{name}'?"),
        None => format!("known are {}", LEVELS.join(", ")),
    }
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig { filter: "info".to_owned(), format: LogFormat::Text, rust_log: None }
    }
}

impl LogConfig {
    /// Returns the configuration without an operator's file: the defaults, with `RUST_LOG` if it is set.
    pub fn from_environment() -> Self {
        LogConfig { rust_log: std::env::var("RUST_LOG").ok(), ..LogConfig::default() }
    }

    /// Checks the filter. A misspelt level is rejected here because the parser would take it as the name of a
    /// module, and the lines of all other modules would be dropped.
    pub fn check(&self) -> Result<(), LogConfigError> {
        for directive in self.filter.split(',').map(str::trim) {
            let level = directive.rsplit_once('=').map_or(directive, |(_, level)| level);
            if level.parse::<LevelFilter>().is_err() {
                return Err(LogConfigError::UnknownLevel { level: level.to_owned() });
            }
        }
        let filter = env_filter::Builder::new().try_parse(&self.filter).map(drop);
        filter.map_err(LogConfigError::Filter)
    }

    /// Replaces the `old` configuration. The new filter applies at once. The format stays, because a program that
    /// reads the log could not tell where it changes. Returns the configuration that is now in force.
    pub fn replacing(self, old: &LogConfig) -> LogConfig {
        if self.format != old.format {
            let format = old.format;
            log::warn!(
                key = "log.format";
                "log.format cannot change while clients are served, still '{}'", format.name()
            );
        }
        if self.filter != old.filter
            && let Some(filter) = &self.rust_log
        {
            log::warn!(key = "log.filter"; "log.filter does not count while RUST_LOG is set, still '{filter}'");
        }
        let new = LogConfig { format: old.format, ..self };
        if new.filter != old.filter && new.rust_log.is_none() {
            install(&new);
        }
        new
    }

    fn logger(&self) -> Logger {
        let mut builder = Builder::new();
        builder.parse_filters(self.rust_log.as_ref().unwrap_or(&self.filter));
        match self.format {
            LogFormat::Text => builder.format_key_values(text_fields),
            LogFormat::Json => builder.format(json_line),
        };
        builder.build()
    }
}

impl LogFormat {
    fn name(self) -> &'static str {
        match self {
            LogFormat::Text => "text",
            LogFormat::Json => "json",
        }
    }
}

/// The program's logger. The `log` crate drops lines below its maximum level before they reach this logger.
struct ReplaceableLogger(RwLock<Option<Logger>>);

static LOGGER: ReplaceableLogger = ReplaceableLogger(RwLock::new(None));

impl Log for ReplaceableLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        let logger = self.0.read().unwrap_or_else(PoisonError::into_inner);
        logger.as_ref().is_some_and(|logger| logger.enabled(metadata))
    }

    fn log(&self, record: &Record) {
        let logger = self.0.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(logger) = logger.as_ref() {
            logger.log(record);
        }
    }

    fn flush(&self) {}
}

/// Installs a logger with this configuration, or replaces the one that is installed.
pub fn install(config: &LogConfig) {
    let logger = config.logger();
    let level = logger.filter();
    *LOGGER.0.write().unwrap_or_else(PoisonError::into_inner) = Some(logger);
    // This fails if the logger is already set, which is the case from the second call on.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
}

/// Writes each field as ` key=value`, with quotes if the value contains characters that would make it ambiguous.
/// Some values come from other programs; quoting keeps them from imitating a log line or a field of the proxy.
fn text_fields(out: &mut Formatter, fields: &dyn Source) -> io::Result<()> {
    struct Fields<'a>(&'a mut Formatter);
    impl<'kvs> VisitSource<'kvs> for Fields<'_> {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            let value = value.to_string();
            let is_plain = |c: char| !(c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\'));
            if !value.is_empty() && value.chars().all(is_plain) {
                write!(self.0, " {key}={value}")?;
            } else {
                write!(self.0, " {key}={value:?}")?;
            }
            Ok(())
        }
    }
    fields.visit(&mut Fields(out)).map_err(io::Error::other)
}

/// Writes a line as `{"time":...,"level":...,"part":...,"text":...,"fields":{...}}`.
fn json_line(out: &mut Formatter, record: &Record) -> io::Result<()> {
    struct Fields(OwnedValue);
    impl<'kvs> VisitSource<'kvs> for Fields {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            // A value is written as a number only if it was logged as a number; a text that looks like a number
            // stays a text.
            let integer = value.to_u64().map(OwnedValue::from).or(value.to_i64().map(OwnedValue::from));
            let number = integer.or(value.to_f64().map(OwnedValue::from));
            let scalar = number.or(value.to_bool().map(OwnedValue::from));
            let value = scalar.unwrap_or_else(|| OwnedValue::from(value.to_string()));
            // Inserting cannot fail, because the value is an object.
            let _ = self.0.insert(key.as_str().to_owned(), value);
            Ok(())
        }
    }
    let mut fields = Fields(OwnedValue::object());
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    let line = json!({
        "time": out.timestamp_micros().to_string(),
        "level": record.level().as_str().to_lowercase(),
        "part": record.target(),
        "text": record.args().to_string(),
        "fields": fields.0,
    });
    writeln!(out, "{}", line.encode())
}

//! The log: lines on standard error, each with a text and key-values. The `log` and `env_logger` crates do it;
//! here is what the operator may choose, and a logger whose filter can be changed while the program runs.

use crate::config::near_miss;
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
    /// Which lines are written, as in `RUST_LOG`: a level, or `PART=LEVEL`, separated by commas.
    pub filter: String,
    /// How a line is written.
    pub format: LogFormat,
    /// `RUST_LOG`, which wins over the filter.
    #[serde(skip)]
    pub rust_log: Option<String>,
}

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people: time, level and part in brackets, the text, then ` key=value` for each.
    #[default]
    Text,
    /// For programs: one JSON object a line.
    Json,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig { filter: "info".to_owned(), format: LogFormat::Text, rust_log: None }
    }
}

impl LogConfig {
    /// What counts where no operator's file does: the environment's `RUST_LOG`, or the defaults.
    pub fn from_environment() -> Self {
        LogConfig { rust_log: std::env::var("RUST_LOG").ok(), ..LogConfig::default() }
    }

    /// Refuses a filter that would be taken to mean something else. Guards against a misspelt level: it would
    /// stand for a part of that name, and everything else would be silent.
    pub fn check(&self) -> Result<(), String> {
        const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
        for directive in self.filter.split(',').map(str::trim) {
            let level = directive.rsplit_once('=').map_or(directive, |(_, level)| level);
            if level.parse::<LevelFilter>().is_err() {
                let meant = match near_miss(level, &LEVELS) {
                    Some(name) => format!("did you mean '{name}'?"),
                    None => format!("known are {}", LEVELS.join(", ")),
                };
                return Err(format!("log.filter has an unknown level: '{level}', {meant}"));
            }
        }
        match env_filter::Builder::new().try_parse(&self.filter) {
            Ok(_) => Ok(()),
            Err(error) => Err(format!("log.filter cannot be used: {error}")),
        }
    }

    /// Takes this in place of the `old` one: the filter at once, the form of lines not, since whoever reads the
    /// log could not tell where it changes. Returns what counts from now on.
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

/// The program's logger. What is off is stopped by the log crate's own level, before it comes here.
struct Switched(RwLock<Option<Logger>>);

static LOGGER: Switched = Switched(RwLock::new(None));

impl Log for Switched {
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

/// Logs as told from now on.
pub fn install(config: &LogConfig) {
    let logger = config.logger();
    let level = logger.filter();
    *LOGGER.0.write().unwrap_or_else(PoisonError::into_inner) = Some(logger);
    // Fails from the second time on, when it is there already.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
}

/// ` key=value` for each, quoted where a value would not end at the next space. Guards against what others sent
/// and the log repeats: it must not look like a line or a key of our own.
fn text_fields(out: &mut Formatter, fields: &dyn Source) -> io::Result<()> {
    struct Fields<'a>(&'a mut Formatter);
    impl<'kvs> VisitSource<'kvs> for Fields<'_> {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            let value = value.to_string();
            let plain = |c: char| !(c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\'));
            if !value.is_empty() && value.chars().all(plain) {
                write!(self.0, " {key}={value}")?;
            } else {
                write!(self.0, " {key}={value:?}")?;
            }
            Ok(())
        }
    }
    fields.visit(&mut Fields(out)).map_err(io::Error::other)
}

/// `{"time":...,"level":...,"part":...,"text":...,"fields":{...}}`
fn json_line(out: &mut Formatter, record: &Record) -> io::Result<()> {
    struct Fields(OwnedValue);
    impl<'kvs> VisitSource<'kvs> for Fields {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            // A text that looks like a number stays a text: only what was logged as a number is one.
            let whole = value.to_u64().map(OwnedValue::from).or(value.to_i64().map(OwnedValue::from));
            let number = whole.or(value.to_f64().map(OwnedValue::from));
            let other = number.or(value.to_bool().map(OwnedValue::from));
            let value = other.unwrap_or_else(|| OwnedValue::from(value.to_string()));
            // It is an object, so this can't fail.
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

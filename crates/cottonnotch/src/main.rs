//! The proxy, which connects the decision module to real sockets. `docs/ARCHITECTURE.md` describes how the parts fit
//! together.

mod command_line;
mod config;
mod logging;
mod maintenance;
mod net;
mod rules;
mod spelling;

use clap::Parser;
use command_line::{Command, CommandLine};
use config::{Config, ConfigError, EffectiveConfig, OperatorConfig};
use cottonnotch_records::{Identity, Recorder, RecorderError};
use logging::LogConfig;
use net::driver::Driver;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The exit code if the configuration is invalid.
const EXIT_INVALID_CONFIG: u8 = 2;

fn main() -> ExitCode {
    let CommandLine { operator, command } = CommandLine::parse();
    match command {
        None => serve(operator),
        Some(Command::Check) => check(operator.as_deref()),
    }
}

fn serve(path: Option<PathBuf>) -> ExitCode {
    let mut effective = EffectiveConfig::default();
    let operator = OperatorConfig::read(path.as_deref(), &mut effective);
    // An error in the file is logged as well, with the default log settings and `RUST_LOG`.
    logging::install(operator.as_ref().map_or(&LogConfig::from_environment(), |read| &read.log));
    let config = operator.and_then(|operator| Config::load(operator, &mut effective));
    // The recorder is opened before any socket: otherwise the number of the configured descriptor could be assigned
    // to a socket.
    let opened = config.and_then(|config| Ok((open_recorder(&config, &effective)?, config)));
    let (recorder, config) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            log::error!(key = error.key(); "cannot start: {error}");
            return ExitCode::from(EXIT_INVALID_CONFIG);
        }
    };
    drop(effective);
    let name = config.name.clone();
    let reload = Box::new(move || Config::reload(path.as_deref()));
    let result = Driver::start(config, recorder, reload).and_then(|mut driver| driver.run());
    match result {
        Ok(()) => {
            log::info!(name; "{name} has stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!(name, error:%; "{name} cannot go on: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Opens the recorder; returns a disabled one if records are off.
fn open_recorder(config: &Config, effective: &EffectiveConfig) -> Result<Recorder, ConfigError> {
    let Some(file) = &effective.operator else { return Ok(Recorder::off()) };
    let settings = config.operator.records.check().map_err(|error| file.reject(&error))?;
    let Some(settings) = settings else { return Ok(Recorder::off()) };
    let name = config.name.as_str().into();
    // The incarnation is the start time: two runs with the same name do not start in the same microsecond.
    let incarnation =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
    let version = env!("CARGO_PKG_VERSION").into();
    let recorder = Recorder::open(&settings, Identity { name, incarnation, version });
    recorder.map_err(|error| file.reject(&describe_recorder_error(&error)).into())
}

/// Formats a recorder's error as a message that begins with the key.
fn describe_recorder_error(error: &RecorderError) -> String {
    match error {
        RecorderError::Target { key, target, error } => {
            format!("records.{key} cannot be written: '{target}': {error}")
        }
        RecorderError::Thread(error) => {
            format!("records cannot start, no thread could be created: {error}")
        }
    }
}

/// Returns the report on the routing rules; empty if no rules are configured.
fn rules_report(config: &Config) -> String {
    let Some(settings) = &config.rules else { return String::new() };
    let node_kinds =
        config.initial_endpoints.endpoints.iter().map(|member| (member.zone.clone(), member.flavor.clone()));
    rules::report(settings, &config.operator.consensus, &config.profile, node_kinds.collect())
}

fn check(path: Option<&Path>) -> ExitCode {
    let mut effective = EffectiveConfig::default();
    let operator = OperatorConfig::read(path, &mut effective);
    let config = operator.and_then(|operator| Config::load(operator, &mut effective));
    // The proxy starts and runs without an invalid rules file, but the check reports it as an error.
    let config =
        config.and_then(|config| match config.rules.as_ref().map(rules::RulesSettings::check_files) {
            Some(Err(error)) => Err(error.into()),
            _ => Ok(config),
        });
    // Writing fails if the reader has closed the output. That error can be reported only through the exit code.
    let written = match &config {
        Ok(config) => write!(std::io::stdout().lock(), "{effective}{}", rules_report(config)),
        Err(error) => writeln!(std::io::stderr().lock(), "faulty configuration: {error}"),
    };
    match (config, written) {
        (Err(_), _) => ExitCode::from(EXIT_INVALID_CONFIG),
        (Ok(_), Err(_)) => ExitCode::FAILURE,
        (Ok(_), Ok(())) => ExitCode::SUCCESS,
    }
}

//! The effective configuration, as `cottonnotch check` prints it: each value in force and its source. The code that
//! reads a value also records its row here, so that each default is defined in only one place.

use super::json_file::JsonFile;
use super::operator_file::OperatorFile;
use std::fmt;

/// The source of a configuration value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The built-in default: no other source sets the value.
    Default,
    /// The command-line argument with this name.
    Argument(&'static str),
    /// The environment variable with this name.
    Environment(&'static str),
    /// The platform's JSON file.
    Json,
    /// The operator's file.
    Operator,
}

/// One configuration value and its source.
#[derive(Debug)]
pub struct Row {
    /// The full path of the key.
    pub key: String,
    /// The value, as text.
    pub value: String,
    /// The source that supplied the value.
    pub source: Source,
    /// Whether the key names no known setting, so that the value has no effect.
    pub is_unused: bool,
}

/// All configuration values, and the files from which they were read.
#[derive(Debug, Default)]
pub struct EffectiveConfig {
    /// The values, in the order in which they were read.
    pub rows: Vec<Row>,
    /// The platform's JSON file, if one was read.
    pub json: Option<JsonFile>,
    /// The operator's TOML file, if one was read.
    pub operator: Option<OperatorFile>,
}

impl EffectiveConfig {
    /// Records a value that is in force.
    pub fn record(&mut self, key: impl Into<String>, value: impl Into<String>, source: Source) {
        self.rows.push(Row { key: key.into(), value: value.into(), source, is_unused: false });
    }

    /// Records a value from the platform's file that has no effect.
    pub fn record_unused(&mut self, key: String, value: String) {
        self.rows.push(Row { key, value, source: Source::Json, is_unused: true });
    }

    /// Formats the source of a row; for a file, the text includes the line number if it is known.
    fn source_text(&self, row: &Row) -> String {
        let in_file = |path: &dyn fmt::Display, line: Option<usize>| match line {
            Some(line) => format!("{path}, line {line}"),
            None => path.to_string(),
        };
        match (row.source, &self.json, &self.operator) {
            (Source::Argument(name), ..) => name.to_owned(),
            (Source::Environment(name), ..) => format!("environment {name}"),
            (Source::Json, Some(file), _) => in_file(&file.path, file.line(&row.key)),
            (Source::Operator, _, Some(file)) => in_file(&file.path.display(), file.line(&row.key)),
            (Source::Default | Source::Json | Source::Operator, ..) => "default".to_owned(),
        }
    }
}

/// Formats a value on one line; an empty value becomes `-`. Control characters are escaped because they could end the
/// line or send commands to the terminal.
fn one_line(value: &str) -> String {
    if value.is_empty() {
        return "-".to_owned();
    }
    let mut shown = String::with_capacity(value.len());
    for c in value.chars() {
        if c.is_control() { shown.extend(c.escape_default()) } else { shown.push(c) }
    }
    shown
}

/// Prints one line per value: `KEY = VALUE  # SOURCE`.
impl fmt::Display for EffectiveConfig {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for row in &self.rows {
            let unused = if row.is_unused { ", not used" } else { "" };
            writeln!(f, "{} = {}  # {}{unused}", row.key, one_line(&row.value), self.source_text(row))?;
        }
        Ok(())
    }
}

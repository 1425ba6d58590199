//! The effective configuration, as `cottonnotch check` prints it: each value in force and its source. Rows are noted where the
//! values are read, so a default is defined in one place only.

use super::json_file::JsonFile;
use super::operator_file::OperatorFile;
use std::fmt;

/// The source of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// No source has it.
    Default,
    /// The command line's argument of this name.
    Argument(&'static str),
    /// The environment's variable of this name.
    Environment(&'static str),
    /// The platform's JSON file.
    Json,
    /// The operator's file.
    Operator,
}

/// One value with its source.
#[derive(Debug)]
pub struct Row {
    /// Its key, by its full path.
    pub key: String,
    /// The value, as text.
    pub value: String,
    /// Its source.
    pub source: Source,
    /// No setting of that name exists: it has no effect.
    pub is_unused: bool,
}

/// Every value, and the files that they were read from.
#[derive(Debug, Default)]
pub struct Effective {
    /// In the order in which they were read.
    pub rows: Vec<Row>,
    /// The platform's file, if there is one.
    pub json: Option<JsonFile>,
    /// The operator's file, if there is one.
    pub operator: Option<OperatorFile>,
}

impl Effective {
    /// Notes a value in force.
    pub fn note(&mut self, key: impl Into<String>, value: impl Into<String>, source: Source) {
        self.rows.push(Row { key: key.into(), value: value.into(), source, is_unused: false });
    }

    /// Notes a value that was given in the platform's file and has no effect.
    pub fn note_unused(&mut self, key: String, value: String) {
        self.rows.push(Row { key, value, source: Source::Json, is_unused: true });
    }

    /// The source as printed, with the line of a file.
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

/// A value on one line; an empty one is shown as `-`. Guards against control characters, which could end the
/// line or write to the terminal.
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

/// One line a value: `KEY = VALUE  # SOURCE`.
impl fmt::Display for Effective {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for row in &self.rows {
            let unused = if row.is_unused { ", not used" } else { "" };
            writeln!(f, "{} = {}  # {}{unused}", row.key, one_line(&row.value), self.source_text(row))?;
        }
        Ok(())
    }
}

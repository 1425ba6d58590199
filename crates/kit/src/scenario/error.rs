//! What is wrong with a scenario, where in which file, and what was probably meant.

use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A scenario that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum BadScenario {
    /// The file cannot be read.
    #[error("{}: cannot be read: {error}", file.display())]
    Unreadable {
        /// Which file.
        file: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// Something in it is wrong.
    #[error("{}{}", At(file, *line, key), trouble)]
    Wrong {
        /// Which file.
        file: PathBuf,
        /// In which line, from 1, where one can be named.
        line: Option<usize>,
        /// At which key, by its full path; items of a list are counted from 0. Empty for the whole file.
        key: String,
        /// What is wrong, to be read after the key.
        trouble: String,
    },
}

struct At<'a>(&'a Path, Option<usize>, &'a str);

impl fmt::Display for At<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.0.display())?;
        if let Some(line) = self.1 {
            write!(f, "{line}:")?;
        }
        write!(f, " ")?;
        if self.2.is_empty() { Ok(()) } else { write!(f, "{}: ", self.2) }
    }
}

/// A trouble at a key, before it is known where in the file that key is.
#[derive(Debug, PartialEq)]
pub(super) struct Trouble {
    pub key: String,
    pub what: String,
}

/// A trouble, as the result of a check.
pub(super) fn wrong<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, Trouble> {
    Err(Trouble { key: key.into(), what: what.into() })
}

/// What was probably meant, to be put behind a message; nothing if no candidate is near.
pub(super) fn near_miss<'a>(given: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
    let nearest = (candidates.into_iter())
        .map(|candidate| (strsim::damerau_levenshtein(given, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= (candidate.len().max(given.len()) / 3).max(1))
        .min();
    nearest.map_or(String::new(), |(_, candidate)| format!(": did you mean '{candidate}'?"))
}

/// A scenario's text, to find keys in.
pub(super) struct Source<'a> {
    pub file: &'a Path,
    pub text: &'a str,
}

impl Source<'_> {
    /// From an error of the TOML reader.
    pub fn unread(&self, error: &toml::de::Error) -> BadScenario {
        let span = error.span();
        let line = span.as_ref().map(|span| self.line(span.start));
        let key = span.as_ref().and_then(|span| Some(key_at(&DeTable::parse(self.text).ok()?, span)));
        let key = key.unwrap_or_default();
        BadScenario::Wrong { file: self.file.to_owned(), line, key, trouble: suggest(error.message()) }
    }

    /// From a check.
    pub fn found(&self, Trouble { key, what }: Trouble) -> BadScenario {
        let table = DeTable::parse(self.text).ok();
        let line = table.and_then(|table| place_of(&key, &table)).map(|place| self.line(place));
        BadScenario::Wrong { file: self.file.to_owned(), line, key, trouble: what }
    }

    fn line(&self, place: usize) -> usize {
        1 + self.text.bytes().take(place).filter(|byte| *byte == b'\n').count()
    }
}

/// Puts what was probably meant behind the reader's "unknown field `x`, expected one of `y`, `z`".
fn suggest(message: &str) -> String {
    let message = message.trim();
    let mut words = message.split('`').skip(1).step_by(2);
    let near = match words.next() {
        Some(given) if message.starts_with("unknown") => near_miss(given, words),
        _ => String::new(),
    };
    // The list of all that is expected would bury what was meant.
    let short =
        message.split_once(", expected").filter(|_| !near.is_empty()).map_or(message, |(short, _)| short);
    format!("{short}{near}")
}

/// The path of the smallest thing that holds this place.
fn key_at(table: &Spanned<DeTable<'_>>, at: &Range<usize>) -> String {
    let mut best = (usize::MAX, String::new());
    search_table(table.get_ref(), "", at, &mut best);
    best.1
}

fn search_table(table: &DeTable<'_>, path: &str, at: &Range<usize>, best: &mut (usize, String)) {
    for (name, value) in table {
        let path =
            if path.is_empty() { name.get_ref().to_string() } else { format!("{path}.{}", name.get_ref()) };
        consider(&name.span(), &path, at, best);
        search(value, &path, at, best);
    }
}

fn search(value: &Spanned<DeValue<'_>>, path: &str, at: &Range<usize>, best: &mut (usize, String)) {
    consider(&value.span(), path, at, best);
    match value.get_ref() {
        DeValue::Table(table) => search_table(table, path, at, best),
        DeValue::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                search(item, &format!("{path}[{i}]"), at, best);
            }
        }
        _ => {}
    }
}

fn consider(span: &Range<usize>, path: &str, at: &Range<usize>, best: &mut (usize, String)) {
    let size = span.end.saturating_sub(span.start);
    let holds = span.start <= at.start && at.start < span.end.max(span.start + 1) && at.end <= span.end;
    if holds && (size < best.0 || (size == best.0 && path.len() > best.1.len())) {
        *best = (size, path.to_owned());
    }
}

/// Where a key is; where it is not written, where the nearest thing above it is.
fn place_of(key: &str, table: &Spanned<DeTable<'_>>) -> Option<usize> {
    let mut here = table.get_ref();
    let mut place = None;
    for step in key.split('.') {
        let (name, item) = match step.split_once('[') {
            Some((name, item)) => (name, item.trim_end_matches(']').parse::<usize>().ok()),
            None => (step, None),
        };
        let Some((found, mut value)) = here.get_key_value(name) else { break };
        place = Some(found.span().start);
        if let Some(inner) = item.and_then(|item| value.get_ref().as_array()?.get(item)) {
            place = Some(inner.span().start);
            value = inner;
        }
        match value.get_ref() {
            DeValue::Table(inner) => here = inner,
            _ => break,
        }
    }
    place
}

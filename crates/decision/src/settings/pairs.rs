//! Settings as flat pairs, read key by key: each look-up is noted, and a value that cannot be used names its key.

use crate::interface::Micros;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// A setting that cannot be used: its key, and the problem with its value.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The faulty key, by its full path.
    pub key: String,
    /// What is wrong, to be read after the key.
    pub problem: String,
}

impl InvalidSetting {
    fn new(key: &str, problem: &str, found: &str, allowed: &str) -> Self {
        let short: String = found.chars().take(40).collect();
        InvalidSetting { key: key.to_owned(), problem: format!("{problem}: '{short}', allowed: {allowed}") }
    }
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key, self.problem)
    }
}

impl std::error::Error for InvalidSetting {}

/// No time is longer, in microseconds; what is, is as good as without end.
pub(super) const LONGEST: f64 = 4e15;

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Settings as flat pairs of a path and a value: a list of plain values is joined with commas; a list of
/// objects has its length under `.count` and its items under `.0`, `.1` ...
#[derive(Debug, Default)]
pub struct Pairs {
    /// The values by path.
    pub values: HashMap<String, String>,
    /// The keys that were looked up, and the defaults that were taken.
    lookups: RefCell<BTreeMap<String, Option<String>>>,
}

impl Pairs {
    /// The keys that [`read`](super::read) looked up: the default that it took, or nothing where the pairs had a value. For
    /// those who check a configuration: a key that is there and was not looked up has no effect.
    pub fn lookups(&self) -> BTreeMap<String, Option<String>> {
        self.lookups.borrow().clone()
    }

    /// The value of a key; `default` is only noted.
    fn given(&self, key: &str, default: impl ToString) -> Option<&str> {
        let text = self.values.get(key).map(String::as_str).filter(|v| !v.is_empty() && *v != "-");
        let default = text.is_none().then(|| default.to_string());
        self.lookups.borrow_mut().insert(key.to_owned(), default);
        text
    }

    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.given(key, "-")
    }

    /// A finite number.
    pub(super) fn figure(&self, key: &str, default: f64) -> Result<f64, InvalidSetting> {
        let Some(text) = self.given(key, default) else { return Ok(default) };
        number(text).ok_or_else(|| InvalidSetting::new(key, "is not a number", text, "a finite number"))
    }

    /// A number that can't be below `least`. Guards against what a clamp would make of it in silence.
    pub(super) fn from(&self, least: f64, key: &str, default: f64) -> Result<f64, InvalidSetting> {
        let value = self.figure(key, default)?;
        if value >= least {
            return Ok(value);
        }
        let (problem, allowed) = (format!("is below {least}"), format!("{least} or more"));
        Err(InvalidSetting::new(key, &problem, self.text(key).unwrap_or_default(), &allowed))
    }

    pub(super) fn time(&self, key: &str, default: Micros) -> Result<Micros, InvalidSetting> {
        Ok(self.from(0.0, key, default as f64)?.min(LONGEST) as Micros)
    }

    pub(super) fn count(&self, least: u32, key: &str, default: u32) -> Result<u32, InvalidSetting> {
        Ok(self.from(f64::from(least), key, f64::from(default))?.min(4e9) as u32)
    }

    pub(super) fn flag(&self, key: &str) -> Result<bool, InvalidSetting> {
        let value = self.one_of(key, "false", &["true", "false", "1", "0"])?;
        Ok(matches!(value, "true" | "1"))
    }

    /// One of the allowed values. Guards against a misspelt one, which would be read as something else in silence: unknown keys
    /// are ignored, but the error lists the values of a known one in full.
    pub(super) fn one_of<'a>(
        &'a self,
        key: &str,
        default: &'a str,
        allowed: &[&str],
    ) -> Result<&'a str, InvalidSetting> {
        let value = self.given(key, default).unwrap_or(default);
        if allowed.contains(&value) {
            return Ok(value);
        }
        Err(InvalidSetting::new(key, "has an unknown value", value, &allowed.join(", ")))
    }

    /// A list of numbers of 0 or more; what is left out of it is 0.
    pub(super) fn figures(&self, key: &str) -> Result<Vec<f64>, InvalidSetting> {
        let figure = |(i, text): (usize, &str)| match number(text) {
            _ if text.is_empty() || text == "-" => Ok(0.0),
            Some(value) if value >= 0.0 => Ok(value),
            _ => Err(InvalidSetting::new(&format!("{key}.{i}"), "is no such number", text, "0 or more")),
        };
        self.list(key).into_iter().enumerate().map(figure).collect()
    }

    pub(super) fn list(&self, key: &str) -> Vec<&str> {
        self.text(key).map(|v| v.split(',').collect()).unwrap_or_default()
    }
}

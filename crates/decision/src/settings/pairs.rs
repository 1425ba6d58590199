//! Settings as flat pairs of key and value, with typed look-ups. Each look-up is recorded, and the error for
//! an unusable value names the key.

use crate::interface::Micros;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Error for a setting whose value cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The full path of the key.
    pub key: String,
    /// The problem with the value, phrased to follow the key.
    pub problem: String,
}

impl InvalidSetting {
    fn new(key: &str, problem: &str, found: &str, allowed: &str) -> Self {
        let excerpt: String = found.chars().take(40).collect();
        InvalidSetting { key: key.to_owned(), problem: format!("{problem}: '{excerpt}', allowed: {allowed}") }
    }
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.key, self.problem)
    }
}

impl std::error::Error for InvalidSetting {}

/// Maximum duration, in microseconds. Longer values are reduced to this one, which is practically infinite.
pub(super) const MAX_TIME_US: f64 = 4e15;

fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Settings as flat pairs of path and value. A list of plain values is joined with commas. A list of objects
/// has its length under `.count` and its items under `.0`, `.1` and so on.
#[derive(Debug, Default)]
pub struct Pairs {
    /// The values by path.
    pub values: HashMap<String, String>,
    /// The keys that were looked up, each with the default that was used; `None` if the key had a value.
    lookups: RefCell<BTreeMap<String, Option<String>>>,
}

impl Pairs {
    /// Returns the keys that [`read`](fn@super::read) looked up, each with the default that was used; `None`
    /// if the key had a value. A check of a configuration can detect keys without effect: they were not
    /// looked up.
    pub fn lookups(&self) -> BTreeMap<String, Option<String>> {
        self.lookups.borrow().clone()
    }

    /// Returns the value of a key; `None` if it is absent, empty or `-`. Records the look-up, and `default`
    /// as the value used if there is none.
    fn look_up(&self, key: &str, default: impl ToString) -> Option<&str> {
        let text = self.values.get(key).map(String::as_str).filter(|v| !v.is_empty() && *v != "-");
        let default = text.is_none().then(|| default.to_string());
        self.lookups.borrow_mut().insert(key.to_owned(), default);
        text
    }

    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.look_up(key, "-")
    }

    /// Returns a finite number.
    pub(super) fn number(&self, key: &str, default: f64) -> Result<f64, InvalidSetting> {
        let Some(text) = self.look_up(key, default) else { return Ok(default) };
        parse_finite(text).ok_or_else(|| InvalidSetting::new(key, "is not a number", text, "a finite number"))
    }

    /// Returns a finite number that is not below `least`. A lower one is an error; clamping would change it
    /// silently.
    pub(super) fn number_at_least(&self, least: f64, key: &str, default: f64) -> Result<f64, InvalidSetting> {
        let value = self.number(key, default)?;
        if value >= least {
            return Ok(value);
        }
        let (problem, allowed) = (format!("is below {least}"), format!("{least} or more"));
        Err(InvalidSetting::new(key, &problem, self.text(key).unwrap_or_default(), &allowed))
    }

    pub(super) fn time(&self, key: &str, default: Micros) -> Result<Micros, InvalidSetting> {
        Ok(self.number_at_least(0.0, key, default as f64)?.min(MAX_TIME_US) as Micros)
    }

    pub(super) fn count(&self, least: u32, key: &str, default: u32) -> Result<u32, InvalidSetting> {
        Ok(self.number_at_least(f64::from(least), key, f64::from(default))?.min(4e9) as u32)
    }

    pub(super) fn flag(&self, key: &str) -> Result<bool, InvalidSetting> {
        let value = self.one_of(key, "false", &["true", "false", "1", "0"])?;
        Ok(matches!(value, "true" | "1"))
    }

    /// Returns one of the allowed values. A misspelt value is an error that lists all allowed values;
    /// otherwise it would silently be read as another one.
    pub(super) fn one_of<'a>(
        &'a self,
        key: &str,
        default: &'a str,
        allowed: &[&str],
    ) -> Result<&'a str, InvalidSetting> {
        let value = self.look_up(key, default).unwrap_or(default);
        if allowed.contains(&value) {
            return Ok(value);
        }
        Err(InvalidSetting::new(key, "has an unknown value", value, &allowed.join(", ")))
    }

    /// Returns a list of numbers of 0 or more. An empty item or `-` counts as 0.
    pub(super) fn numbers(&self, key: &str) -> Result<Vec<f64>, InvalidSetting> {
        let parse_item = |(i, text): (usize, &str)| match parse_finite(text) {
            _ if text.is_empty() || text == "-" => Ok(0.0),
            Some(value) if value >= 0.0 => Ok(value),
            _ => Err(InvalidSetting::new(&format!("{key}.{i}"), "is not a valid number", text, "0 or more")),
        };
        self.list(key).into_iter().enumerate().map(parse_item).collect()
    }

    pub(super) fn list(&self, key: &str) -> Vec<&str> {
        self.text(key).map(|v| v.split(',').collect()).unwrap_or_default()
    }
}

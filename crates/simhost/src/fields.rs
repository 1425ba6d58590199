//! Reads the tab-separated fields of a wire line. An error names the field and states the problem with it.

use std::fmt;
use std::str::FromStr;

/// Maximum number of characters of an invalid text that an error message shows.
const MAX_EXCERPT_CHARS: usize = 40;

/// Error for a line that cannot be read: the field, and the problem with it, phrased to follow the field's
/// name.
#[derive(Debug)]
pub struct MalformedLine {
    field: &'static str,
    problem: String,
}

impl MalformedLine {
    pub fn new(field: &'static str, problem: impl Into<String>) -> Self {
        MalformedLine { field, problem: problem.into() }
    }
}

impl fmt::Display for MalformedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {} {}", self.field, self.problem)
    }
}

impl std::error::Error for MalformedLine {}

/// Returns a [`MalformedLine`] as an `Err`, for use in a `return` or a match arm.
pub fn malformed<T>(field: &'static str, problem: impl Into<String>) -> Result<T, MalformedLine> {
    Err(MalformedLine::new(field, problem))
}

/// Reader of the fields of one line, in order. A field `-` has no value.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// Returns the next field unchanged; it may be `-` or empty.
    pub fn raw(&mut self, field: &'static str) -> Result<&'a str, MalformedLine> {
        let Some(rest) = self.rest else { return malformed(field, "is missing") };
        match rest.split_once('\t') {
            Some((text, rest)) => {
                self.rest = Some(rest);
                Ok(text)
            }
            None => {
                self.rest = None;
                Ok(rest)
            }
        }
    }

    /// Returns the next field, which must have a value.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, MalformedLine> {
        match self.raw(field)? {
            "" | "-" => malformed(field, "is absent"),
            text => Ok(text),
        }
    }

    /// Returns the next field as a number. The field must have a value.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, MalformedLine> {
        self.optional(field)?.ok_or_else(|| MalformedLine::new(field, "is absent"))
    }

    /// Returns the next field as a number; `None` if the field has no value.
    pub fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, MalformedLine> {
        match self.raw(field)? {
            "" | "-" => Ok(None),
            text => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => malformed(field, format!("is not a number in range: '{}'", excerpt(text))),
            },
        }
    }

    /// Returns the next field as a finite floating-point number; `None` if the field has no value.
    pub fn float(&mut self, field: &'static str) -> Result<Option<f64>, MalformedLine> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => malformed(field, "is not finite"),
            value => Ok(value),
        }
    }

    /// Returns the next field as a flag: `1` is true, `0` and `-` are false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, MalformedLine> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            text => malformed(field, format!("is neither 1 nor 0: '{}'", excerpt(text))),
        }
    }

    /// Checks that the line has no further field.
    pub fn expect_end(self) -> Result<(), MalformedLine> {
        match self.rest {
            None => Ok(()),
            Some(rest) => malformed("end of line", format!("is expected, but found '{}'", excerpt(rest))),
        }
    }

    /// Returns the rest of the line.
    pub fn remainder(self) -> &'a str {
        self.rest.unwrap_or("")
    }
}

/// Returns the start of a text, for an error message.
pub fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).collect()
}

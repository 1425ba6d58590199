//! Reading the tab-separated fields of a wire line; an error names the field and what is wrong with it.

use std::fmt;
use std::str::FromStr;

/// Characters of a faulty text that a message shows.
const MAX_SHOWN: usize = 40;

/// What is wrong with a line: the field, and the problem with it, to be read after the field's name.
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

/// An error, for a `return`.
pub fn malformed<T>(field: &'static str, problem: impl Into<String>) -> Result<T, MalformedLine> {
    Err(MalformedLine::new(field, problem))
}

/// The fields of one line, taken in order. `-` stands for an absent value.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// The next field as it stands; it may be `-` or empty.
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

    /// The next field, which must have a value.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, MalformedLine> {
        match self.raw(field)? {
            "" | "-" => malformed(field, "is absent"),
            text => Ok(text),
        }
    }

    /// The next field as a number, which must have a value.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, MalformedLine> {
        self.optional(field)?.ok_or_else(|| MalformedLine::new(field, "is absent"))
    }

    /// The next field as a number; `None` if it has no value.
    pub fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, MalformedLine> {
        match self.raw(field)? {
            "" | "-" => Ok(None),
            text => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => malformed(field, format!("is not a number in range: '{}'", excerpt(text))),
            },
        }
    }

    /// The next field as a finite number with a fraction; `None` if it has no value.
    pub fn figure(&mut self, field: &'static str) -> Result<Option<f64>, MalformedLine> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => malformed(field, "is not finite"),
            value => Ok(value),
        }
    }

    /// The next field as a flag; no value is `false`.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, MalformedLine> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            text => malformed(field, format!("is neither 1 nor 0: '{}'", excerpt(text))),
        }
    }

    /// There must be no further field.
    pub fn end(self) -> Result<(), MalformedLine> {
        match self.rest {
            None => Ok(()),
            Some(rest) => malformed("end of line", format!("has parts too many: '{}'", excerpt(rest))),
        }
    }

    /// All that is left of the line.
    pub fn remainder(self) -> &'a str {
        self.rest.unwrap_or("")
    }
}

/// The start of a text that may be long, for a message.
pub fn excerpt(text: &str) -> String {
    text.chars().take(MAX_SHOWN).collect()
}

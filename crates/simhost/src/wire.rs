//! Reading the parts of a wire line, with plain messages on what is malformed.

use std::str::FromStr;

/// What is wrong with a line: the field and the trouble with it.
#[derive(Debug)]
pub struct Bad {
    pub field: &'static str,
    pub trouble: String,
}

pub fn bad<T>(field: &'static str, trouble: impl Into<String>) -> Result<T, Bad> {
    Err(Bad { field, trouble: trouble.into() })
}

/// The parts of one line, taken in order.
pub struct Parts<'a> {
    rest: Option<&'a str>,
}

impl<'a> Parts<'a> {
    pub fn new(line: &'a str) -> Self {
        Parts { rest: Some(line) }
    }

    /// The next part; it may be `-` for an absent value.
    pub fn raw(&mut self, field: &'static str) -> Result<&'a str, Bad> {
        let Some(rest) = self.rest else { return bad(field, "is missing") };
        match rest.split_once('\t') {
            Some((part, rest)) => {
                self.rest = Some(rest);
                Ok(part)
            }
            None => {
                self.rest = None;
                Ok(rest)
            }
        }
    }

    /// The next part, which must be there.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, Bad> {
        match self.raw(field)? {
            "" | "-" => bad(field, "is absent"),
            part => Ok(part),
        }
    }

    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, Bad> {
        match self.optional(field)? {
            Some(value) => Ok(value),
            None => bad(field, "is absent"),
        }
    }

    pub fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, Bad> {
        match self.raw(field)? {
            "" | "-" => Ok(None),
            part => match part.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => bad(field, format!("is not a number in range: '{}'", short(part))),
            },
        }
    }

    /// A number that may be fractional, and is finite.
    pub fn figure(&mut self, field: &'static str) -> Result<Option<f64>, Bad> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => bad(field, "is not finite"),
            value => Ok(value),
        }
    }

    pub fn flag(&mut self, field: &'static str) -> Result<bool, Bad> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            part => bad(field, format!("is neither 1 nor 0: '{}'", short(part))),
        }
    }

    pub fn end(self) -> Result<(), Bad> {
        match self.rest {
            None => Ok(()),
            Some(rest) => bad("end of line", format!("has parts too many: '{}'", short(rest))),
        }
    }

    pub fn remainder(self) -> &'a str {
        self.rest.unwrap_or("")
    }
}

/// The start of a text that may be long, for a message.
pub fn short(text: &str) -> String {
    text.chars().take(40).collect()
}

//! Parsing of the first line of a client's connection: `OPEN ID KEY name=value,...`.

use super::connection_request::ConnectionRequest;
use cottonnotch_decision::Micros;
use cottonnotch_decision::names::digest;
use std::collections::HashSet;
use std::ops::Range;

/// Why a first line is rejected. The message is sent to the client.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum OpenLineError {
    #[error("the line is not text")]
    NotText,
    #[error("the line is not OPEN ID KEY NAMES")]
    NotOpen,
    #[error("no class is named")]
    NoClass,
    #[error("the figure of '{0}' cannot be read")]
    InvalidValue(&'static str),
    #[error("a name is given twice")]
    DuplicateName,
}

/// A valid first line, whose text is kept so that it can be forwarded.
#[derive(Clone, Debug)]
pub struct OpenLine {
    text: String,
    /// The byte range of the value of `d`, the client's deadline; `None` if the line has no `d`.
    deadline_value: Option<Range<usize>>,
}

impl OpenLine {
    /// Returns the client's id for this connection as the client wrote it; the log identifies the request by it.
    pub fn id(&self) -> &str {
        self.text.split(' ').nth(1).unwrap_or("-")
    }

    /// Parses a first line, given without its line end.
    pub fn parse(line: &[u8]) -> Result<(OpenLine, ConnectionRequest), OpenLineError> {
        let text = std::str::from_utf8(line).map_err(|_| OpenLineError::NotText)?;
        if !text.bytes().all(|b| b == b' ' || b.is_ascii_graphic()) {
            return Err(OpenLineError::NotText);
        }
        let (id, names) = split_words(text)?;
        let id = parse_id(id).ok_or(OpenLineError::InvalidValue("id"))?;
        let mut request = ConnectionRequest {
            id,
            class: String::new(),
            tenant: None,
            time_left: None,
            load_hint: None,
            group: None,
            is_repeat: false,
            current_endpoint: None,
        };
        let mut deadline_value = None;
        let mut start = text.len() - names.len();
        let mut seen = HashSet::new();
        for pair in names.split(',') {
            let (name, value) = pair.split_once('=').ok_or(OpenLineError::NotOpen)?;
            if name.is_empty() || !seen.insert(name) {
                return Err(OpenLineError::DuplicateName);
            }
            set_field(&mut request, name, value)?;
            if name == "d" {
                deadline_value = Some(start + "d=".len()..start + pair.len());
            }
            start += pair.len() + ",".len();
        }
        if request.class.is_empty() {
            return Err(OpenLineError::NoClass);
        }
        Ok((OpenLine { text: text.to_owned(), deadline_value }, request))
    }

    /// Returns the line for the endpoint: the client's line, with the value of `d` replaced by the time that the
    /// proxy will wait.
    pub fn forwarded(&self, wait: Option<Micros>) -> Vec<u8> {
        let text = match (&self.deadline_value, wait) {
            (Some(value), Some(wait)) => {
                let ms = (wait / 1000).max(1);
                format!("{}{ms}{}\r\n", &self.text[..value.start], &self.text[value.end..])
            }
            _ => format!("{}\r\n", self.text),
        };
        text.into_bytes()
    }
}

/// Splits a line into its four words; returns the id and the list of `name=value` pairs.
fn split_words(text: &str) -> Result<(&str, &str), OpenLineError> {
    let words: Vec<&str> = text.splitn(5, ' ').collect();
    match words[..] {
        ["OPEN", id, key, names] if !id.is_empty() && !key.is_empty() => Ok((id, names)),
        _ => Err(OpenLineError::NotOpen),
    }
}

/// Sets the field of the request that belongs to this name. Unknown names have no effect here and are forwarded.
fn set_field(request: &mut ConnectionRequest, name: &str, value: &str) -> Result<(), OpenLineError> {
    match name {
        "c" => request.class = value.to_owned(),
        "t" => request.tenant = Some(value.to_owned()).filter(|tenant| !tenant.is_empty() && tenant != "-"),
        "d" => request.time_left = Some(parse_deadline(value).ok_or(OpenLineError::InvalidValue("d"))?),
        "g" => request.group = Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| digest(value))),
        "h" => request.load_hint = Some(parse_load(value).ok_or(OpenLineError::InvalidValue("h"))?),
        "r" => request.is_repeat |= parse_flag(value).ok_or(OpenLineError::InvalidValue("r"))?,
        "again" => request.is_repeat |= parse_flag(value).ok_or(OpenLineError::InvalidValue("again"))?,
        "at" => request.current_endpoint = Some(value.to_owned()),
        _ => {}
    }
    Ok(())
}

/// Parses an id: hexadecimal digits whose value fits in 64 bits.
fn parse_id(word: &str) -> Option<u64> {
    let digits = word.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(word, 16).ok()).flatten()
}

/// Parses a deadline: a positive number of milliseconds that consists only of digits.
fn parse_deadline(value: &str) -> Option<Micros> {
    let is_number = value.bytes().all(|b| b.is_ascii_digit());
    let ms: u32 = is_number.then(|| value.parse().ok()).flatten()?;
    (ms > 0).then_some(Micros::from(ms) * 1000)
}

fn parse_load(value: &str) -> Option<f64> {
    value.parse().ok().filter(|load: &f64| load.is_finite())
}

fn parse_flag(value: &str) -> Option<bool> {
    match value {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

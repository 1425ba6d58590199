//! Parses one line's bytes to a record, or to what is wrong with them.

use crate::event::Event;
use crate::finding::Finding;
use crate::record::{Record, SCHEMA};
use crate::sequence::Step;
use serde::Deserialize;
use simd_json::OwnedValue;
use simd_json::prelude::*;

/// Levels of nesting. A record has three; a line with more than this is none, and the parser's own calls nest with it: a line of
/// nothing but brackets would overflow the stack.
const MAX_DEPTH: usize = 16;

/// What was learned from a line.
#[derive(Default)]
pub(crate) struct Parsed {
    /// The record, if the line is one that this reader knows.
    pub record: Option<Record>,
    /// Its `seq` and step in the sequence, which are known for some lines that can't be read.
    pub step: Option<(u64, Step)>,
    /// The schema, if it is newer than this reader.
    pub newer: Option<u32>,
    /// What is wrong with the line, or new in it.
    pub findings: Vec<Finding>,
}

/// The least that a line of any version has.
#[derive(Deserialize)]
struct Header {
    v: u32,
    seq: u64,
    event: String,
}

/// Parses a line without its end.
pub(crate) fn parse(line: &[u8]) -> Parsed {
    if !is_shallow(line) {
        return malformed("nested too deeply".to_owned());
    }
    // The parser works in place, and each try needs the line as it is.
    match simd_json::from_slice::<Record>(&mut line.to_vec()) {
        Ok(record) => known_record(line, record),
        Err(error) => match simd_json::from_slice::<Header>(&mut line.to_vec()) {
            Ok(header) => unreadable_record(header, &error),
            Err(_) => malformed(error.to_string()),
        },
    }
}

fn malformed(why: String) -> Parsed {
    Parsed { findings: vec![Finding::Malformed { why }], ..Parsed::default() }
}

fn known_record(line: &[u8], record: Record) -> Parsed {
    let step = match &record.event {
        Event::Start { .. } => Step::Start,
        Event::Dropped { since_seq, .. } => Step::Dropped { since: *since_seq },
        _ => Step::One,
    };
    Parsed {
        step: Some((record.seq, step)),
        newer: newer_schema(record.v),
        findings: unknown_fields(line, &record),
        record: Some(record),
    }
}

/// A line with a record's header and an event that is unknown, or whose fields can't be read.
fn unreadable_record(Header { v, seq, event }: Header, error: &simd_json::Error) -> Parsed {
    let step = if event == "start" { Step::Start } else { Step::One };
    let finding = if Event::NAMES.contains(&event.as_str()) {
        Finding::Malformed { why: format!("event '{event}' cannot be read: {error}") }
    } else {
        Finding::UnknownEvent { event }
    };
    Parsed { record: None, step: Some((seq, step)), newer: newer_schema(v), findings: vec![finding] }
}

fn newer_schema(v: u32) -> Option<u32> {
    Some(v).filter(|v| *v > SCHEMA)
}

/// Whether brackets nest as in a record.
fn is_shallow(line: &[u8]) -> bool {
    let (mut depth, mut in_text, mut escaped) = (0_usize, false, false);
    for byte in line {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_text => escaped = true,
            b'"' => in_text = !in_text,
            b'[' | b'{' if !in_text => depth += 1,
            b']' | b'}' if !in_text => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return false;
        }
    }
    true
}

/// Fields that the record as it was understood doesn't have. One that is null counts as absent.
fn unknown_fields(line: &[u8], record: &Record) -> Vec<Finding> {
    let mut known = Vec::with_capacity(line.len() + 1);
    if record.write_line(&mut known).is_err() || known.strip_suffix(b"\n") == Some(line) {
        return Vec::new();
    }
    let given = simd_json::to_owned_value(&mut line.to_vec());
    let (Ok(given), Ok(known)) = (given, simd_json::to_owned_value(&mut known)) else { return Vec::new() };
    let mut fields = Vec::new();
    compare(&given, &known, "", &mut fields);
    // In an order that doesn't depend on the parser's order of an object's fields.
    fields.sort_unstable();
    fields.dedup();
    let event = known.get_str("event").unwrap_or_default();
    fields.into_iter().map(|field| Finding::UnknownField { event: event.to_owned(), field }).collect()
}

fn compare(given: &OwnedValue, known: &OwnedValue, path: &str, unknown: &mut Vec<String>) {
    if let (Some(given), Some(known)) = (given.as_object(), known.as_object()) {
        for (name, value) in given.iter().filter(|(_, value)| !value.is_null()) {
            let field = format!("{path}{name}");
            match known.get(name) {
                Some(known) => compare(value, known, &format!("{field}."), unknown),
                None => unknown.push(field),
            }
        }
    } else if let (Some(given), Some(known)) = (given.as_array(), known.as_array()) {
        for (given, known) in given.iter().zip(known) {
            compare(given, known, path, unknown);
        }
    }
}

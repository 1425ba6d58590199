//! Reads the key `settings` of the platform's file: checks and flattens the settings, and converts them to the
//! types of the decision module.

use super::effective::Source;
use super::error::{ConfigError, ValueError};
use super::json_text::text_of;
use super::value_reader::ValueReader;
use cottonnotch_decision::settings::{self, Pairs, Profile};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The allowed deadlines and timeouts in microseconds, up to one day. Zero is not allowed, because no connection
/// could be established within it.
const DURATION_BOUNDS: Bounds = Bounds { min: 0.0, max: 86_400e6 };
/// The allowed numbers of attempts per request; no use case needs more.
const ATTEMPT_BOUNDS: Bounds = Bounds { min: 1.0, max: 1000.0 };
/// The maximum number of characters of a value that an error message shows.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// The smallest and the largest allowed value; 0 is never allowed.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    min: f64,
    max: f64,
}

/// Reads the settings, and records each value and its source.
pub fn read(reader: &mut ValueReader<'_>) -> Result<(Profile, Pairs), ConfigError> {
    let (profile, pairs) =
        parse(reader.json.get("settings")).map_err(|error| reader.error(error, Source::Json))?;
    record_settings(reader, &pairs);
    Ok((profile, pairs))
}

fn parse(settings: Option<&OwnedValue>) -> Result<(Profile, Pairs), ValueError> {
    let Some(settings) = settings else { return Err(ValueError::Missing { key: "settings" }) };
    let mut pairs = Pairs::default();
    flatten("", settings, &mut pairs);
    let mut profile = settings::read(&pairs)?;
    check_numbers(settings)?;
    check_classes(settings)?;
    if profile.settings.classes.is_empty() {
        return Err(ValueError::Missing { key: "settings.requestClasses" });
    }
    // Over sockets, the endpoint list arrives only through a watch, whichever mode the platform sets. In the mode
    // for pushed lists, `list_pushed` stays set as well, so that the decision module opens the watch at the start
    // without a delay.
    profile.settings.list_on_request = true;
    Ok((profile, pairs))
}

fn record_settings(reader: &mut ValueReader<'_>, pairs: &Pairs) {
    let lookups = pairs.lookups();
    for (key, default) in &lookups {
        let path = format!("settings.{key}");
        match (default, pairs.values.get(key)) {
            (None, Some(value)) => reader.effective.record(path, value, Source::Json),
            (default, _) => {
                let value = default.as_deref().unwrap_or_default();
                reader.effective.record(path, value, Source::Default);
            }
        }
    }
    // Records keys that no setting uses. They are ignored, but `check` prints them, which reveals a misspelt name.
    let unused: BTreeMap<&String, &String> =
        pairs.values.iter().filter(|(key, _)| !lookups.contains_key(*key)).collect();
    for (key, value) in unused {
        reader.effective.record_unused(format!("settings.{key}"), value.clone());
    }
}

/// Checks that the number of attempts and the timeout are above 0, if they are set. Otherwise a default or a clamp
/// would replace the value, and requests would stay unanswered or be given up before they are sent.
fn check_numbers(settings: &OwnedValue) -> Result<(), ValueError> {
    for (name, bounds) in [("mostTries", ATTEMPT_BOUNDS), ("connectTimeout", DURATION_BOUNDS)] {
        if let Some(value) = settings.get("policyLimits").and_then(|limits| limits.get(name)) {
            check_number(value, bounds, || format!("policyLimits.{name}"))?;
        }
    }
    Ok(())
}

/// Checks that the names of the classes are unique, and that their deadlines are above 0 if they are set.
fn check_classes(settings: &OwnedValue) -> Result<(), ValueError> {
    let classes = settings.get_array("requestClasses").map_or(&[][..], |classes| classes.as_slice());
    let mut names = BTreeSet::new();
    for (i, class) in classes.iter().enumerate() {
        let key = |name: &str| format!("requestClasses.{i}.{name}");
        if let Some(deadline) = class.get("deadline") {
            check_number(deadline, DURATION_BOUNDS, || key("deadline"))?;
        }
        let problem = match class.get_str("name").filter(|name| !name.is_empty()) {
            None => "is missing or is not a text".to_owned(),
            Some(name) if !names.insert(name) => format!("is another class's name already: '{name}'"),
            Some(_) => continue,
        };
        return Err(ValueError::Setting { key: key("name"), problem });
    }
    Ok(())
}

/// Checks that a value is a number above 0 and within the bounds.
fn check_number(value: &OwnedValue, bounds: Bounds, key: impl FnOnce() -> String) -> Result<(), ValueError> {
    let shown = || text_of(value).chars().take(MAX_SHOWN_CHARACTERS).collect::<String>();
    let Bounds { min, max } = bounds;
    // A string of digits is rejected as well: other programs that read this file may interpret it differently.
    let problem = match value.cast_f64().filter(|_| value.as_str().is_none()) {
        None => format!("is not a number: '{}'", shown()),
        Some(number) if number > 0.0 && number >= min && number <= max => return Ok(()),
        Some(_) => format!("is not a number above 0 and at most {max}: '{}'", shown()),
    };
    Err(ValueError::Setting { key: key(), problem })
}

/// Flattens nested settings into pairs of a path and a value, which is the format of the simulator's first message.
fn flatten(path: &str, value: &OwnedValue, pairs: &mut Pairs) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let Some(object) = value.as_object() {
        for (name, value) in object.iter() {
            flatten(&child_path(name), value, pairs);
        }
    } else if let Some(list) = value.as_array() {
        if list.iter().any(|item| item.is_object()) {
            pairs.values.insert(child_path("count"), list.len().to_string());
            for (i, item) in list.iter().enumerate() {
                flatten(&child_path(&i.to_string()), item, pairs);
            }
        } else {
            let items: Vec<String> = list.iter().map(text_of).collect();
            pairs.values.insert(path.to_owned(), items.join(","));
        }
    } else {
        pairs.values.insert(path.to_owned(), text_of(value));
    }
}

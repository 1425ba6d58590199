//! Formatting of JSON values as text.

use simd_json::OwnedValue;
use simd_json::prelude::*;

/// Formats a value as text: a string without its quotes, null as `-`, anything else as JSON.
pub fn text_of(value: &OwnedValue) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None if value.is_null() => "-".to_owned(),
        None => value.encode(),
    }
}

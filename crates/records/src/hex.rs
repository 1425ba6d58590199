//! Numbers of 64 bits in JSON.

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use std::fmt;

/// A number of 64 bits as 16 hexadecimal digits: many readers of JSON keep only 53 bits of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Hex(pub u64);

impl fmt::Display for Hex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for Hex {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // By hand: through `Display` it would be put together in a string of its own first.
        let mut digits = [0; 16];
        for (i, digit) in digits.iter_mut().enumerate() {
            *digit = b"0123456789abcdef"[(self.0 >> (60 - 4 * i)) as usize & 15];
        }
        serializer.serialize_str(std::str::from_utf8(&digits).map_err(serde::ser::Error::custom)?)
    }
}

impl<'de> Deserialize<'de> for Hex {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Digits;
        impl Visitor<'_> for Digits {
            type Value = Hex;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("1 to 16 hexadecimal digits")
            }
            fn visit_str<E: de::Error>(self, text: &str) -> Result<Hex, E> {
                let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
                let number = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
                number.map(Hex).ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        deserializer.deserialize_str(Digits)
    }
}

//! Deserializes lists of bounded length.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// Deserializes a list of at most `MAX` entries. The bound limits memory use: a rule takes far more memory than it takes
/// bytes on the wire.
pub(crate) fn bounded_list<'de, D: Deserializer<'de>, T: Deserialize<'de>, const MAX: usize>(
    from: D,
) -> Result<Vec<T>, D::Error> {
    struct BoundedList<T, const MAX: usize>(PhantomData<T>);
    impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for BoundedList<T, MAX> {
        type Value = Vec<T>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "at most {MAX} entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Vec<T>, A::Error> {
            let mut entries = Vec::new();
            while let Some(entry) = from.next_element()? {
                if entries.len() == MAX {
                    return Err(serde::de::Error::invalid_length(MAX + 1, &self));
                }
                entries.push(entry);
            }
            Ok(entries)
        }
    }
    from.deserialize_seq(BoundedList::<T, MAX>(PhantomData))
}

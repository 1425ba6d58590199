//! Values of a scenario: a number, or two bounds between which each run draws a number.

use crate::time::{Micros, S};
use rand::{Rng, RngExt};
use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use std::fmt;

/// A value of a scenario: `5` is a fixed number, and `[2, 5]` is drawn from the uniform distribution between the
/// bounds. Both bounds are finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// Lower bound.
    pub least: f64,
    /// Upper bound.
    pub most: f64,
}

impl Range {
    /// Creates a range with these bounds.
    pub const fn new(least: f64, most: f64) -> Self {
        Range { least, most }
    }

    /// Draws a number.
    pub fn draw(&self, chance: &mut impl Rng) -> f64 {
        // A random number is consumed even if the bounds are equal, so that replacing a range with a fixed number
        // does not change the values drawn after it.
        self.least + (self.most - self.least) * chance.random::<f64>()
    }

    /// Draws a duration from a range in seconds.
    pub fn draw_s(&self, chance: &mut impl Rng) -> Micros {
        micros(self.draw(chance))
    }

    /// Draws a duration from a range in milliseconds.
    pub fn draw_ms(&self, chance: &mut impl Rng) -> Micros {
        micros(self.draw(chance) / 1e3)
    }

    /// Draws an integer, both bounds included.
    pub fn draw_count(&self, chance: &mut impl Rng) -> u32 {
        let (least, most) = (self.least.ceil(), self.most.floor());
        (least + ((most - least + 1.0) * chance.random::<f64>()).floor()).clamp(least, most.max(least)) as u32
    }

    /// Multiplies both bounds by a factor.
    pub fn times(self, factor: f64) -> Self {
        Range { least: self.least * factor, most: self.most * factor }
    }
}

/// Converts seconds to microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * S as f64).round() as Micros
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RangeVisitor)
    }
}

struct RangeVisitor;

impl RangeVisitor {
    fn between<E: de::Error>(least: f64, most: f64) -> Result<Range, E> {
        if !(least.is_finite() && most.is_finite()) {
            return Err(E::custom("must be a finite number"));
        }
        if least < 0.0 {
            return Err(E::custom(format!("must not be negative: {least}")));
        }
        if most < least {
            return Err(E::custom(format!("[{least}, {most}] is reversed: the lower bound comes first")));
        }
        Ok(Range { least, most })
    }
}

impl<'de> Visitor<'de> for RangeVisitor {
    type Value = Range;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number, or [least, most]")
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
        Self::between(value, value)
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
        Self::between(value as f64, value as f64)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
        let (Some(least), Some(most), None) =
            (seq.next_element::<f64>()?, seq.next_element::<f64>()?, seq.next_element::<f64>()?)
        else {
            return Err(de::Error::custom("must be a number, or two: [least, most]"));
        };
        Self::between(least, most)
    }
}

/// A range of durations. A value in the file is used as it is; a default is multiplied by the scenario's `scale`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    range: Range,
    written: bool,
}

impl Span {
    /// Creates a default range, which the scenario's `scale` applies to.
    pub const fn usual(least: f64, most: f64) -> Self {
        Span { range: Range::new(least, most), written: false }
    }

    /// Returns the range under the scenario's `scale`.
    pub fn at(&self, scale: f64) -> Range {
        if self.written { self.range } else { self.range.times(scale) }
    }

    /// Whether the value comes from the file.
    pub fn is_written(&self) -> bool {
        self.written
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Span { range: Range::deserialize(deserializer)?, written: true })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_chacha::ChaCha8Rng;
    use rand_chacha::rand_core::SeedableRng;

    #[test]
    fn whole_numbers_reach_both_bounds_and_no_further() {
        let mut chance = ChaCha8Rng::seed_from_u64(1);
        let mut seen = [0; 6];
        for _ in 0..300 {
            seen[Range::new(2.0, 4.0).draw_count(&mut chance) as usize] += 1;
        }
        assert_eq!((seen[0], seen[1], seen[5]), (0, 0, 0));
        assert!(seen[2..=4].iter().all(|n| *n > 60), "{seen:?}");
    }

    #[test]
    fn only_usual_spans_are_scaled() {
        #[derive(serde::Deserialize)]
        struct File {
            life_s: Span,
        }
        let file: File = toml::from_str("life_s = [4, 8]").unwrap();
        assert_eq!(file.life_s.at(0.1), Range::new(4.0, 8.0));
        assert_eq!(Span::usual(40.0, 80.0).at(0.1), Range::new(4.0, 8.0));
    }
}

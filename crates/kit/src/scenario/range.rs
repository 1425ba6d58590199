//! Figures of a scenario: a number, or two bounds between which each run draws one.

use crate::time::{Micros, S};
use rand::{Rng, RngExt};
use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use std::fmt;

/// A figure: `5` for always the same, `[2, 5]` for one drawn evenly between. Never negative, always finite.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The least that may be drawn.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Range {
    /// Between these bounds.
    pub const fn new(least: f64, most: f64) -> Self {
        Range { least, most }
    }

    /// One figure.
    pub fn draw(&self, chance: &mut impl Rng) -> f64 {
        // A figure is taken from the stream in any case, so that a range can become a number without moving
        // what is drawn after it.
        self.least + (self.most - self.least) * chance.random::<f64>()
    }

    /// One span, from a figure in seconds.
    pub fn draw_s(&self, chance: &mut impl Rng) -> Micros {
        micros(self.draw(chance))
    }

    /// One span, from a figure in milliseconds.
    pub fn draw_ms(&self, chance: &mut impl Rng) -> Micros {
        micros(self.draw(chance) / 1e3)
    }

    /// One whole number, both bounds included.
    pub fn draw_count(&self, chance: &mut impl Rng) -> u32 {
        let (least, most) = (self.least.ceil(), self.most.floor());
        (least + ((most - least + 1.0) * chance.random::<f64>()).floor()).clamp(least, most.max(least)) as u32
    }

    /// Both bounds times this.
    pub fn times(self, factor: f64) -> Self {
        Range { least: self.least * factor, most: self.most * factor }
    }
}

/// Seconds as microseconds.
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
            return Err(E::custom(format!("[{least}, {most}] is upside down: the least comes first")));
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

/// A span of time. What a file writes itself is taken as written; what it leaves to the operators' figures is
/// shortened by the scenario's `scale`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    range: Range,
    written: bool,
}

impl Span {
    /// The operators' figure.
    pub const fn usual(least: f64, most: f64) -> Self {
        Span { range: Range::new(least, most), written: false }
    }

    /// The span that holds where lives and faults are so many times as long as the operators'.
    pub fn at(&self, scale: f64) -> Range {
        if self.written { self.range } else { self.range.times(scale) }
    }

    /// Whether a file says it.
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

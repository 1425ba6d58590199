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
    pub min: f64,
    /// Upper bound.
    pub max: f64,
}

impl Range {
    /// Creates a range with these bounds.
    pub const fn new(min: f64, max: f64) -> Self {
        Range { min, max }
    }

    /// Draws a number.
    pub fn draw(&self, rng: &mut impl Rng) -> f64 {
        // A random number is consumed even if the bounds are equal, so that replacing a range with a fixed number
        // does not change the values drawn after it.
        self.min + (self.max - self.min) * rng.random::<f64>()
    }

    /// Draws a duration from a range in seconds.
    pub fn draw_s(&self, rng: &mut impl Rng) -> Micros {
        micros(self.draw(rng))
    }

    /// Draws a duration from a range in milliseconds.
    pub fn draw_ms(&self, rng: &mut impl Rng) -> Micros {
        micros(self.draw(rng) / 1e3)
    }

    /// Draws an integer, both bounds included.
    pub fn draw_count(&self, rng: &mut impl Rng) -> u32 {
        let (min, max) = (self.min.ceil(), self.max.floor());
        (min + ((max - min + 1.0) * rng.random::<f64>()).floor()).clamp(min, max.max(min)) as u32
    }

    /// Multiplies both bounds by a factor.
    pub fn multiplied(self, factor: f64) -> Self {
        Range { min: self.min * factor, max: self.max * factor }
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
    fn from_bounds<E: de::Error>(min: f64, max: f64) -> Result<Range, E> {
        if !(min.is_finite() && max.is_finite()) {
            return Err(E::custom("must be a finite number"));
        }
        if min < 0.0 {
            return Err(E::custom(format!("must not be negative: {min}")));
        }
        if max < min {
            return Err(E::custom(format!("[{min}, {max}] is reversed: the lower bound comes first")));
        }
        Ok(Range { min, max })
    }
}

impl<'de> Visitor<'de> for RangeVisitor {
    type Value = Range;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number, or [least, most]")
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
        Self::from_bounds(value, value)
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
        Self::from_bounds(value as f64, value as f64)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
        let (Some(min), Some(max), None) =
            (seq.next_element::<f64>()?, seq.next_element::<f64>()?, seq.next_element::<f64>()?)
        else {
            return Err(de::Error::custom("must be a number, or two: [least, most]"));
        };
        Self::from_bounds(min, max)
    }
}

/// A range of durations. A value in the file is used as it is; a default is multiplied by the scenario's `scale`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DurationRange {
    range: Range,
    explicit: bool,
}

impl DurationRange {
    /// Creates a default range, which the scenario's `scale` applies to.
    pub const fn scalable(min: f64, max: f64) -> Self {
        DurationRange { range: Range::new(min, max), explicit: false }
    }

    /// Returns the range under the scenario's `scale`.
    pub fn scaled(&self, scale: f64) -> Range {
        if self.explicit { self.range } else { self.range.multiplied(scale) }
    }

    /// Whether the value comes from the file.
    pub fn is_explicit(&self) -> bool {
        self.explicit
    }
}

impl<'de> Deserialize<'de> for DurationRange {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(DurationRange { range: Range::deserialize(deserializer)?, explicit: true })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_chacha::ChaCha8Rng;
    use rand_chacha::rand_core::SeedableRng;

    #[test]
    fn drawn_integers_include_both_bounds_and_nothing_beyond() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut seen = [0; 6];
        for _ in 0..300 {
            seen[Range::new(2.0, 4.0).draw_count(&mut rng) as usize] += 1;
        }
        assert_eq!((seen[0], seen[1], seen[5]), (0, 0, 0));
        assert!(seen[2..=4].iter().all(|n| *n > 60), "{seen:?}");
    }

    #[test]
    fn only_default_durations_are_scaled() {
        #[derive(serde::Deserialize)]
        struct File {
            life_s: DurationRange,
        }
        let file: File = toml::from_str("life_s = [4, 8]").unwrap();
        assert_eq!(file.life_s.scaled(0.1), Range::new(4.0, 8.0));
        assert_eq!(DurationRange::scalable(40.0, 80.0).scaled(0.1), Range::new(4.0, 8.0));
    }
}

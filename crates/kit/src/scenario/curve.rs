//! A factor that changes over time, given as a list of points.

use serde::de::{self, Deserialize, Deserializer};

/// Pairs of a time, in seconds of the measured part, and the factor at that time. The factor is interpolated linearly
/// between two points, and constant before the first and after the last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Curve(Vec<(f64, f64)>);

impl Curve {
    /// Returns the factor at time `s`; 1 if there are no points.
    pub fn at(&self, s: f64) -> f64 {
        let next = self.0.partition_point(|(at, _)| *at <= s);
        match (next.checked_sub(1).map(|i| self.0[i]), self.0.get(next).copied()) {
            (None, None) => 1.0,
            (Some((_, level)), None) | (None, Some((_, level))) => level,
            (Some((from, low)), Some((to, high))) => low + (high - low) * (s - from) / (to - from),
        }
    }

    /// Returns the highest factor; 1 if there are no points.
    pub fn max_factor(&self) -> f64 {
        self.0.iter().map(|(_, factor)| *factor).reduce(f64::max).unwrap_or(1.0)
    }

    /// Whether there are no points.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<'de> Deserialize<'de> for Curve {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let points = Vec::<(f64, f64)>::deserialize(deserializer)?;
        if points
            .iter()
            .any(|(s, factor)| !(s.is_finite() && factor.is_finite() && *s >= 0.0 && *factor >= 0.0))
        {
            return Err(de::Error::custom("times and factors must be finite and not negative"));
        }
        if !points.windows(2).all(|pair| pair[0].0 < pair[1].0) {
            return Err(de::Error::custom("the times of the points must increase: [[0, 1.0], [10, 2.0]]"));
        }
        Ok(Curve(points))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn interpolates_between_points_and_is_constant_outside() {
        let curve = Curve(vec![(10.0, 1.0), (20.0, 3.0)]);
        assert_eq!([0.0, 10.0, 15.0, 20.0, 99.0].map(|s| curve.at(s)), [1.0, 1.0, 2.0, 3.0, 3.0]);
        assert_eq!((curve.max_factor(), Curve::default().at(4.0)), (3.0, 1.0));
    }
}

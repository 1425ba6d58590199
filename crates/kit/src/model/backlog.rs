//! The backlog of work, modeled as a fluid: connections add work at a rate, and the render node completes work at
//! a rate. Between two events the demand is constant and the capacity rises linearly or is constant, so the
//! integration is exact.

use crate::time::Micros;

/// The capacity of a render node over time: it rises linearly from a share of the full capacity, and then stays
/// constant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// The time at which the ramp starts.
    pub start: Micros,
    /// Share of the full capacity at the start; 1 for a warm node.
    pub initial_share: f64,
    /// Duration of the ramp.
    pub warm_up: Micros,
    /// The full capacity, in seconds of a standard core's work per second.
    pub full_capacity: f64,
}

impl Ramp {
    /// The ramp of a node that has its full capacity from the start.
    pub fn warm(full_capacity: f64) -> Self {
        Ramp { start: 0, initial_share: 1.0, warm_up: 0, full_capacity }
    }

    /// The time at which the node reaches its full capacity.
    pub fn full_at(&self) -> Micros {
        self.start.saturating_add(self.warm_up)
    }

    /// The current share of the full capacity.
    pub fn share(&self, now: Micros) -> f64 {
        // With a warm-up of 0, the capacity is full at the start itself.
        if now >= self.full_at() {
            return 1.0;
        }
        let part = (now - self.start) as f64 / self.warm_up.max(1) as f64;
        self.initial_share + (1.0 - self.initial_share) * part.clamp(0.0, 1.0)
    }

    /// The current capacity, in seconds of work per second.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.full_capacity * self.share(now)
    }

    /// The increase of the capacity per second.
    fn slope(&self, now: Micros) -> f64 {
        if now >= self.full_at() {
            return 0.0;
        }
        self.full_capacity * (1.0 - self.initial_share) / seconds(self.warm_up)
    }
}

/// Work that was requested and is not yet done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    at: Micros,
    work: f64,
}

impl Backlog {
    /// Advances to the time `to`, with a demand of `demand` seconds of work per second. A time in the past changes
    /// nothing.
    pub fn advance(&mut self, to: Micros, demand: f64, ramp: &Ramp) {
        while self.at < to {
            let warm = ramp.full_at();
            let end = if self.at < warm { to.min(warm) } else { to };
            let net = demand - ramp.capacity(self.at);
            self.work = backlog_after(self.work, net, ramp.slope(self.at), seconds(end - self.at));
            self.at = end;
        }
    }

    /// Adds work at once.
    pub fn add(&mut self, work: f64) {
        self.work += work;
    }

    /// Removes this share of the backlog.
    pub fn remove_share(&mut self, share: f64) {
        self.work *= 1.0 - share.clamp(0.0, 1.0);
    }

    /// The time, in seconds, that the render node needs for the backlog at its current capacity.
    pub fn seconds(&self, ramp: &Ramp) -> f64 {
        self.work / ramp.capacity(self.at).max(f64::MIN_POSITIVE)
    }

    /// The time at which the backlog exceeds `limit` seconds if the demand stays the same. `None` if the backlog
    /// will not grow that far, or if it is beyond the limit and does not grow.
    pub fn exceeds_at(&self, limit: f64, demand: f64, ramp: &Ramp) -> Option<Micros> {
        let mut from = *self;
        loop {
            let (capacity, slope) = (ramp.capacity(from.at), ramp.slope(from.at));
            // work(t) - limit * capacity(t) = c + b t - slope t^2 / 2
            let b = demand - capacity - limit * slope;
            let c = from.work - limit * capacity;
            let root = b * b + 2.0 * slope * c;
            let after = if b <= 0.0 {
                None
            } else if c >= 0.0 {
                Some(0.0)
            } else {
                (root >= 0.0).then(|| -2.0 * c / (b + root.sqrt()))
            };
            // A time more than a century ahead counts as never, which also keeps the sum within the range of its
            // type.
            let at = after.filter(|s| *s < 3e9).map(|s| from.at + (s * 1e6).ceil() as Micros);
            if from.at >= ramp.full_at() {
                return at;
            }
            if let Some(at) = at.filter(|at| *at <= ramp.full_at()) {
                return Some(at);
            }
            from.advance(ramp.full_at(), demand, ramp);
        }
    }
}

/// The backlog after `dt` seconds. It initially grows by `net` per second, and this rate decreases by `slope` each
/// second.
fn backlog_after(work: f64, net: f64, slope: f64, dt: f64) -> f64 {
    let root = (net * net + 2.0 * slope * work).sqrt();
    let empty = if net < 0.0 {
        2.0 * work / (root - net)
    } else if slope > 0.0 {
        (net + root) / slope
    } else {
        f64::INFINITY
    };
    // An empty backlog stays empty: the demand is below the capacity by then, and the capacity does not decrease.
    if dt >= empty { 0.0 } else { (work + net * dt - slope * dt * dt / 2.0).max(0.0) }
}

/// Converts a duration to seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::time::{MS, S};
    use proptest::prelude::*;

    /// Reference implementation that integrates in small steps.
    fn step_by_step(backlog: Backlog, to: Micros, demand: f64, ramp: &Ramp) -> f64 {
        let step = 20;
        let mut work = backlog.work;
        let mut at = backlog.at;
        while at < to {
            let middle = (ramp.capacity(at) + ramp.capacity(at + step)) / 2.0;
            work = (work + (demand - middle) * seconds(step)).max(0.0);
            at += step;
        }
        work
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn exact_integration_agrees_with_small_steps(
            work in 0.0..2.0_f64, demand in 0.0..4.0_f64, full_capacity in 0.2..3.0_f64,
            initial_share in 0.2..1.0_f64,
            warm_up in 0..1_500_i64, pieces in prop::collection::vec(1..400_i64, 1..6),
        ) {
            let ramp = Ramp { start: 0, initial_share, warm_up: warm_up * MS, full_capacity };
            let mut backlog = Backlog { at: 0, work };
            let end = pieces.iter().sum::<i64>() * MS;
            let expected = step_by_step(backlog, end, demand, &ramp);
            for piece in pieces {
                backlog.advance(backlog.at + piece * MS, demand, &ramp);
            }
            prop_assert!((backlog.work - expected).abs() < 1e-3, "{} and {expected}", backlog.work);
        }

        #[test]
        fn exceeds_at_returns_the_first_time(
            work in 0.0..0.5_f64, demand in 0.0..4.0_f64, full_capacity in 0.2..3.0_f64,
            initial_share in 0.2..1.0_f64,
            warm_up in 0..3_000_i64, limit in 0.05..1.0_f64,
        ) {
            let ramp = Ramp { start: 0, initial_share, warm_up: warm_up * MS, full_capacity };
            let start = Backlog { at: 0, work };
            let found = start.exceeds_at(limit, demand, &ramp);
            let grows =
                |backlog: &Backlog| demand - ramp.capacity(backlog.at) - limit * ramp.slope(backlog.at) > 0.0;
            for at in (0..5 * S).step_by(10_000) {
                let mut backlog = start;
                backlog.advance(at, demand, &ramp);
                let beyond = backlog.seconds(&ramp) > limit + 1e-6 && grows(&backlog);
                prop_assert!(!beyond || found.is_some_and(|f| f <= at + 10_000), "at {at}, found {found:?}");
            }
            if let Some(at) = found {
                let mut backlog = start;
                backlog.advance(at, demand, &ramp);
                prop_assert!(backlog.seconds(&ramp) >= limit - 1e-5, "{} at {at}", backlog.seconds(&ramp));
            }
        }
    }

    #[test]
    fn without_a_warm_up_the_capacity_is_full_at_once() {
        let ramp = Ramp { start: 0, initial_share: 0.2, warm_up: 0, full_capacity: 2.0 };
        let mut backlog = Backlog::default();
        backlog.advance(S, 1.5, &ramp);
        assert_eq!(backlog.seconds(&ramp), 0.0);
    }

    #[test]
    fn the_backlog_drains_once_the_demand_is_below_the_capacity() {
        let ramp = Ramp::warm(2.0);
        let mut backlog = Backlog::default();
        backlog.advance(2 * S, 3.0, &ramp);
        assert!((backlog.seconds(&ramp) - 1.0).abs() < 1e-9);
        backlog.advance(3 * S, 1.0, &ramp);
        assert!((backlog.seconds(&ramp) - 0.5).abs() < 1e-9);
        backlog.advance(9 * S, 1.0, &ramp);
        assert_eq!(backlog.seconds(&ramp), 0.0);
    }
}

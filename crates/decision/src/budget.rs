//! Limits on the rate at which this node opens new connections to a server that is warming up, or that was
//! overloaded or failed recently, and the token buckets that enforce these limits.

use crate::interface::{Micros, SECOND, Settings};

/// Length of the ramp after a server was overloaded or failed. The limit starts at the server's usual rate,
/// rises by that rate each second, and is lifted after this time.
const RECOVERY_RAMP: Micros = 10 * SECOND;
/// Fraction of a warming server's budget that the nodes use. The rest absorbs random variation and the
/// unequal shares of the nodes.
const WARM_UP_BUDGET_USED: f64 = 0.5;

/// How long servers that left the list still count towards the size of the fleet. Processes that die
/// together are back after half a minute at most, according to the operators; this is twice as long.
/// Without this end, a fleet that was made smaller would fill slowly forever.
const LOST_SERVERS_COUNT_FOR: Micros = 60 * SECOND;

/// The total size of the servers, including those that left the list recently.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetTotal {
    highest: f64,
    current: f64,
    /// Since when `current` is below `highest`; `None` if it is not.
    reduced_since: Option<Micros>,
}

impl FleetTotal {
    /// Records the total size of the ready servers after a change of the list.
    pub(crate) fn record(&mut self, now: Micros, size: f64) {
        if size >= self.highest || self.is_reduction_permanent(now) {
            (self.highest, self.reduced_since) = (size, None);
        } else {
            self.reduced_since = self.reduced_since.or(Some(now));
        }
        self.current = size;
    }

    /// Records the total size of the same ready servers in other units. Servers that left the list count in the
    /// same proportion as before.
    pub(crate) fn restate(&mut self, size: f64) {
        if self.current > 0.0 {
            self.highest *= size / self.current;
        }
        self.current = size;
    }

    /// Returns the size over which a budget of the whole fleet is distributed.
    pub(crate) fn size(&self, now: Micros) -> f64 {
        if self.is_reduction_permanent(now) { self.current } else { self.highest }
    }

    fn is_reduction_permanent(&self, now: Micros) -> bool {
        self.reduced_since.is_some_and(|since| now - since >= LOST_SERVERS_COUNT_FOR)
    }
}

/// Rates of new connections from this node to a server of size 1, per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsualRates {
    /// The average rate.
    pub(crate) per_size: f64,
    /// The rate at which the server fills up within its warm-up.
    pub(crate) fill: f64,
}

/// A limit on the rate of new connections to one server. It prevents bursts: after a reconnect storm, the
/// turns of a warming server alone would overload it, and trials by many nodes would keep a full server
/// full. Each node keeps to its share of the usual rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SetupLimit {
    per_s: f64,
    /// For a warming server: the tokens that accrue in one [`Settings::overload_window`]. `None` if tokens
    /// do not expire.
    per_window: Option<f64>,
}

impl SetupLimit {
    /// Returns the limit for a server of this size that started at `started` and was last overloaded or
    /// failed at `last_tripped_at`; `None` if its rate is not limited.
    pub(crate) fn of(
        settings: &Settings,
        now: Micros,
        usual: UsualRates,
        size: f64,
        started: Option<Micros>,
        last_tripped_at: Option<Micros>,
    ) -> Option<SetupLimit> {
        let capacity_share = started.map_or(1.0, |at| settings.share_at(now.saturating_sub(at)));
        let warm_up_rate = (capacity_share < 1.0).then_some(
            capacity_share * settings.overload_multiple.max(1.0) * WARM_UP_BUDGET_USED * usual.fill,
        );
        let elapsed = last_tripped_at.map(|at| (now - at).max(0)).filter(|elapsed| *elapsed < RECOVERY_RAMP);
        let recovery_rate = elapsed.map(|elapsed| usual.per_size * (1.0 + elapsed as f64 / SECOND as f64));
        let rate = warm_up_rate.unwrap_or(f64::INFINITY).min(recovery_rate.unwrap_or(f64::INFINITY));
        let per_s = rate * size;
        // Without a configured window, tokens do not expire. A window below 100 ms is treated as 100 ms,
        // because timers are no finer than that.
        let window_s = settings.overload_window.max(SECOND / 10) as f64 / SECOND as f64;
        let per_window = warm_up_rate.filter(|_| settings.overload_window > 0).map(|_| per_s * window_s);
        per_s.is_finite().then_some(SetupLimit { per_s, per_window })
    }

    /// Returns a limit of `per_s` connections per second for a server that is not warming up.
    pub(crate) fn at_rate(per_s: f64) -> SetupLimit {
        SetupLimit { per_s, per_window: None }
    }

    /// Returns the time until `tokens` reaches one whole token.
    fn time_to_token(self, tokens: f64) -> Micros {
        ((1.0 - tokens).max(0.0) * SECOND as f64 / self.per_s.max(1e-6)) as Micros
    }

    /// Returns the number of tokens after `passed` more microseconds. If the node gets less than one token
    /// per window, a whole token expires one window after it became whole. Otherwise every node would have
    /// a token to spend when many clients arrive after a quiet time. The next token accrues as if the
    /// expired one had been spent.
    fn refilled(self, tokens: f64, passed: Micros) -> f64 {
        let tokens = tokens + self.per_s * passed.max(0) as f64 / SECOND as f64;
        match self.per_window {
            Some(per_window) if per_window < 1.0 && tokens >= 1.0 => {
                let fraction = tokens.fract();
                if fraction < per_window { 1.0 + fraction } else { fraction }
            }
            _ => tokens.min(1.0),
        }
    }
}

/// Token bucket that enforces a server's [`SetupLimit`]. Each new connection costs one token.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SetupBudget {
    tokens: f64,
    refilled_at: Micros,
}

impl SetupBudget {
    pub(crate) fn new(tokens: f64, now: Micros) -> Self {
        SetupBudget { tokens, refilled_at: now }
    }

    /// Adds the tokens that `limit` allowed since the last refill. Without a limit the number of tokens
    /// does not change.
    pub(crate) fn refill(&mut self, limit: Option<SetupLimit>, now: Micros) {
        if let Some(limit) = limit {
            self.tokens = limit.refilled(self.tokens, now - self.refilled_at);
        }
        self.refilled_at = now;
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one token, or the remaining fraction of one.
    pub(crate) fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns when the next whole token is available under `limit`.
    pub(crate) fn next_token_at(&self, limit: Option<SetupLimit>) -> Micros {
        let wait = limit.map_or(0, |limit| limit.time_to_token(self.tokens));
        self.refilled_at.saturating_add(wait)
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;

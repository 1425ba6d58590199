//! New connections that a server may get from this node while it warms up or was overloaded lately: how fast, and what
//! is saved of them.

use crate::interface::{Micros, SECOND, Settings};

/// After a pause a server takes new connections at its usual rate, rising by as much each second; after this time it is
/// bounded no more.
const RECOVERY_RAMP: Micros = 10 * SECOND;
/// Part of a warming server's budget that is used; the rest is for chance and for the nodes' unequal shares.
const WARM_UP_BUDGET_USED: f64 = 0.5;

/// Servers that are out are counted on for so long: processes that die together are back after half a minute at most, by the
/// operators' brief. Chosen: twice that. After it the list is what there is, or a fleet that was made smaller would fill slowly for ever.
const COUNTED_ON_FOR: Micros = 60 * SECOND;

/// The weight of all servers, those included that were listed lately and are out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetTotal {
    most: f64,
    current: f64,
    /// Since when there is less than the most.
    reduced_since: Option<Micros>,
}

impl FleetTotal {
    /// Records the weight of a new list's ready servers.
    pub(crate) fn record(&mut self, now: Micros, weight: f64) {
        if weight >= self.most || self.is_reduced_for_good(now) {
            (self.most, self.reduced_since) = (weight, None);
        } else {
            self.reduced_since = self.reduced_since.or(Some(now));
        }
        self.current = weight;
    }

    /// What a budget for the whole fleet is spread over.
    pub(crate) fn weight(&self, now: Micros) -> f64 {
        if self.is_reduced_for_good(now) { self.current } else { self.most }
    }

    fn is_reduced_for_good(&self, now: Micros) -> bool {
        self.reduced_since.is_some_and(|since| now - since >= COUNTED_ON_FOR)
    }
}

/// New connections a second that a server of weight 1 gets from this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsualRates {
    /// Usually.
    pub(crate) per_weight: f64,
    /// To be full after its warm-up.
    pub(crate) fill: f64,
}

/// A bound on new connections to one server. Guards against bursts: after a reconnect storm the turns of a warming server
/// alone would push it over, and trials by many nodes keep a full server full. Each node keeps to its share of the usual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SetupLimit {
    per_s: f64,
    /// Of a warming server: what one window of the settings ([`Settings::overload_window`]) brings.
    per_window: Option<f64>,
}

impl SetupLimit {
    /// The limit on a server of that weight that started then and was last overloaded then; `None`: there is none.
    pub(crate) fn of(
        settings: &Settings,
        now: Micros,
        usual: UsualRates,
        weight: f64,
        started: Option<Micros>,
        overloaded_at: Option<Micros>,
    ) -> Option<SetupLimit> {
        let share = started.map_or(1.0, |at| settings.share_at(now.saturating_sub(at)));
        let warming = (share < 1.0)
            .then_some(share * settings.overload_multiple.max(1.0) * WARM_UP_BUDGET_USED * usual.fill);
        let since = overloaded_at.map(|at| (now - at).max(0)).filter(|since| *since < RECOVERY_RAMP);
        let recovering = since.map(|since| usual.per_weight * (1.0 + since as f64 / SECOND as f64));
        let rate = warming.unwrap_or(f64::INFINITY).min(recovering.unwrap_or(f64::INFINITY));
        let per_s = rate * weight;
        // Without a window nothing lapses; and none is shorter than what timers tell apart.
        let window_s = settings.overload_window.max(SECOND / 10) as f64 / SECOND as f64;
        let per_window = warming.filter(|_| settings.overload_window > 0).map(|_| per_s * window_s);
        per_s.is_finite().then_some(SetupLimit { per_s, per_window })
    }

    /// A bare rate, on a server that is warm.
    pub(crate) fn at_rate(per_s: f64) -> SetupLimit {
        SetupLimit { per_s, per_window: None }
    }

    /// How long until so many tokens have become a whole one.
    fn time_to_token(self, tokens: f64) -> Micros {
        ((1.0 - tokens).max(0.0) * SECOND as f64 / self.per_s.max(1e-6)) as Micros
    }

    /// The tokens after so much more time. A budget that many nodes have a small share of each is not saved for longer than
    /// a window: else a crowd that comes after a quiet time finds all of them with one to spend. What lapses comes again in
    /// its turn.
    fn refilled(self, tokens: f64, passed: Micros) -> f64 {
        let tokens = tokens + self.per_s * passed.max(0) as f64 / SECOND as f64;
        match self.per_window {
            Some(per_window) if per_window < 1.0 && tokens >= 1.0 => {
                let turn = tokens.fract();
                if turn < per_window { 1.0 + turn } else { turn }
            }
            _ => tokens.min(1.0),
        }
    }
}

/// What is saved of a server's [`SetupLimit`]: a new connection costs one token.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SetupBudget {
    tokens: f64,
    refilled_at: Micros,
}

impl SetupBudget {
    pub(crate) fn new(tokens: f64, now: Micros) -> Self {
        SetupBudget { tokens, refilled_at: now }
    }

    /// Adds what the limit allowed since the last time; without a limit the tokens stay as they are.
    pub(crate) fn refill(&mut self, limit: Option<SetupLimit>, now: Micros) {
        if let Some(limit) = limit {
            self.tokens = limit.refilled(self.tokens, now - self.refilled_at);
        }
        self.refilled_at = now;
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a token, or what there is of one.
    pub(crate) fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// When there will be a token under this limit.
    pub(crate) fn next_token_at(&self, limit: Option<SetupLimit>) -> Micros {
        let short = limit.map_or(0, |limit| limit.time_to_token(self.tokens));
        self.refilled_at.saturating_add(short)
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;

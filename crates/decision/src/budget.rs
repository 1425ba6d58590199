//! New connections that a cold or strained server may get from this node: how fast, and what is saved of them.

use crate::interface::{Micros, Settings};

const SECOND: Micros = 1_000_000;
/// After a pause a server takes new connections at its usual rate, rising by as much each second; after this it is bounded no
/// more.
const EASE: Micros = 10 * SECOND;
/// Quota of a cold server's budget that is used; the rest is for chance and for the nodes' unequal parts.
const COLD_BUDGET_USED: f64 = 0.5;

/// Servers that are out are counted on for so long: processes that die together are back after half a minute at most, by the
/// operators' brief. Chosen: twice that. After it the list is what there is, or a fleet that was made smaller would fill slowly for ever.
const OUT: Micros = 60 * SECOND;

/// The weight of all servers, those counted on that were listed lately and are out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetTotal {
    most: f64,
    now: f64,
    /// Since when there is less than the most.
    less: Option<Micros>,
}

impl FleetTotal {
    /// A list has come: its ready servers have this weight.
    pub(crate) fn listed(&mut self, now: Micros, weight: f64) {
        if weight >= self.most || self.less.is_some_and(|since| now - since >= OUT) {
            (self.most, self.less) = (weight, None);
        } else {
            self.less = self.less.or(Some(now));
        }
        self.now = weight;
    }

    /// What the whole of a budget is spread over.
    pub(crate) fn weight(&self, now: Micros) -> f64 {
        if self.less.is_some_and(|since| now - since >= OUT) { self.now } else { self.most }
    }
}

/// A bound on new connections to one server. Guards against bursts: after a reconnect storm the turns of a cold server alone
/// would push it over, and trials by many nodes keep a full server full. Each node keeps to its part of the usual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bound {
    per_s: f64,
    /// A cold server's: what one window of the settings brings.
    window: Option<f64>,
}

impl Bound {
    /// On a server of that weight that started then and was last strained then; `None`: there is none. `usual` and `fill` are
    /// what a server of weight 1 gets a second from this node, usually and to be full after its warm-up.
    pub(crate) fn of(
        settings: &Settings,
        now: Micros,
        (usual, fill): (f64, f64),
        weight: f64,
        started: Option<Micros>,
        strained: Option<Micros>,
    ) -> Option<Bound> {
        let share = started.map_or(1.0, |at| settings.share_at(now.saturating_sub(at)));
        let cold =
            (share < 1.0).then_some(share * settings.overload_multiple.max(1.0) * COLD_BUDGET_USED * fill);
        let since = strained.map(|at| (now - at).max(0)).filter(|since| *since < EASE);
        let eased = since.map(|since| usual * (1.0 + since as f64 / SECOND as f64));
        let rate = cold.unwrap_or(f64::INFINITY).min(eased.unwrap_or(f64::INFINITY));
        let per_s = rate * weight;
        // Without a window nothing lapses; and none is shorter than what timers tell apart.
        let span = settings.overload_window.max(SECOND / 10) as f64 / SECOND as f64;
        let window = cold.filter(|_| settings.overload_window > 0).map(|_| per_s * span);
        per_s.is_finite().then_some(Bound { per_s, window })
    }

    /// On a server that is not cold.
    pub(crate) fn warm(per_s: f64) -> Bound {
        Bound { per_s, window: None }
    }

    /// How long until such a budget is a whole one.
    pub(crate) fn short(self, budget: f64) -> Micros {
        ((1.0 - budget).max(0.0) * SECOND as f64 / self.per_s.max(1e-6)) as Micros
    }

    /// A budget after so much more time. One that many nodes have a small part of each is not saved for longer than a window:
    /// else a crowd that comes after a quiet time finds all of them with one to spend. What lapses comes again in its turn.
    pub(crate) fn filled(self, budget: f64, passed: Micros) -> f64 {
        let budget = budget + self.per_s * passed.max(0) as f64 / SECOND as f64;
        match self.window {
            Some(window) if window < 1.0 && budget >= 1.0 => {
                let turn = budget.fract();
                if turn < window { 1.0 + turn } else { turn }
            }
            _ => budget.min(1.0),
        }
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;

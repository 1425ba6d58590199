//! The rate of new connections that a render node withstands during slow start. Beyond that rate the node fails.

use super::backlog::{Ramp, seconds};
use crate::observation::SlowStart;
use crate::plan::{Node, Rules};
use crate::time::Micros;
use std::collections::VecDeque;

/// Number of arrivals beyond the budget that a window may contain. The budgets are small (about ten arrivals), and
/// proxies that each keep their share of the budget do not coordinate.
const ARRIVAL_SLACK: f64 = 4.0;

/// Rate of new connections, per second, that a warm render node withstands: the rate that fills it within its
/// warm-up.
pub fn joins_per_s(node: &Node) -> f64 {
    node.capacity * node.connections_per_unit / seconds(node.warm_up.max(1))
}

/// The slow start of a node as the observations record it.
pub fn for_node(node: &Node) -> SlowStart {
    SlowStart { joins_per_s: joins_per_s(node), from: node.cold_from, warm_up: node.warm_up }
}

/// The budget of new connections for one warm-up. Every arrival counts, whatever its answer is.
#[derive(Clone, Debug)]
pub struct ArrivalBudget {
    ramp: Ramp,
    joins_per_s: f64,
    window: VecDeque<Micros>,
}

impl ArrivalBudget {
    /// Creates the budget of a node that starts now. `ramp` is the node's capacity without a slowdown.
    pub fn new(node: &Node, ramp: Ramp) -> Self {
        ArrivalBudget { ramp, joins_per_s: joins_per_s(node), window: VecDeque::new() }
    }

    /// Whether the node is warm, so that the budget no longer applies.
    pub fn is_expired(&self, now: Micros) -> bool {
        now >= self.ramp.full_at()
    }

    /// Records an arrival. Returns whether the arrivals of the window exceed the budget.
    pub fn record_arrival(&mut self, now: Micros, rules: &Rules) -> bool {
        while self.window.front().is_some_and(|arrival| *arrival <= now - rules.fall_window) {
            self.window.pop_front();
        }
        self.window.push_back(now);
        let limit =
            rules.fall_multiple * self.joins_per_s * self.ramp.share(now) * seconds(rules.fall_window);
        self.window.len() as f64 > limit + ARRIVAL_SLACK
    }
}

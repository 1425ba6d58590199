//! What a cold render node bears, and when it falls over.

use super::pile::{Ramp, seconds};
use crate::observation::SlowStart;
use crate::plan::{Node, Rules};
use crate::time::Micros;
use std::collections::VecDeque;

/// Arrivals beyond the budget that a window may hold. The budgets are small (some ten arrivals), and proxies that
/// keep theirs do not see one another.
const SLACK: f64 = 4.0;

/// New connections a second that a warm render node bears: those that fill it within its warm-up.
pub fn joins_per_s(node: &Node) -> f64 {
    node.capacity * node.connections_per_unit / seconds(node.warm_up.max(1))
}

/// What the observations say of a node that starts cold.
pub fn figures(node: &Node) -> SlowStart {
    SlowStart { joins_per_s: joins_per_s(node), from: node.cold_from, warm_up: node.warm_up }
}

/// The arrivals of one warm-up. Each counts, whatever it is answered.
#[derive(Clone, Debug)]
pub struct Budget {
    ramp: Ramp,
    joins_per_s: f64,
    window: VecDeque<Micros>,
}

impl Budget {
    /// A node that starts now. `ramp` is its capacity when nothing slows it.
    pub fn new(node: &Node, ramp: Ramp) -> Self {
        Budget { ramp, joins_per_s: joins_per_s(node), window: VecDeque::new() }
    }

    /// It is warm and bears what comes.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.ramp.warm_at()
    }

    /// One more arrives; true if that is more than the node bears.
    pub fn arrival(&mut self, now: Micros, rules: &Rules) -> bool {
        while self.window.front().is_some_and(|then| *then <= now - rules.fall_window) {
            self.window.pop_front();
        }
        self.window.push_back(now);
        let bears =
            rules.fall_multiple * self.joins_per_s * self.ramp.share(now) * seconds(rules.fall_window);
        self.window.len() as f64 > bears + SLACK
    }
}

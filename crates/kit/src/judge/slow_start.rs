//! Checks the load that all proxies together send to a render node in slow start.

use super::list_knowledge::ListKnowledge;
use super::rule::Rule;
use super::rule_output::RuleOutput;
use super::subject::Subject;
use super::units::format_seconds;
use crate::observation::{Seen, SlowStart};
use crate::plan::{NodeId, ProxyId, Rules};
use crate::time::Micros;
use std::collections::VecDeque;

/// Number of attempts by which a window may exceed the budget. Budgets are small (about ten attempts), proxies don't
/// coordinate, and network latency can shift an attempt into a neighbouring window.
const CHANCE_ALLOWANCE: f64 = 4.0;

/// A render node that is still warming up.
#[derive(Debug)]
struct WarmingNode {
    started_at: Micros,
    slow_start: SlowStart,
    /// Times of the attempts in the latest window, and whether the proxy of each had been notified of the start.
    window: VecDeque<(Micros, bool)>,
    /// Number of attempts in the window whose proxy had been notified.
    notified_count: usize,
    /// Whether a violation was reported. Each start has at most one: an overload is a consequence of the exceeded
    /// budget.
    reported: bool,
}

/// Render nodes in slow start, by their index in the plan.
#[derive(Debug)]
pub(super) struct WarmingNodes {
    nodes: Vec<Option<WarmingNode>>,
    budget_multiple: f64,
    window_length: Micros,
}

impl WarmingNodes {
    pub fn new(nodes: usize, rules: &Rules) -> Self {
        let nodes = (0..nodes).map(|_| None).collect();
        WarmingNodes { nodes, budget_multiple: rules.fall_multiple, window_length: rules.fall_window }
    }

    pub fn observe(
        &mut self,
        at: Micros,
        seen: &Seen,
        list_knowledge: &mut ListKnowledge,
        output: &mut RuleOutput,
    ) {
        match *seen {
            Seen::Started { node, cold } => {
                if let Some(slot) = self.nodes.get_mut(usize::from(node.0)) {
                    *slot = cold.map(|cold| {
                        let window = VecDeque::new();
                        WarmingNode {
                            started_at: at,
                            slow_start: cold,
                            window,
                            notified_count: 0,
                            reported: false,
                        }
                    });
                }
            }
            Seen::Attempt { attempt, proxy, .. } => {
                self.record_attempt(at, attempt.node, proxy, list_knowledge, output)
            }
            Seen::Fell { node } => self.record_overload(at, node, output),
            _ => {}
        }
    }

    fn record_attempt(
        &mut self,
        at: Micros,
        node: NodeId,
        proxy: ProxyId,
        list_knowledge: &mut ListKnowledge,
        output: &mut RuleOutput,
    ) {
        let (budget_multiple, window_length) = (self.budget_multiple, self.window_length);
        let Some(slot) = self.nodes.get_mut(usize::from(node.0)) else { return };
        let Some(warming) = slot else { return };
        if at - warming.started_at >= warming.slow_start.warm_up {
            *slot = None;
            return;
        }
        let was_notified = list_knowledge.knows_of_start(at, proxy, node, warming.started_at);
        warming.advance_window(at, window_length, Some(was_notified));
        let budget = budget_multiple
            * warming.slow_start.joins_per_s
            * warming.capacity_share(at)
            * (window_length as f64 / 1e6);
        let arrivals = warming.window.len();
        if arrivals as f64 > budget + CHANCE_ALLOWANCE && warming.mostly_notified() && !warming.reported {
            warming.reported = true;
            let description = format!(
                "{arrivals} attempts within {}, {} of them by proxies that knew of its start at {}; the budget is \
                 {budget:.1} (and {CHANCE_ALLOWANCE} for chance) at {:.0}% of {:.1} attempts a second",
                format_seconds(window_length),
                warming.notified_count,
                format_seconds(warming.started_at),
                100.0 * warming.capacity_share(at),
                warming.slow_start.joins_per_s
            );
            let subject = Subject { node: Some(node), proxy: Some(proxy), ..Subject::default() };
            output.report_violation(at, Rule::SlowStartBudget, subject, description);
        }
    }

    fn record_overload(&mut self, at: Micros, node: NodeId, output: &mut RuleOutput) {
        let Some(slot) = self.nodes.get_mut(usize::from(node.0)) else { return };
        let Some(mut warming) = slot.take() else { return };
        warming.advance_window(at, self.window_length, None);
        if warming.mostly_notified() && !warming.reported {
            let description = format!(
                "overloaded by {} attempts within {}, {} of them by proxies that knew of its start at {}",
                warming.window.len(),
                format_seconds(self.window_length),
                warming.notified_count,
                format_seconds(warming.started_at)
            );
            output.report_violation(
                at,
                Rule::SlowStartBudget,
                Subject { node: Some(node), ..Subject::default() },
                description,
            );
        }
    }
}

impl WarmingNode {
    /// Advances the window to `at`, and adds an attempt at this time if `was_notified` is given.
    fn advance_window(&mut self, at: Micros, window_length: Micros, was_notified: Option<bool>) {
        while let Some((_, was_notified)) =
            self.window.front().filter(|(then, _)| *then <= at - window_length)
        {
            self.notified_count -= usize::from(*was_notified);
            self.window.pop_front();
        }
        if let Some(was_notified) = was_notified {
            self.window.push_back((at, was_notified));
            self.notified_count += usize::from(was_notified);
        }
    }

    /// Share of the full capacity that the render node has at `at`.
    fn capacity_share(&self, at: Micros) -> f64 {
        let progress = (at - self.started_at) as f64 / self.slow_start.warm_up.max(1) as f64;
        self.slow_start.from + (1.0 - self.slow_start.from) * progress.clamp(0.0, 1.0)
    }

    /// Whether at least two thirds of the attempts came from proxies that had been notified of the start. Otherwise no
    /// proxy is at fault.
    fn mostly_notified(&self) -> bool {
        !self.window.is_empty() && 3 * self.notified_count >= 2 * self.window.len()
    }
}

//! What cold render nodes are sent, by all proxies together.

use super::list_knowledge::Told;
use super::rule::Rule;
use super::rule_output::{Desk, Subject};
use super::seconds;
use crate::observation::{Cold, Seen};
use crate::plan::{NodeId, ProxyId, Rules};
use crate::time::Micros;
use std::collections::VecDeque;

/// Attempts beyond the budget that a window may hold, for chance: budgets are small (some ten attempts), proxies
/// don't see one another, and the way to a render node shifts an attempt into a neighbouring window.
const SLACK: f64 = 4.0;

/// A render node that is not warm yet.
#[derive(Debug)]
struct Warming {
    started: Micros,
    cold: Cold,
    /// Arrivals of the latest window, and whether their proxy had been told of the start.
    window: VecDeque<(Micros, bool)>,
    told: usize,
    /// One finding for each start: falling over is what an overrun budget leads to.
    blamed: bool,
}

/// All of them.
#[derive(Debug)]
pub(super) struct ColdNodes {
    nodes: Vec<Option<Warming>>,
    multiple: f64,
    span: Micros,
}

impl ColdNodes {
    pub fn new(nodes: usize, rules: &Rules) -> Self {
        let nodes = (0..nodes).map(|_| None).collect();
        ColdNodes { nodes, multiple: rules.fall_multiple, span: rules.fall_window }
    }

    pub fn see(&mut self, at: Micros, seen: &Seen, told: &mut Told, desk: &mut Desk) {
        match *seen {
            Seen::Started { node, cold } => {
                if let Some(slot) = self.nodes.get_mut(usize::from(node.0)) {
                    *slot = cold.map(|cold| {
                        let window = VecDeque::new();
                        Warming { started: at, cold, window, told: 0, blamed: false }
                    });
                }
            }
            Seen::Attempt { attempt, proxy, .. } => self.arrived(at, attempt.node, proxy, told, desk),
            Seen::Fell { node } => self.fell(at, node, desk),
            _ => {}
        }
    }

    fn arrived(&mut self, at: Micros, node: NodeId, proxy: ProxyId, told: &mut Told, desk: &mut Desk) {
        let (multiple, span) = (self.multiple, self.span);
        let Some(slot) = self.nodes.get_mut(usize::from(node.0)) else { return };
        let Some(warming) = slot else { return };
        if at - warming.started >= warming.cold.warm_up {
            *slot = None;
            return;
        }
        let knew = told.knows_start(at, proxy, node, warming.started);
        warming.take(at, span, Some(knew));
        let budget = multiple * warming.cold.joins_per_s * warming.share(at) * (span as f64 / 1e6);
        let came = warming.window.len();
        if came as f64 > budget + SLACK && warming.knowingly() && !warming.blamed {
            warming.blamed = true;
            let what = format!(
                "{came} attempts within {}, {} of them by proxies that were told of its start at {}; it bears \
                 {budget:.1} (and {SLACK} for chance), being at {:.0}% of {:.1} a second",
                seconds(span),
                warming.told,
                seconds(warming.started),
                100.0 * warming.share(at),
                warming.cold.joins_per_s
            );
            let subject = Subject { node: Some(node), proxy: Some(proxy), ..Subject::default() };
            desk.accuse(at, Rule::ColdBudget, subject, what);
        }
    }

    fn fell(&mut self, at: Micros, node: NodeId, desk: &mut Desk) {
        let Some(slot) = self.nodes.get_mut(usize::from(node.0)) else { return };
        let Some(mut warming) = slot.take() else { return };
        warming.take(at, self.span, None);
        if warming.knowingly() && !warming.blamed {
            let what = format!(
                "fell over with {} attempts within {}, {} of them by proxies that were told of its start at {}",
                warming.window.len(),
                seconds(self.span),
                warming.told,
                seconds(warming.started)
            );
            desk.accuse(at, Rule::ColdBudget, Subject { node: Some(node), ..Subject::default() }, what);
        }
    }
}

impl Warming {
    /// Moves the window on to this time, with an arrival in it or none.
    fn take(&mut self, at: Micros, span: Micros, knew: Option<bool>) {
        while let Some((_, knew)) = self.window.front().filter(|(then, _)| *then <= at - span) {
            self.told -= usize::from(*knew);
            self.window.pop_front();
        }
        if let Some(knew) = knew {
            self.window.push_back((at, knew));
            self.told += usize::from(knew);
        }
    }

    /// Part of its capacity that it has.
    fn share(&self, at: Micros) -> f64 {
        let part = (at - self.started) as f64 / self.cold.warm_up.max(1) as f64;
        self.cold.from + (1.0 - self.cold.from) * part.clamp(0.0, 1.0)
    }

    /// Two thirds of what came were sent by proxies that were told of its start; else it is nobody's fault.
    fn knowingly(&self) -> bool {
        !self.window.is_empty() && 3 * self.told >= 2 * self.window.len()
    }
}

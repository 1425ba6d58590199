//! What the latency of messages shows of a server, and how connections are moved off one where work piles up.

use super::balancer::Balancer;
use crate::interface::*;
use crate::rules::Stickiness;
use std::collections::BTreeMap;

/// Part of its own connections that a node moves off a server for each report of messages over the objective:
/// more where more has piled up, so that the pile is cleared within about [`CLEAR_WITHIN`].
const MOVED_PER_REPORT: f64 = 0.1;
/// Time in which a pile is cleared, in microseconds.
const CLEAR_WITHIN: f64 = 2.0 * SECOND as f64;
/// Most that one report moves, as a part of the node's connections there.
const MAX_MOVED: f64 = 0.25;

impl Balancer {
    /// Messages at a server take long: work has piled up there, though it rejects nothing. A report comes
    /// once a second while that lasts, so the pause reaches to the mark after the next report.
    pub(super) fn latency_changed(
        &mut self,
        now: Micros,
        at: ServerId,
        latency: Micros,
        out: &mut Vec<Action>,
    ) {
        let shortest = self.settings.shortest_message_objective();
        let chance = self.jitter.draw();
        let Some(s) = self.servers.get_mut(at) else { return };
        let is_falling = std::mem::replace(&mut s.latency.last, latency) / 5 * 4 > latency;
        let Some(objective) = shortest.filter(|objective| latency > objective / 3) else { return };
        s.latency.slow_at = Some(now);
        s.breaker.overloaded(now, ((now + SECOND) / SECOND + 1) * SECOND);
        s.report_health(now, at, out);
        // A pile that drains is left to (ie5ddb3).
        if latency < objective / 2 || is_falling {
            return;
        }
        let fraction = (MOVED_PER_REPORT + latency as f64 / CLEAR_WITHIN).min(MAX_MOVED);
        let count = (s.connections.open.len() as f64 * fraction + chance) as usize;
        self.migrate_least_valued(now, at, count, out);
    }

    /// Moves up to `count` of this node's connections off a server, least worth for their load first. Load
    /// lasts: what is there would earn nothing for minutes.
    fn migrate_least_valued(&mut self, now: Micros, at: ServerId, count: usize, out: &mut Vec<Action>) {
        let (pending, settings) = (&self.requests.pending, &self.settings);
        let Some(s) = self.servers.get_mut(at) else { return };
        let open = &mut s.connections.open;
        let mut sticky = BTreeMap::new();
        if let Some(rules) = &mut self.rules {
            let stickiness =
                |id: &RequestId| Some((*id, rules.stickiness(now, &pending.get(id)?.request, at)?));
            sticky.extend(open.iter().filter_map(stickiness));
        }
        let value = |id: &RequestId| pending.get(id).map_or(0.0, |pending| pending.value(settings));
        let order = |a: &RequestId, b: &RequestId| {
            sticky.get(a).cmp(&sticky.get(b)).then(value(a).total_cmp(&value(b)))
        };
        for _ in 0..count {
            let least = open.iter().enumerate().min_by(|a, b| order(a.1, b.1));
            let movable = least.filter(|(_, id)| sticky.get(id) != Some(&Stickiness::UntilDrained));
            let Some((index, _)) = movable else { break };
            out.push(Action::Migrate(open.swap_remove(index)));
        }
    }
}

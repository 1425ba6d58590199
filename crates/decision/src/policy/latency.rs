//! Message latency as a sign of a server's backlog, and the migration of connections off such a server.

use super::balancer::Balancer;
use crate::interface::*;
use crate::rules::Stickiness;
use std::collections::BTreeMap;

/// Fraction of a node's connections to a server that the node migrates for each report of slow messages.
/// The latency adds to this fraction, so that a larger backlog is also cleared within about
/// [`CLEAR_WITHIN_US`].
const MOVED_PER_REPORT: f64 = 0.1;
/// Time in which a backlog is cleared, in microseconds.
const CLEAR_WITHIN_US: f64 = 2.0 * SECOND as f64;
/// Largest fraction of a node's connections to a server that one report migrates.
const MAX_MOVED_PER_REPORT: f64 = 0.25;

impl Balancer {
    /// Handles a report of a server's message latency. High latency means that the server has a backlog,
    /// although it rejects nothing. Reports come once a second while the latency is high, so the pause
    /// lasts until the full second after the next report.
    pub(super) fn latency_changed(
        &mut self,
        now: Micros,
        server: ServerId,
        latency: Micros,
        out: &mut Vec<Action>,
    ) {
        let shortest_objective = self.settings.shortest_message_objective();
        let random = self.jitter.draw();
        let Some(s) = self.servers.get_mut(server) else { return };
        let is_falling = std::mem::replace(&mut s.latency.latest, latency) / 5 * 4 > latency;
        let Some(objective) = shortest_objective.filter(|objective| latency > objective / 3) else { return };
        s.latency.slow_at = Some(now);
        s.breaker.trip_until(now, ((now + SECOND) / SECOND + 1) * SECOND);
        s.report_health(now, server, out);
        // A backlog that is shrinking clears without migrations; further ones overshot and spread the
        // groups over the fleet (incident ie5ddb3).
        if latency < objective / 2 || is_falling {
            return;
        }
        let fraction = (MOVED_PER_REPORT + latency as f64 / CLEAR_WITHIN_US).min(MAX_MOVED_PER_REPORT);
        let count = (s.connections.open.len() as f64 * fraction + random) as usize;
        self.migrate_lowest_priority(now, server, count, out);
    }

    /// Migrates up to `count` of this node's connections off a server, starting with those of the lowest
    /// priority weight for their load. The backlog lasts: connections that stay on the server would earn
    /// nothing for minutes.
    fn migrate_lowest_priority(
        &mut self,
        now: Micros,
        server: ServerId,
        count: usize,
        out: &mut Vec<Action>,
    ) {
        let (pending, settings) = (&self.requests.pending, &self.settings);
        let Some(s) = self.servers.get_mut(server) else { return };
        let open = &mut s.connections.open;
        let mut sticky = BTreeMap::new();
        if let Some(rules) = &mut self.rules {
            let stickiness =
                |id: &RequestId| Some((*id, rules.stickiness(now, &pending.get(id)?.request, server)?));
            sticky.extend(open.iter().filter_map(stickiness));
        }
        let weight_per_load =
            |id: &RequestId| pending.get(id).map_or(0.0, |pending| pending.weight_per_load(settings));
        let order = |a: &RequestId, b: &RequestId| {
            sticky.get(a).cmp(&sticky.get(b)).then(weight_per_load(a).total_cmp(&weight_per_load(b)))
        };
        for _ in 0..count {
            let least = open.iter().enumerate().min_by(|a, b| order(a.1, b.1));
            let movable = least.filter(|(_, id)| sticky.get(id) != Some(&Stickiness::UntilDrained));
            let Some((index, _)) = movable else { break };
            out.push(Action::Migrate(open.swap_remove(index)));
        }
    }
}

//! Migration of connections off draining servers. Each round migrates an even part of them, so that the
//! clients reconnect gradually.

use super::balancer::{Balancer, DRAIN_ROUND};
use crate::interface::{Action, Micros, SECOND, ServerId};

/// Time in which the connections of a draining server are migrated; the server cuts off those that remain.
/// New connections to the server stop at once (`rules.stopSendingWithin`).
pub(super) const DRAIN_PERIOD: Micros = 2 * SECOND;
/// Time from one round of migrations to the next.
const ROUND_INTERVAL: Micros = SECOND / 10;

impl Balancer {
    /// Migrates a connection that was established on a draining server. After the last round nothing else
    /// would migrate the connection, and the end of the server would cut it off.
    pub(super) fn drain_late_connection(&mut self, now: Micros, server: ServerId, out: &mut Vec<Action>) {
        if self.servers.get(server).is_some_and(|s| s.connections.drain_deadline.is_some()) {
            self.drain(now, out);
        }
    }

    /// Migrates an even part of the remaining connections off each draining server, unless the next round
    /// is not due yet.
    pub(super) fn drain(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.next_drain_round_at.is_some_and(|at| at > now) {
            return;
        }
        self.next_drain_round_at = None;
        let random = self.jitter.draw() * 0.999;
        for s in self.servers.iter_mut() {
            let Some(deadline) = s.connections.drain_deadline else { continue };
            let open = &mut s.connections.open;
            let rounds_left = ((deadline - now).max(0) / ROUND_INTERVAL) as f64 + 1.0;
            let remaining = open.len() - (open.len() as f64 / rounds_left + random) as usize;
            out.extend(open.drain(remaining..).map(Action::Migrate));
            if remaining > 0 || now < deadline {
                self.next_drain_round_at = Some(now + ROUND_INTERVAL);
            }
        }
        if self.next_drain_round_at.is_some() {
            out.push(Action::Timer { after: ROUND_INTERVAL, token: DRAIN_ROUND });
        }
    }
}

//! How the connections of draining servers are moved: an even part each round, so that clients come back
//! bit by bit.

use super::balancer::{Balancer, DRAIN_ROUND};
use crate::interface::{Action, Micros, SECOND, ServerId};

/// A draining server's connections are moved within this time: what stays is cut off. New ones
/// (`rules.stopSendingWithin`) end at once.
pub(super) const DRAIN_WITHIN: Micros = 2 * SECOND;
/// Time from one round to the next.
const ROUND: Micros = SECOND / 10;

impl Balancer {
    /// A connection came up at a server that drains. Guards against one that comes after the last round:
    /// nobody would move it, and the server's end would cut it off.
    pub(super) fn drain_late_connection(&mut self, now: Micros, at: ServerId, out: &mut Vec<Action>) {
        if self.servers.get(at).is_some_and(|s| s.connections.drain_deadline.is_some()) {
            self.drain(now, out);
        }
    }

    /// Moves an even part of what is left on each draining server, unless the next round is still to come.
    pub(super) fn drain(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.next_drain_round.is_some_and(|at| at > now) {
            return;
        }
        self.next_drain_round = None;
        let chance = self.jitter.draw() * 0.999;
        for s in self.servers.iter_mut() {
            let Some(deadline) = s.connections.drain_deadline else { continue };
            let open = &mut s.connections.open;
            let rounds = ((deadline - now).max(0) / ROUND) as f64 + 1.0;
            let remaining = open.len() - (open.len() as f64 / rounds + chance) as usize;
            out.extend(open.drain(remaining..).map(Action::Migrate));
            if remaining > 0 || now < deadline {
                self.next_drain_round = Some(now + ROUND);
            }
        }
        if self.next_drain_round.is_some() {
            out.push(Action::Timer { after: ROUND, token: DRAIN_ROUND });
        }
    }
}

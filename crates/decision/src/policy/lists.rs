//! The server list: what it makes of each server, when it is asked for, and how draining servers are emptied.

use super::*;

/// A draining server's connections are moved within this time, a part each round: what stays is cut off. New
/// ones (`rules.stopSendingWithin`) end at once.
const DRAIN_WITHIN: Micros = 2 * SECOND;
const DRAIN_ROUND: Micros = SECOND / 10;

impl Balancer {
    pub(super) fn list(
        &mut self,
        now: Micros,
        full: bool,
        copy: bool,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        if !copy {
            self.list_calls.answered(now);
        } else if self.settings.list_pushed && self.settings.list_on_request {
            self.call_for_list(now, out);
        } else if self.settings.list_on_request {
            let chance = self.random();
            ask_list(self.list_calls.started(now, chance), out);
        }
        if full {
            // What a full list leaves out is gone, and starts anew if it is ever listed again.
            self.servers.iter_mut().for_each(|s| (s.ready, s.draining) = (false, false));
        }
        self.listed(now, entries, out);
    }

    pub(super) fn call_for_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::WatchList);
        ask_list(self.list_calls.called(now), out);
    }

    pub(super) fn listed(&mut self, now: Micros, entries: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in entries {
            self.entry(now, entry);
        }
        let ids = 0..self.servers.len() as u32;
        self.ready = ids.map(ServerId).filter(|id| self.server(*id).is_some_and(|s| s.ready)).collect();
        self.total_weight = self.ready.iter().filter_map(|id| self.server(*id)).map(|s| s.weight).sum();
        self.whole.listed(now, self.total_weight);
        for (number, s) in self.servers.iter_mut().enumerate() {
            s.believe(now, ServerId(number as u32), out);
        }
        self.drain(now, out);
        self.release_held(now, out);
    }

    /// A connection came up at a server that drains. Guards against one that comes after the last round:
    /// nobody would move it, and the server's end would cut it off.
    pub(super) fn move_late_comer(&mut self, now: Micros, at: ServerId, out: &mut Vec<Action>) {
        if self.server(at).is_some_and(|s| s.leave_by.is_some()) {
            self.drain(now, out);
        }
    }

    /// Moves an even part of what is left on each draining server, so that the clients come again bit by bit.
    pub(super) fn drain(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.drain_due.is_some_and(|at| at > now) {
            return;
        }
        self.drain_due = None;
        let chance = self.random() * 0.999;
        for s in &mut self.servers {
            let Some(until) = s.leave_by else { continue };
            let rounds = ((until - now).max(0) / DRAIN_ROUND) as f64 + 1.0;
            let kept = s.open.len() - (s.open.len() as f64 / rounds + chance) as usize;
            out.extend(s.open.drain(kept..).map(Action::Migrate));
            self.drain_due = self.drain_due.or((kept > 0 || now < until).then_some(now + DRAIN_ROUND));
        }
        out.extend(self.drain_due.map(|_| Action::Timer { after: DRAIN_ROUND, token: DRAIN }));
    }

    pub(super) fn entry(&mut self, now: Micros, entry: Entry) {
        let index = entry.server.0 as usize;
        if index >= self.servers.len() {
            self.servers.resize_with(index + 1, Server::default);
        }
        let known = &mut self.servers[index];
        let weighted = self.settings.weighted && entry.weight.is_finite() && entry.weight > 0.0;
        let weight = if weighted { entry.weight } else { 1.0 };
        // Put back after a drain: its first turn is the next, or it would wait for one at a quiet hour.
        let back = known.leave_by.is_some() && entry.state == ServerState::Ready;
        if known.weight == 0.0 || known.started != entry.started || back {
            // New, or a new life of the process: what was known of the old one no longer counts.
            // All nodes share one hashed order and enter it at phases ordinal/nodes: rotations that walk
            // in step would otherwise put every node's next connection on the same server.
            let phase = f64::from(self.settings.ordinal) / f64::from(self.settings.nodes.max(1));
            let place = (unit(entry.digest) - phase).rem_euclid(1.0);
            let first = (place + self.part.share_of(now, 1.0)).min(1.0);
            let (turn, budget) = if back { (0.0, first) } else { (self.rotation + place / weight, place) };
            let (open, told) = (std::mem::take(&mut known.open), known.told);
            let digest = entry.digest;
            *known = Server { digest, place, turn, budget, filled: now, open, told, ..Server::default() };
        }
        known.ready = entry.state == ServerState::Ready;
        // What drained and is gone by now has its connections moved all the same.
        known.draining = entry.state == ServerState::Draining;
        let until = known.draining.then_some(now + DRAIN_WITHIN);
        known.leave_by = known.leave_by.or(until).filter(|_| !known.ready);
        (known.spot, known.weight, known.started) = ((entry.zone, entry.cell), weight, entry.started);
    }

    /// Back-off with jitter: a failing list service is not hammered by all nodes in step.
    pub(super) fn list_failed(&mut self, now: Micros, out: &mut Vec<Action>) {
        let chance = self.random();
        let (after, is_news) = self.list_calls.failed(now, chance);
        let unreachable = Action::Log { notification: Notification::ListUnreachable, server: None };
        out.extend(is_news.then_some(unreachable));
        ask_list(after, out);
    }
}

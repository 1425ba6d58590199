//! The server list: what an update makes of each server, and when the list is polled.

use super::balancer::{Balancer, POLL_LIST};
use super::drain::DRAIN_WITHIN;
use super::server::{Connections, Listing, Server};
use super::turns::Turn;
use crate::budget::SetupBudget;
use crate::interface::*;
use crate::names::unit;

impl Balancer {
    /// An update of the list, or the copy of it that came with the start.
    pub(super) fn list_received(
        &mut self,
        now: Micros,
        full: bool,
        copy: bool,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        if !copy {
            self.list_poller.answered(now);
        } else if self.settings.list_on_request {
            self.first_poll(now, out);
        }
        if full {
            // What a full list leaves out is removed, and starts anew if it is ever listed again.
            self.servers.iter_mut().for_each(|s| s.listing.state = ServerState::Removed);
        }
        self.apply_entries(now, entries, out);
    }

    /// The first poll after the start: at once where the list counts as pushed, else in this node's turn.
    fn first_poll(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.settings.list_pushed {
            return self.poll_list(now, out);
        }
        let chance = self.jitter.draw();
        set_poll_timer(self.list_poller.started(now, chance), out);
    }

    /// Asks for the list now.
    pub(super) fn poll_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::WatchList);
        set_poll_timer(self.list_poller.called(now), out);
    }

    /// A poll failed or the subscription broke. Backs off with jitter: a failing list service is not
    /// hammered by all nodes in step.
    pub(super) fn list_failed(&mut self, now: Micros, out: &mut Vec<Action>) {
        let chance = self.jitter.draw();
        let (after, is_unreachable) = self.list_poller.failed(now, chance);
        if is_unreachable {
            out.push(Action::Log { notification: Notification::ListUnreachable, server: None });
        }
        set_poll_timer(after, out);
    }

    /// The subscription has said nothing for too long.
    pub(super) fn list_silent(&mut self, now: Micros, out: &mut Vec<Action>) {
        let chance = self.jitter.draw();
        set_poll_timer(self.list_poller.fell_silent(now, chance), out);
    }

    /// Applies entries of the list, or what operators laid over it, and all that follows from the change.
    pub(super) fn apply_entries(&mut self, now: Micros, entries: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in entries {
            self.apply_entry(now, entry);
        }
        self.servers.update_ready(now);
        self.servers.report_health(now, out);
        self.drain(now, out);
        self.dispatch_queued(now, out);
    }

    fn apply_entry(&mut self, now: Micros, entry: Entry) {
        let weight = self.weight_of(&entry);
        let known = self.servers.entry(entry.server);
        // Put back after a drain: its first turn is the next, or it would wait for one at a quiet hour.
        let is_back = known.connections.drain_deadline.is_some() && entry.state == ServerState::Ready;
        // New, or a new incarnation of the process: what was known of the old one no longer counts.
        if known.listing.weight == 0.0 || known.listing.started != entry.started || is_back {
            let (open, reported) = (std::mem::take(&mut known.connections.open), known.reported);
            let connections = Connections { open, drain_deadline: None };
            let (turn, budget) = self.first_turn(now, &entry, weight, is_back);
            let listing = Listing { digest: entry.digest, ..Listing::default() };
            let fresh = Server { listing, turn, budget, connections, reported, ..Server::default() };
            *self.servers.entry(entry.server) = fresh;
        }
        let known = self.servers.entry(entry.server);
        // What drained and is removed by now has its connections moved all the same.
        let deadline = (entry.state == ServerState::Draining).then_some(now + DRAIN_WITHIN);
        let connections = &mut known.connections;
        connections.drain_deadline =
            connections.drain_deadline.or(deadline).filter(|_| entry.state != ServerState::Ready);
        let locality = (entry.zone, entry.cell);
        let (state, started, digest) = (entry.state, entry.started, known.listing.digest);
        known.listing = Listing { state, locality, weight, started, digest };
    }

    fn weight_of(&self, entry: &Entry) -> f64 {
        let is_weighted = self.settings.weighted && entry.weight.is_finite() && entry.weight > 0.0;
        if is_weighted { entry.weight } else { 1.0 }
    }

    /// Where a new server enters the rotation, and the budget that it starts with.
    ///
    /// All nodes share one hashed order and enter it at phases ordinal/nodes: rotations that walk in step
    /// would otherwise put every node's next connection on the same server.
    fn first_turn(&self, now: Micros, entry: &Entry, weight: f64, is_back: bool) -> (Turn, SetupBudget) {
        let phase = f64::from(self.settings.ordinal) / f64::from(self.settings.nodes.max(1));
        let ring_position = (unit(entry.digest) - phase).rem_euclid(1.0);
        let (next_due, tokens) = if is_back {
            (0.0, (ring_position + self.quota.share_of(now, 1.0)).min(1.0))
        } else {
            (self.rotation.virtual_time + ring_position / weight, ring_position)
        };
        (Turn { ring_position, next_due }, SetupBudget::new(tokens, now))
    }
}

fn set_poll_timer(after: Micros, out: &mut Vec<Action>) {
    out.push(Action::Timer { after, token: POLL_LIST });
}

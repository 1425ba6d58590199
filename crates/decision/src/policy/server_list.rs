//! The server list: how an update changes the state of each server, and when the list is polled.

use super::balancer::{Balancer, POLL_LIST};
use super::drain::DRAIN_PERIOD;
use super::server::{Connections, Listing, Server};
use super::turns::Turn;
use crate::budget::SetupBudget;
use crate::interface::*;
use crate::names::hash_to_unit;

impl Balancer {
    /// Handles an update of the list, or the copy of the list that the node had at its start.
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
            // Servers that are absent from a full list are removed. A server that is listed again after a
            // restart begins with fresh state.
            self.servers.iter_mut().for_each(|s| s.listing.state = ServerState::Removed);
        }
        self.apply_entries(now, entries, out);
    }

    /// Schedules the first poll after the start: at once if changes of the list count as notified from the
    /// start, else after a random delay, since all nodes may start together.
    fn first_poll(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.settings.list_pushed {
            return self.poll_list(now, out);
        }
        let chance = self.jitter.draw();
        set_poll_timer(self.list_poller.started(now, chance), out);
    }

    /// Polls the list now.
    pub(super) fn poll_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::WatchList);
        set_poll_timer(self.list_poller.called(now), out);
    }

    /// Handles a failed poll or a broken subscription. The backoff has jitter, so that the nodes do not all
    /// poll a failing list service at the same time.
    pub(super) fn list_failed(&mut self, now: Micros, out: &mut Vec<Action>) {
        let chance = self.jitter.draw();
        let (after, is_unreachable) = self.list_poller.failed(now, chance);
        if is_unreachable {
            out.push(Action::Log { notification: Notification::ListUnreachable, server: None });
        }
        set_poll_timer(after, out);
    }

    /// Handles a subscription that has sent nothing for too long.
    pub(super) fn list_silent(&mut self, now: Micros, out: &mut Vec<Action>) {
        let chance = self.jitter.draw();
        set_poll_timer(self.list_poller.fell_silent(now, chance), out);
    }

    /// Applies entries of the list or of an operator's override, and everything that follows from the
    /// change.
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
        let weight_meaning = self.settings.weights;
        let turn_weight = weight_meaning.turn_weight(entry.weight);
        let known = self.servers.get_or_create(entry.server);
        // A server that is put back after a drain gets the next turn. At low traffic, it would otherwise
        // wait long for its turn.
        let is_back = known.connections.drain_deadline.is_some() && entry.state == ServerState::Ready;
        // The server is new or a new incarnation of its process, so the state of an earlier one no longer
        // applies.
        if known.listing.weight == 0.0 || known.listing.started != entry.started || is_back {
            let (open, reported_health) =
                (std::mem::take(&mut known.connections.open), known.reported_health);
            let connections = Connections { open, drain_deadline: None };
            let (turn, budget) = self.first_turn(now, &entry, turn_weight, is_back);
            let listing = Listing { digest: entry.digest, ..Listing::default() };
            let fresh = Server { listing, turn, budget, connections, reported_health, ..Server::default() };
            *self.servers.get_or_create(entry.server) = fresh;
        }
        let known = self.servers.get_or_create(entry.server);
        // The connections of a draining server are migrated even if the server has been removed meanwhile.
        let deadline = (entry.state == ServerState::Draining).then_some(now + DRAIN_PERIOD);
        let connections = &mut known.connections;
        connections.drain_deadline =
            connections.drain_deadline.or(deadline).filter(|_| entry.state != ServerState::Ready);
        let locality = (entry.zone, entry.cell);
        let (state, started, digest) = (entry.state, entry.started, known.listing.digest);
        let weight = usable_weight(entry.weight);
        known.listing = Listing { state, locality, weight, weight_meaning, started, digest };
    }

    /// Returns where a new server enters the rotation, and the budget with which it starts.
    ///
    /// All nodes use one hashed order of the servers, and each node enters it at its own phase,
    /// ordinal/nodes. If the rotations ran in step, the next connections of all nodes would go to the same
    /// server.
    fn first_turn(&self, now: Micros, entry: &Entry, turn_weight: f64, is_back: bool) -> (Turn, SetupBudget) {
        let phase = f64::from(self.settings.ordinal) / f64::from(self.settings.nodes.max(1));
        let ring_position = (hash_to_unit(entry.digest) - phase).rem_euclid(1.0);
        let (next_due, tokens) = if is_back {
            (0.0, (ring_position + self.quota.share_of(now, 1.0)).min(1.0))
        } else {
            (self.rotation.virtual_time + ring_position / turn_weight, ring_position)
        };
        (Turn { ring_position, next_due }, SetupBudget::new(tokens, now))
    }
}

fn set_poll_timer(after: Micros, out: &mut Vec<Action>) {
    out.push(Action::Timer { after, token: POLL_LIST });
}

//! The life cycle of the process: listening, hot restart, reload and shutdown.

use super::Driver;
use super::context::Context;
use super::lifecycle::{DrainRound, Predecessor, Reloaded};
use super::log_target::LOG_TARGET;
use super::peers::{PeerInputs, Peers};
use crate::net::network_event::NetworkEvent;
use crate::rules::RulesService;
use cottonnotch_decision::{Event, Micros};
use cottonnotch_reactor::listener::Binding;
use cottonnotch_reactor::{Half, Key};
use cottonnotch_records::MoveReason;
use std::io;

impl Driver {
    // ---- hot restart ----

    /// Looks for other processes of this proxy, and takes over clients from a predecessor or hands them to a
    /// successor.
    pub(super) fn poll_siblings(&mut self) {
        self.sync_maintenance();
        self.context.requests_in_progress = self.clients.in_progress();
        let predecessor = self.lifecycle.find_predecessor(&mut self.context);
        let process_count = self.lifecycle.process_count_change();
        self.handle_event(process_count);
        self.lifecycle.update_open_ids(&mut self.context, self.clients.open_ids());
        self.settle_claims();
        self.peers.retry_start(&mut self.context);
        if self.lifecycle.is_shutting_down() {
            self.hand_over_listener();
        } else {
            self.take_over(predecessor);
        }
    }

    /// Begins to listen beside other processes, if this process may and does not yet.
    fn take_over(&mut self, predecessor: Predecessor) {
        if !self.acceptor.is_listening()
            && (predecessor == Predecessor::None || self.can_take_over())
            && self.lifecycle.is_exchanging_ids(self.clients.open_ids())
            && let Err(error) = self.listen()
        {
            // The next poll retries; the predecessor keeps serving.
            self.log_listen_failure(&error);
        }
    }

    /// Handles the requests whose claims of their ids have ended.
    pub(super) fn settle_claims(&mut self) {
        let now = self.context.now();
        for claimed in self.clients.open_ids().settle(now) {
            let (context, acceptor, endpoints) = (&mut self.context, &mut self.acceptor, &self.endpoints);
            let event = self.clients.handle_claimed_request(context, acceptor, endpoints, claimed);
            self.handle_event(event);
        }
    }

    /// Rejects the requests whose claims of their ids take too long.
    pub(super) fn expire_claims(&mut self) {
        let now = self.context.now();
        self.clients.expire_claims(&mut self.context, now);
    }

    fn log_listen_failure(&mut self, error: &io::Error) {
        if let Some(left_out) = self.listen_failure_log.due(self.context.now()) {
            let address = self.context.config.listen;
            log::error!(
                target: LOG_TARGET, address:%, error:%, left_out;
                "cannot listen beside the earlier process: {error}"
            );
        }
    }

    /// Starts to accept clients.
    pub(super) fn listen(&mut self) -> io::Result<()> {
        // The binding is exclusive if no other process can find this one: a second process started by mistake must
        // fail.
        let binding = if self.lifecycle.can_hot_restart() { Binding::Shared } else { Binding::Exclusive };
        let address = self.acceptor.listen(&mut self.context, binding)?;
        self.lifecycle.set_address(address);
        // This line has no key-values: scripts take its last word as the address.
        log::info!(target: LOG_TARGET, "{} listens on {address}", self.context.config.name);
        Ok(())
    }

    /// Stops accepting clients if a successor accepts them.
    fn hand_over_listener(&mut self) {
        if self.acceptor.is_listening() && self.lifecycle.has_successor() {
            self.acceptor.begin_close(&mut self.context, self.clients.in_progress());
            self.peers.hand_over(&mut self.context);
            self.context.rules.iter_mut().for_each(RulesService::stop_consensus);
        }
    }

    fn can_take_over(&self) -> bool {
        let is_informed = self.endpoints.has_discovery_list() && self.management.is_maintenance_loaded();
        self.endpoints.has_usable_endpoint() && self.lifecycle.can_take_over(self.context.now(), is_informed)
    }

    // ---- reload ----

    pub(super) fn reload(&mut self) {
        let reloaded = self.lifecycle.reload(&mut self.context, &mut self.latency);
        let Some(Reloaded { event, discovery_moved }) = reloaded else { return };
        self.handle_event(Some(event));
        let events = self.with_peers(|peers, context, inputs| peers.reload(context, inputs));
        self.handle_events(events);
        if discovery_moved {
            // The watch starts at once and from the last accepted revision, because the old address may already have
            // sent its last update. What has arrived of it is read first.
            self.apply_arrived_updates();
            // The end of the old watch is not a failure, so the module is told only about the new watch.
            let event = self.endpoints.restart_watch(&mut self.context);
            self.handle_event(event);
        }
    }

    /// Reads the open calls to discovery once more and applies their updates that are not handled yet.
    fn apply_arrived_updates(&mut self) {
        let calls: Vec<Key> = self.endpoints.calls().iter().collect();
        for call in calls {
            self.context.reactor.with(call, |watch, io| watch.readable(io, Half::Near));
        }
        let reports = std::mem::take(&mut self.context.reactor.io.reports);
        let (updates, others): (Vec<NetworkEvent>, Vec<NetworkEvent>) =
            reports.into_iter().partition(|report| matches!(report, NetworkEvent::EndpointUpdate { .. }));
        // Reports that the updates cause come behind those that were there before.
        self.context.reactor.io.reports.extend(others);
        for update in updates {
            self.dispatch(update);
        }
    }

    // ---- shutdown ----

    pub(super) fn terminate(&mut self) {
        if self.lifecycle.terminate(&self.context, self.clients.requests()) {
            self.hand_over_listener();
            self.drain_round();
        }
    }

    /// Migrates the next share of the clients. The last round ends all remaining requests.
    pub(super) fn drain_round(&mut self) {
        let round = self.lifecycle.next_drain_round(&mut self.context, self.clients.requests());
        let Some(DrainRound { migrating, is_last }) = round else { return };
        for request in migrating {
            let (context, latency, endpoints) = (&mut self.context, &mut self.latency, &self.endpoints);
            let ended = self.clients.migrate(context, latency, endpoints, request, MoveReason::ProxyShutdown);
            self.pending_events.extend(ended);
        }
        self.process_pending_events();
        if is_last {
            self.end_remaining();
        }
    }

    /// Ends all remaining requests. Called in every round from the last one until the exit, because clients may still
    /// connect.
    fn end_remaining(&mut self) {
        self.with_peers(|peers, context, inputs| peers.leave(context, inputs));
        self.clients.expire_claims(&mut self.context, Micros::MAX);
        self.handle_event(Some(Event::ShuttingDown));
        self.clients.cancel_all_attempts(&mut self.context, &mut self.latency);
        self.acceptor.reject_idle_clients(&mut self.context);
    }

    // ---- peers ----

    /// Calls `use_peers` with the inputs of the peers' member.
    pub(super) fn with_peers<T>(
        &mut self,
        use_peers: impl FnOnce(&mut Peers, &mut Context, PeerInputs<'_>) -> T,
    ) -> T {
        let (latency, requests) = (&mut self.latency, self.clients.in_progress());
        let inputs = PeerInputs { latency, endpoints: &self.endpoints, requests };
        use_peers(&mut self.peers, &mut self.context, inputs)
    }
}

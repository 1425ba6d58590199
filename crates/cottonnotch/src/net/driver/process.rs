//! The life of the process: listening, hot restart, a new configuration, and the shutdown.

use super::Driver;
use super::context::{Context, LOG_TARGET};
use super::lifecycle::{DrainRound, Reloaded};
use super::peers::{PeerContext, Peers};
use crate::rules::RulesService;
use cottonnotch_decision::Event;
use cottonnotch_reactor::listener::Binding;
use cottonnotch_records::MoveReason;
use std::io;

impl Driver {
    /// What other processes of this proxy did.
    pub(super) fn poll_siblings(&mut self) {
        self.sync_maintenance();
        self.context.requests = self.clients.requests().len();
        let has_predecessor = self.lifecycle.has_predecessor(&mut self.context);
        self.peers.retry(&mut self.context);
        if self.lifecycle.is_draining() {
            self.hand_over_listener();
        } else if !self.acceptor.is_listening() && (!has_predecessor || self.can_take_over()) {
            // It is tried again at the next look; the earlier process goes on.
            if let Err(error) = self.listen()
                && let Some(left_out) = self.listen_failure_log.due(self.context.now())
            {
                let address = self.context.config.listen;
                log::error!(target: LOG_TARGET, address:%, error:%, left_out; "cannot listen beside the earlier process: {error}");
            }
        }
    }

    /// Lets clients in.
    pub(super) fn listen(&mut self) -> io::Result<()> {
        // Alone where no other process could be told of: a second one by mistake is to fail.
        let binding = if self.lifecycle.can_hot_restart() { Binding::Shared } else { Binding::Alone };
        let address = self.acceptor.listen(&mut self.context, binding)?;
        self.lifecycle.set_address(address);
        // No key-values: scripts take the last word as the address.
        log::info!(target: LOG_TARGET, "{} listens on {address}", self.context.config.name);
        Ok(())
    }

    /// A successor, if there is one, serves clients from now on.
    pub(super) fn hand_over_listener(&mut self) {
        if self.acceptor.is_listening() && self.lifecycle.has_successor() {
            self.acceptor.begin_close(&mut self.context, self.clients.requests().len());
            self.peers.hand_over(&mut self.context);
            self.context.rules.iter_mut().for_each(RulesService::stop_consensus);
        }
    }

    pub(super) fn can_take_over(&self) -> bool {
        let has_maintenance = self.endpoints.is_confirmed() && self.management.has_maintenance();
        self.endpoints.has_usable_endpoint()
            && self.lifecycle.can_take_over(self.context.now(), has_maintenance)
    }

    pub(super) fn reload(&mut self) {
        let reloaded = self.lifecycle.reload(&mut self.context, &mut self.latency);
        let Some(Reloaded { event, discovery_moved }) = reloaded else { return };
        self.handle_event(Some(event));
        let events = self.with_peers(|peers, context, peer_context| peers.reload(context, peer_context));
        self.handle_events(events);
        if discovery_moved {
            // At once, and from the last revision taken: the old address may have told its last already.
            // That its watch ends is no failure; the module hears only of the new one's.
            let event = self.endpoints.watch(&mut self.context);
            self.handle_event(event);
        }
    }

    pub(super) fn drain_round(&mut self) {
        let round = self.lifecycle.next_round(&mut self.context, self.clients.requests());
        let Some(DrainRound { migrating, is_last }) = round else { return };
        for request in migrating {
            let (context, latency, endpoints) = (&mut self.context, &mut self.latency, &self.endpoints);
            let ended = self.clients.migrate(context, latency, endpoints, request, MoveReason::ProxyShutdown);
            self.pending.extend(ended);
        }
        self.process_pending();
        if is_last {
            self.with_peers(|peers, context, peer_context| peers.leave(context, peer_context));
            // In each round up to the end: clients may still come.
            self.handle_event(Some(Event::ShuttingDown));
            self.clients.abandon_attempts(&mut self.context, &mut self.latency);
            self.acceptor.decline_idle_clients(&mut self.context);
        }
    }

    pub(super) fn with_peers<T>(
        &mut self,
        use_them: impl FnOnce(&mut Peers, &mut Context, PeerContext<'_>) -> T,
    ) -> T {
        let (latency, requests) = (&mut self.latency, self.clients.requests().len());
        use_them(
            &mut self.peers,
            &mut self.context,
            PeerContext { latency, endpoints: &self.endpoints, requests },
        )
    }
}

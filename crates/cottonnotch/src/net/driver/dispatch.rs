//! Network events: each is handed to the part that turns it into events of the decision module.

use super::Driver;
use super::context::{self, LOG_TARGET};
use super::peers::PeerContext;
use crate::net::network_event::NetworkEvent;
use crate::rules::RulesService;
use cottonnotch_decision::Event;
use cottonnotch_proxy_core::EndpointUpdate;

impl Driver {
    pub(super) fn dispatch(&mut self, network_event: NetworkEvent) {
        let (context, latency) = (&mut self.context, &mut self.latency);
        match network_event {
            NetworkEvent::ClientsWaiting => {
                self.acceptor.on_clients_waiting(context, self.clients.requests().len())
            }
            NetworkEvent::Timer(context::ACCEPT_CLIENTS) => {
                self.acceptor.on_accept_timer(context, self.clients.requests().len())
            }

            NetworkEvent::AdminsWaiting => self.management.on_admins_waiting(context),
            NetworkEvent::Timer(context::ACCEPT_ADMINS) => self.management.on_accept_timer(context),
            NetworkEvent::AdminRequested(admin, admin_request) => {
                self.handle_admin_request(admin, &admin_request)
            }
            NetworkEvent::Timer(context::POLL_SIBLINGS) => self.poll_siblings(),

            NetworkEvent::ClientRejected { client, why } => {
                for event in self.clients.handle_rejected(context, latency, client, &why) {
                    self.handle_event(event);
                }
            }
            NetworkEvent::ConnectionRequested(key, wanted) => {
                let event = self.clients.handle_connection_request(
                    context,
                    &mut self.acceptor,
                    &self.endpoints,
                    key,
                    wanted,
                );
                self.handle_event(event);
            }
            NetworkEvent::AttemptWritten { client } => self.clients.handle_attempt_written(context, client),
            NetworkEvent::Established { client, elapsed } => {
                let event =
                    self.clients.handle_established(context, latency, &self.endpoints, client, elapsed);
                self.handle_event(event);
            }
            NetworkEvent::AttemptEnded { client, outcome } => {
                for event in self.clients.handle_attempt_ended(context, client, outcome) {
                    self.handle_event(event);
                }
            }
            NetworkEvent::ConnectionEnded { client, outcome } => {
                let event = self.clients.handle_connection_ended(context, latency, client, outcome);
                self.handle_event(event);
            }
            NetworkEvent::ClientLeft { client, outcome } => {
                for event in self.clients.handle_client_left(context, latency, client, outcome) {
                    self.handle_event(event);
                }
            }
            NetworkEvent::EndpointSilent { client } => {
                self.clients.record_silent_endpoint(context, &self.endpoints, client)
            }
            NetworkEvent::Timer(context::REOPEN) => self.clients.reopen_all(context, &self.endpoints),

            NetworkEvent::LoadReported { client, load } => {
                let now = context.now();
                let event = self
                    .clients
                    .requests()
                    .get(client)
                    .and_then(|admin_request| latency.load_reported(now, admin_request, load));
                self.handle_event(event);
            }
            NetworkEvent::LineAnswered { client, delay } => {
                if let Some(admin_request) = self.clients.requests().get(client) {
                    latency.record(context.now(), admin_request, delay);
                }
            }
            NetworkEvent::Timer(context::TICK) => self.tick(),

            NetworkEvent::Datagrams(heard) => {
                let peer_context = PeerContext {
                    latency,
                    endpoints: &self.endpoints,
                    requests: self.clients.requests().len(),
                };
                let events = self.peers.datagrams(context, peer_context, &heard);
                self.handle_events(events);
            }
            NetworkEvent::Timer(context::PEERS) => {
                let peer_context = PeerContext {
                    latency,
                    endpoints: &self.endpoints,
                    requests: self.clients.requests().len(),
                };
                let events = self.peers.on_timer(context, peer_context);
                self.handle_events(events);
            }

            NetworkEvent::EndpointUpdate { watch, result } => {
                if self.endpoints.is_watch(watch) {
                    self.apply_endpoint_update(result, false);
                }
            }
            NetworkEvent::WatchLost { watch, silent, why } => {
                let event = self.endpoints.watch_lost(context, watch, silent, &why);
                self.handle_event(event);
            }

            NetworkEvent::Terminate => {
                if self.lifecycle.terminate(context, self.clients.requests()) {
                    self.hand_over_listener();
                    self.drain_round();
                }
            }
            NetworkEvent::Timer(context::DRAIN_ROUND) => self.drain_round(),
            NetworkEvent::Reload => self.reload(),

            NetworkEvent::Timer(token) => self.handle_event(Some(Event::Timer(token))),
        }
    }

    pub(super) fn apply_endpoint_update(&mut self, result: EndpointUpdate, copy: bool) {
        let event = self.endpoints.update(&mut self.context, &mut self.latency, result, copy);
        self.handle_event(Some(event));
        // After the module knows: what is called off now goes elsewhere.
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
    }

    pub(super) fn tick(&mut self) {
        self.context.observe_wall_clock();
        self.context.audit.report_overdue(self.context.now());
        // What is held may be allowed now, or forbidden.
        let ruled = self.context.rules.as_mut().and_then(RulesService::tick);
        self.handle_event(ruled);
        self.refresh_stale_list();
        let events = self.with_peers(|peers, context, peer_context| peers.tick(context, peer_context));
        self.handle_events(events);
        let events = self.latency.tick(&mut self.context, self.clients.requests());
        self.handle_events(events);
    }

    /// Asks discovery anew if others were told of a newer list. Guards against a watch that is open and silent: it would show
    /// by itself only after several beats, and drained nodes be used until then.
    pub(super) fn refresh_stale_list(&mut self) {
        let revision = self.endpoints.revision();
        let missed = self.context.rules.as_ref().and_then(|rules| rules.newer_list_revision(revision));
        if let Some(newer) = missed {
            log::warn!(target: LOG_TARGET, revision; "others were told of list {newer} by discovery, this proxy has {revision} and asks again");
            // As after a silence: the module spreads the calls of all that were told of it in one moment.
            self.handle_event(Some(Event::ListSilent));
        }
    }
}

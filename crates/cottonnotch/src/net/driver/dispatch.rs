//! Dispatches network events: each goes to the part that handles it, and the resulting events go to the decision
//! module.

use super::Driver;
use super::context;
use super::endpoints::UpdateSource;
use super::log_target::LOG_TARGET;
use crate::net::network_event::{ClientEvent, NetworkEvent};
use crate::rules::RulesService;
use cottonnotch_decision::Event;
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::Key;
use std::net::SocketAddr;

impl Driver {
    pub(super) fn dispatch(&mut self, network_event: NetworkEvent) {
        let context = &mut self.context;
        match network_event {
            NetworkEvent::Client(client, event) => self.dispatch_client_event(client, event),
            NetworkEvent::ClientsWaiting => {
                self.acceptor.on_clients_waiting(context, self.clients.in_progress())
            }
            NetworkEvent::AdminsWaiting => self.management.on_admins_waiting(context),
            NetworkEvent::AdminRequested(admin, request) => self.handle_admin_request(admin, &request),
            NetworkEvent::Datagrams(received) => self.handle_datagrams(&received),
            NetworkEvent::EndpointUpdate { watch, update } => {
                if self.endpoints.adopt_watch(context, watch) {
                    self.apply_endpoint_update(update, UpdateSource::Discovery);
                }
            }
            NetworkEvent::WatchUnchanged { watch } => {
                self.endpoints.adopt_watch(context, watch);
            }
            NetworkEvent::WatchLost { watch, loss, reason } => {
                let event = self.endpoints.handle_watch_lost(context, watch, loss, &reason);
                self.handle_event(event);
            }
            NetworkEvent::ClaimsEnded => self.settle_claims(),
            NetworkEvent::Terminate => self.terminate(),
            NetworkEvent::Reload => self.reload(),
            NetworkEvent::Timer(timer) => self.dispatch_timer(timer),
        }
    }

    fn dispatch_timer(&mut self, timer: u32) {
        let context = &mut self.context;
        match timer {
            context::TICK_TIMER => self.tick(),
            context::DRAIN_ROUND_TIMER => self.drain_round(),
            context::REOPEN_TIMER => {
                let events = self.clients.reopen_all(context, &self.endpoints);
                self.handle_events(events);
            }
            context::ACCEPT_CLIENTS_TIMER => {
                self.acceptor.on_accept_timer(context, self.clients.in_progress())
            }
            context::ACCEPT_ADMINS_TIMER => self.management.on_accept_timer(context),
            context::PEERS_TIMER => self.handle_peers_timer(),
            context::POLL_SIBLINGS_TIMER => self.poll_siblings(),
            context::CLAIM_TIMER => self.expire_claims(),
            token => self.handle_event(Some(Event::Timer(token))),
        }
    }

    fn dispatch_client_event(&mut self, client: Key, event: ClientEvent) {
        let (context, latency, endpoints) = (&mut self.context, &mut self.latency, &self.endpoints);
        let events = match event {
            ClientEvent::Rejected(error) => self.clients.handle_rejected(context, latency, client, &error),
            ClientEvent::ConnectionRequested(request) => {
                let acceptor = &mut self.acceptor;
                [self.clients.handle_connection_request(context, acceptor, endpoints, client, request), None]
            }
            ClientEvent::AttemptWritten => {
                self.clients.handle_attempt_written(context, client);
                return;
            }
            ClientEvent::Established { elapsed } => {
                [self.clients.handle_established(context, latency, endpoints, client, elapsed), None]
            }
            ClientEvent::AttemptEnded(outcome) => self.clients.handle_attempt_ended(context, client, outcome),
            ClientEvent::EndpointSilent => {
                self.clients.record_silent_endpoint(context, endpoints, client);
                return;
            }
            ClientEvent::Ended(outcome) => {
                [self.clients.handle_connection_ended(context, latency, client, outcome), None]
            }
            ClientEvent::Left(outcome) => self.clients.handle_client_left(context, latency, client, outcome),
            ClientEvent::LoadReported(load) => {
                let (now, tracked) = (context.now(), self.clients.requests().get(client));
                [tracked.and_then(|tracked| latency.handle_load_report(now, tracked, load)), None]
            }
            ClientEvent::LineAnswered { latency: answered_after } => {
                if let Some(tracked) = self.clients.requests().get(client) {
                    latency.record(context.now(), tracked, answered_after);
                }
                return;
            }
        };
        // The effects of the first event are carried out before the second event is handed over.
        for event in events {
            self.handle_event(event);
        }
    }

    fn handle_datagrams(&mut self, received: &[(SocketAddr, Vec<u8>)]) {
        let events =
            self.with_peers(|peers, context, inputs| peers.handle_datagrams(context, inputs, received));
        self.handle_events(events);
    }

    fn handle_peers_timer(&mut self) {
        let events = self.with_peers(|peers, context, inputs| peers.on_timer(context, inputs));
        self.handle_events(events);
    }

    pub(super) fn apply_endpoint_update(&mut self, update: EndpointUpdate, source: UpdateSource) {
        let event = self.endpoints.apply_update(&mut self.context, &mut self.latency, update, source);
        self.handle_event(Some(event));
        // Must follow the update of the decision module, so that it sends the cancelled requests to other endpoints.
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
    }

    /// Performs the periodic work. Called once a second.
    fn tick(&mut self) {
        self.context.observe_wall_clock();
        self.context.audit.report_overdue(self.context.now());
        self.clients.open_ids().release_expired(self.context.now());
        // The rules may now allow or forbid queued requests.
        let rules_event = self.context.rules.as_mut().and_then(RulesService::tick);
        self.handle_event(rules_event);
        self.refresh_stale_list();
        let events = self.with_peers(|peers, context, inputs| peers.tick(context, inputs));
        self.handle_events(events);
        let events = self.latency.tick(&mut self.context, self.clients.requests());
        self.handle_events(events);
    }

    /// Requests the list from discovery again if other proxies have a newer revision. A watch that is open but silent
    /// would be detected only after several heartbeats, and drained nodes would be used until then.
    fn refresh_stale_list(&mut self) {
        let revision = self.endpoints.revision();
        let newer = self.context.rules.as_ref().and_then(|rules| rules.newer_list_revision(revision));
        if let Some(newer) = newer {
            log::warn!(
                target: LOG_TARGET, revision;
                "other proxies have list {newer} of discovery, this proxy has {revision} and asks again"
            );
            // `ListSilent` makes the module spread the requests to discovery over time, since all proxies may learn
            // of the newer list at the same moment.
            self.handle_event(Some(Event::ListSilent));
        }
    }
}

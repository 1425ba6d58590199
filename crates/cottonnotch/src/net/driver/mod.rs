//! Between the sockets and the decisions: turns network events into the module's events and carries out its
//! actions in order. Here the network's terms (endpoint, request, attempt) meet the module's (server,
//! request, send); nothing is decided.
//!
//! This file is the core: it hands each network event to the part that translates it, each event to the module, and
//! each action to the part that carries it out. A request's way: a front reads a client's line and tells its
//! `ConnectionRequest` ([`Driver::take`]), [`clients`] makes an event of it, the module answers with an action
//! ([`Driver::settle`]), [`clients`] asks the front for an attempt ([`Driver::act`]), and once that is up the
//! front relays.

mod acceptor;
mod audit;
mod clients;
mod clock_file;
mod context;
mod endpoints;
#[cfg(test)]
mod golden_tests;
mod hot_restart;
mod lifecycle;
mod maintenance_file;
mod management;
mod message_latency;
mod peers;
mod records;
mod request_table;
mod shutdown;
mod transient_errors;
mod unregistered_clients;

use super::management::metrics::Gauges;
use super::management::{AdminRequest, AdminResponse};
use super::network_event::{NetworkEvent, Object};
use crate::config::Config;
use crate::rules::RulesService;
use acceptor::Acceptor;
use audit::Audit;
use clients::Clients;
use clock_file::ClockFile;
use context::Context;
use cottonnotch_decision::{Action, Balancer, Event, Micros, Notification, ServerId};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::listener::Binding;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use cottonnotch_reactor::signals::{SIGHUP, SIGTERM, Signals};
use cottonnotch_reactor::{Clock, Key, Reactor};
use cottonnotch_records::{MoveReason, Recorder};
use endpoints::Endpoints;
use lifecycle::{DrainRound, Lifecycle, Reloaded, Reread};
use management::{Management, shared_file};
use message_latency::MessageLatency;
use peers::{PeerContext, Peers};
use records::Records;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use transient_errors::retry_transient;

/// The records' writer is waited for so long at the end: a shutdown is over 150 ms before SIGKILL may come.
const RECORDS_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Everything that one proxy holds.
pub struct Driver {
    context: Context,
    balancer: Balancer,
    pending: VecDeque<Event>,
    acceptor: Acceptor,
    clients: Clients,
    latency: MessageLatency,
    endpoints: Endpoints,
    lifecycle: Lifecycle,
    peers: Peers,
    management: Management,
    no_endpoint_log: RateLimitedLog,
    /// Said when it can't listen beside an earlier process.
    listen_failure_log: RateLimitedLog,
}

impl Driver {
    /// Opens the sockets and starts the module. `reread` gets the configuration anew on SIGHUP.
    pub fn start(config: Config, recorder: Recorder, reread: Reread) -> io::Result<Self> {
        let mut reactor = retry_transient("poll", || Reactor::<dyn Object>::new(Clock::unix()))?;
        reactor.io.buffer_bound = config.buffer_bound;
        // Guards against the system's own answer to a signal, which is to end the process.
        let signals: [(i32, fn() -> NetworkEvent); 2] =
            [(SIGTERM, || NetworkEvent::Terminate), (SIGHUP, || NetworkEvent::Reload)];
        for (signal, network_event) in signals {
            retry_transient("hear signals", || {
                reactor.insert(|key, io| Ok(Box::new(Signals::register(signal, network_event, key, io)?)))
            })?;
        }
        let mut balancer = Balancer::new(config.profile.settings.clone(), config.seed, reactor.io.now());
        let known = config.known.clone();
        let names = recorder.is_on();
        let records = Records::new(recorder, &config.profile);
        let audit = Audit::new(config.profile.settings.clone());
        let clock_file = ClockFile::at(shared_file(config.listen, "clock"), reactor.io.now());
        let wall_clock = clock_file.load(reactor.io.now(), Clock::wall());
        let mut context = Context {
            reactor,
            config,
            records,
            audit,
            wall_clock,
            clock_file,
            rules: None,
            sibling_descriptors: 0,
            requests: 0,
        };
        context.save_wall_clock();
        let mut lifecycle = Lifecycle::new(&context, reread);
        let has_predecessor = lifecycle.has_predecessor(&mut context);
        if let Some(settings) = context.config.rules.clone() {
            let (profile, seed) = (&context.config.profile, context.config.seed);
            let rules = RulesService::start(settings, profile, seed, names, has_predecessor)?;
            balancer = balancer.under(Box::new(rules.rulings().clone()));
            context.rules = Some(rules);
        }
        let mut driver = Driver {
            latency: MessageLatency::start(&mut context),
            peers: retry_transient("hear other proxies", || Peers::start(&mut context, has_predecessor))?,
            management: retry_transient("hear operators", || Management::start(&mut context))?,
            context,
            balancer,
            pending: VecDeque::new(),
            acceptor: Acceptor::default(),
            clients: Clients::default(),
            endpoints: Endpoints::default(),
            lifecycle,
            no_endpoint_log: RateLimitedLog::default(),
            listen_failure_log: RateLimitedLog::default(),
        };
        // Before the first list: nothing must go to what is out.
        driver.sync_maintenance();
        driver.apply_endpoint_update(known, true);
        if has_predecessor {
            log::info!("an earlier process serves, clients are let in once the list is there");
        } else {
            retry_transient("listen for clients", || driver.listen())?;
        }
        Ok(driver)
    }

    /// Serves until a shutdown is over. Records end with it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.context.reactor.turn()?;
            while let Some(network_event) = self.context.reactor.io.reports.pop_front() {
                self.dispatch(network_event);
            }
            if self.lifecycle.is_over(self.context.now()) {
                self.close_records();
                return Ok(());
            }
        }
    }

    fn close_records(&mut self) {
        self.context.audit.finish();
        let counts = self.context.records.close(RECORDS_CLOSE_TIMEOUT);
        // What was not written in time is lost as well, though nobody counted it.
        let lost = counts.produced.saturating_sub(counts.written);
        if lost > 0 {
            let written = counts.written;
            log::warn!(lost, written; "{lost} records of this run were lost, {written} were written");
        }
    }

    fn dispatch(&mut self, network_event: NetworkEvent) {
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

    fn apply_endpoint_update(&mut self, result: EndpointUpdate, copy: bool) {
        let event = self.endpoints.update(&mut self.context, &mut self.latency, result, copy);
        self.handle_event(Some(event));
        // After the module knows: what is called off now goes elsewhere.
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
    }

    fn tick(&mut self) {
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
    fn refresh_stale_list(&mut self) {
        let revision = self.endpoints.revision();
        let missed = self.context.rules.as_ref().and_then(|rules| rules.newer_list_revision(revision));
        if let Some(newer) = missed {
            log::warn!(revision; "others were told of list {newer} by discovery, this proxy has {revision} and asks again");
            // As after a silence: the module spreads the calls of all that were told of it in one moment.
            self.handle_event(Some(Event::ListSilent));
        }
    }

    fn reload(&mut self) {
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

    /// An operator calls; the answer is given in this turn.
    fn handle_admin_request(&mut self, admin: Key, admin_request: &AdminRequest) {
        let answer = match admin_request {
            AdminRequest::Status => {
                let not_ready_reason = self.not_ready_reason();
                if not_ready_reason.is_none() {
                    self.lifecycle.announce_ready();
                }
                Management::status(not_ready_reason)
            }
            AdminRequest::Metrics => {
                let (known, skipped) = self.endpoints.gauges(self.context.now());
                let rules = self.context.rules.as_ref().map(RulesService::status);
                let (in_progress, homes) = (self.clients.requests().len(), self.peers.homes());
                let gauges = Gauges { in_progress, known, skipped, rules, homes };
                AdminResponse::ok(self.context.records.metrics().text(gauges, self.context.audit.metrics()))
            }
            AdminRequest::Enter(id) => self.set_maintenance(id, true),
            AdminRequest::Exit(id) => self.set_maintenance(id, false),
        };
        self.management.answer(&mut self.context, admin, &answer);
    }

    /// The answer is given once the call is in force: what is held or is to be tried again has gone elsewhere.
    fn set_maintenance(&mut self, id: &str, out: bool) -> AdminResponse {
        let (context, latency, endpoints) = (&mut self.context, &mut self.latency, &mut self.endpoints);
        let (answer, events) = self.management.set_maintenance(context, latency, endpoints, id, out);
        self.handle_events(events);
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
        answer
    }

    /// What operators have called for, here or at another process of this proxy.
    fn sync_maintenance(&mut self) {
        let event = self.management.sync(&mut self.context, &mut self.latency, &mut self.endpoints);
        self.handle_event(event);
        self.clients.cancel_unwritten_attempts(&mut self.context, &self.endpoints);
    }

    /// What other processes of this proxy did.
    fn poll_siblings(&mut self) {
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
                log::error!(address:%, error:%, left_out; "cannot listen beside the earlier process: {error}");
            }
        }
    }

    /// Lets clients in.
    fn listen(&mut self) -> io::Result<()> {
        // Alone where no other process could be told of: a second one by mistake is to fail.
        let binding = if self.lifecycle.can_hot_restart() { Binding::Shared } else { Binding::Alone };
        let address = self.acceptor.listen(&mut self.context, binding)?;
        self.lifecycle.set_address(address);
        // No key-values: scripts take the last word as the address.
        log::info!("{} listens on {address}", self.context.config.name);
        Ok(())
    }

    /// A successor, if there is one, serves clients from now on.
    fn hand_over_listener(&mut self) {
        if self.acceptor.is_listening() && self.lifecycle.has_successor() {
            self.acceptor.begin_close(&mut self.context, self.clients.requests().len());
            self.peers.hand_over(&mut self.context);
            self.context.rules.iter_mut().for_each(RulesService::stop_consensus);
        }
    }

    fn can_take_over(&self) -> bool {
        let has_maintenance = self.endpoints.is_confirmed() && self.management.has_maintenance();
        self.endpoints.has_usable_endpoint()
            && self.lifecycle.can_take_over(self.context.now(), has_maintenance)
    }

    /// Why this process is not ready to serve, if it isn't.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if self.lifecycle.is_draining() {
            Some("it is shutting down")
        } else if !self.endpoints.has_usable_endpoint() {
            Some("no render node is listed that may be used")
        } else if !self.acceptor.is_listening() {
            Some("it does not listen for clients yet")
        } else {
            None
        }
    }

    fn drain_round(&mut self) {
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

    fn with_peers<T>(&mut self, use_them: impl FnOnce(&mut Peers, &mut Context, PeerContext<'_>) -> T) -> T {
        let (latency, requests) = (&mut self.latency, self.clients.requests().len());
        use_them(
            &mut self.peers,
            &mut self.context,
            PeerContext { latency, endpoints: &self.endpoints, requests },
        )
    }

    // ---- the module ----

    fn handle_events(&mut self, events: Vec<Event>) {
        self.pending.extend(events);
        self.process_pending();
    }

    fn handle_event(&mut self, event: Option<Event>) {
        self.pending.extend(event);
        self.process_pending();
    }

    /// Hands the module what is pending, and what comes of its own actions.
    fn process_pending(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            let now = self.context.now();
            log::debug!("event {event:?}");
            self.peers.witness(now, &event);
            self.audit_event(now, &event);
            self.context.rules.iter().for_each(|rules| rules.observe_event(&event));
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                log::debug!("action {action:?}");
                self.execute(now, action);
            }
        }
    }

    /// What the module is about to hear of servers and settings, for the guard.
    fn audit_event(&mut self, now: Micros, event: &Event) {
        let audit = &mut self.context.audit;
        match event {
            Event::List { full, entries, .. } => audit.listed(now, *full, entries),
            Event::ManualOverride { entries } => audit.listed(now, false, entries),
            Event::Settings(settings) => audit.set((**settings).clone()),
            _ => {}
        }
    }

    fn execute(&mut self, now: Micros, action: Action) {
        let (context, latency) = (&mut self.context, &mut self.latency);
        let event = match action {
            Action::Send { request, server, timeout, before } => {
                self.clients.start_attempt(context, &self.endpoints, request, server, timeout, before)
            }
            Action::Reject { request, retry_after, reason: why } => {
                self.clients.reject(context, latency, request, retry_after, why);
                None
            }
            Action::Fail { request, reason: why } => {
                self.clients.fail(context, latency, request, why);
                None
            }
            Action::Migrate(request) => {
                let why = self.clients.migration_reason(&self.endpoints, request);
                self.clients.migrate(context, latency, &self.endpoints, request, why)
            }
            Action::WatchList => self.endpoints.watch(context),
            // No probe is made: the module asks for none.
            Action::Probe(server) => Some(Event::Probed { server, report: None }),
            Action::Timer { after, token } => {
                context.reactor.io.owner_timer(now + after, token);
                None
            }
            Action::HealthChanged { server, health: belief } => {
                self.endpoints.set_belief(server, belief);
                context.records.believes(|| self.endpoints.shared_name(server), belief);
                None
            }
            Action::Log { notification, server } => {
                self.log(now, notification, server);
                None
            }
        };
        self.pending.extend(event);
    }

    fn log(&mut self, now: Micros, notification: Notification, server: Option<ServerId>) {
        if notification == Notification::Queueing && self.no_endpoint_log.due(now).is_none() {
            return;
        }
        let endpoint = server.map_or("-", |server| self.endpoints.name(server));
        let (discovery, revision) = (self.context.config.discovery, self.endpoints.revision());
        let requests = self.clients.requests().len();
        match notification {
            Notification::PausedFailing => {
                log::warn!(endpoint; "endpoint {endpoint} paused, keeps failing")
            }
            Notification::Recovered => {
                log::info!(endpoint; "endpoint {endpoint} back after a good trial")
            }
            Notification::Queueing => log::warn!(requests; "no endpoint can be used now, holding requests"),
            Notification::ListUnreachable => {
                log::error!(
                    discovery:%, revision;
                    "discovery cannot be reached, going on with the last list"
                )
            }
        }
    }
}

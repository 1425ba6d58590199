//! Between the sockets and the decisions: turns happenings into the module's events and carries out its
//! actions in order. Here the network's terms (subchannel, RPC, call attempt) meet the module's (server,
//! request, send); nothing is decided.
//!
//! This file is the core: it hands each happening to the part that translates it, each event to the module, and
//! each action to the part that carries it out. A request's way: a front reads a client's line and tells its
//! `Wish` ([`Driver::take`]), [`clients`] makes an event of it, the module answers with an action
//! ([`Driver::settle`]), [`clients`] asks the front for a call attempt ([`Driver::act`]), and once that is up the
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
use super::management::{Answer, Call};
use super::network_event::{Happening, Object};
use crate::config::Config;
use crate::rules::RulesService;
use acceptor::Arrivals;
use audit::Audit;
use clients::Clients;
use clock_file::ClockFile;
use context::Net;
use cottonnotch_decision::{Action, Balancer, Event, Micros, Notification, ServerId};
use cottonnotch_proxy_core::EndpointUpdate;
use cottonnotch_reactor::listener::Binding;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use cottonnotch_reactor::signals::{SIGHUP, SIGTERM, Signals};
use cottonnotch_reactor::{Clock, Key, Reactor};
use cottonnotch_records::{MoveReason, Recorder};
use endpoints::Subchannels;
use lifecycle::{Lifecycle, Reloaded, Reread, Round};
use management::{Management, shared_file};
use message_latency::Messages;
use peers::{Around, Peers};
use records::Records;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use transient_errors::patiently;

/// The records' writer is waited for so long at the end: a shutdown is over 150 ms before SIGKILL may come.
const RECORDS_WITHIN: Duration = Duration::from_millis(100);

/// Everything that one proxy holds.
pub struct Driver {
    net: Net,
    balancer: Balancer,
    pending: VecDeque<Event>,
    arrivals: Arrivals,
    clients: Clients,
    messages: Messages,
    subchannels: Subchannels,
    lifecycle: Lifecycle,
    peers: Peers,
    management: Management,
    holding: RateLimitedLog,
    /// Said when it can't listen beside an earlier process.
    shut_out: RateLimitedLog,
}

impl Driver {
    /// Opens the sockets and starts the module. `reread` gets the configuration anew on SIGHUP.
    pub fn start(config: Config, recorder: Recorder, reread: Reread) -> io::Result<Self> {
        let mut reactor = patiently("poll", || Reactor::<dyn Object>::new(Clock::unix()))?;
        reactor.io.buffer_bound = config.buffer_bound;
        // Guards against the system's own answer to a signal, which is to end the process.
        let signals: [(i32, fn() -> Happening); 2] =
            [(SIGTERM, || Happening::Terminate), (SIGHUP, || Happening::Reload)];
        for (signal, happening) in signals {
            patiently("hear signals", || {
                reactor.insert(|key, io| Ok(Box::new(Signals::register(signal, happening, key, io)?)))
            })?;
        }
        let mut balancer = Balancer::new(config.profile.settings.clone(), config.seed, reactor.io.now());
        let known = config.known.clone();
        let names = recorder.is_on();
        let records = Records::new(recorder, &config.profile);
        let audit = Audit::new(config.profile.settings.clone());
        let clock_file = ClockFile::at(shared_file(config.listen, "clock"), reactor.io.now());
        let wall = clock_file.load(reactor.io.now(), Clock::wall());
        let mut net = Net {
            reactor,
            config,
            records,
            audit,
            wall,
            clock_file,
            rules: None,
            held_elsewhere: 0,
            rpcs: 0,
        };
        net.keep_wall();
        let mut lifecycle = Lifecycle::new(&net, reread);
        let has_elder = lifecycle.has_elder(&mut net);
        if let Some(settings) = net.config.rules.clone() {
            let (profile, seed) = (&net.config.profile, net.config.seed);
            let rules = RulesService::start(settings, profile, seed, names, has_elder)?;
            balancer = balancer.under(Box::new(rules.rulings().clone()));
            net.rules = Some(rules);
        }
        let mut driver = Driver {
            messages: Messages::start(&mut net),
            peers: patiently("hear other proxies", || Peers::start(&mut net, has_elder))?,
            management: patiently("hear operators", || Management::start(&mut net))?,
            net,
            balancer,
            pending: VecDeque::new(),
            arrivals: Arrivals::default(),
            clients: Clients::default(),
            subchannels: Subchannels::default(),
            lifecycle,
            holding: RateLimitedLog::default(),
            shut_out: RateLimitedLog::default(),
        };
        // Before the first list: nothing must go to what is out.
        driver.look_for_calls();
        driver.resolved(known, true);
        if has_elder {
            log::info!("an earlier process serves, clients are let in once the list is there");
        } else {
            patiently("listen for clients", || driver.open())?;
        }
        Ok(driver)
    }

    /// Serves until a shutdown is over. Records end with it.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            self.net.reactor.turn()?;
            while let Some(happening) = self.net.reactor.io.reports.pop_front() {
                self.take(happening);
            }
            if self.lifecycle.is_over(self.net.now()) {
                self.close_records();
                return Ok(());
            }
        }
    }

    fn close_records(&mut self) {
        self.net.audit.finish();
        let counts = self.net.records.close(RECORDS_WITHIN);
        // What was not written in time is lost as well, though nobody counted it.
        let lost = counts.produced.saturating_sub(counts.written);
        if lost > 0 {
            let written = counts.written;
            log::warn!(lost, written; "{lost} records of this run were lost, {written} were written");
        }
    }

    fn take(&mut self, happening: Happening) {
        let (net, messages) = (&mut self.net, &mut self.messages);
        match happening {
            Happening::Acceptable => self.arrivals.acceptable(net, self.clients.calls().len()),
            Happening::Timer(context::ACCEPT) => self.arrivals.accept_again(net, self.clients.calls().len()),

            Happening::Callable => self.management.acceptable(net),
            Happening::Timer(context::CALLERS) => self.management.accept_again(net),
            Happening::Called(caller, call) => self.called(caller, &call),
            Happening::Timer(context::LOOK) => self.look(),

            Happening::TurnedAway { rpc, why } => {
                for event in self.clients.turned_away(net, messages, rpc, &why) {
                    self.tell(event);
                }
            }
            Happening::Asked(key, wish) => {
                let event = self.clients.asked(net, &mut self.arrivals, &self.subchannels, key, wish);
                self.tell(event);
            }
            Happening::Written { rpc } => self.clients.written(net, rpc),
            Happening::Up { rpc, elapsed } => {
                let event = self.clients.up(net, messages, &self.subchannels, rpc, elapsed);
                self.tell(event);
            }
            Happening::AttemptEnded { rpc, outcome } => {
                for event in self.clients.attempt_ended(net, rpc, outcome) {
                    self.tell(event);
                }
            }
            Happening::Ended { rpc, outcome } => {
                let event = self.clients.ended(net, messages, rpc, outcome);
                self.tell(event);
            }
            Happening::ClientGone { rpc, outcome } => {
                for event in self.clients.left(net, messages, rpc, outcome) {
                    self.tell(event);
                }
            }
            Happening::Silent { rpc } => self.clients.silent(net, &self.subchannels, rpc),
            Happening::Timer(context::REOPEN) => self.clients.reopen_all(net, &self.subchannels),

            Happening::Load { rpc, load } => {
                let now = net.now();
                let event = self.clients.calls().get(rpc).and_then(|call| messages.load(now, call, load));
                self.tell(event);
            }
            Happening::Message { rpc, delay } => {
                if let Some(call) = self.clients.calls().get(rpc) {
                    messages.delayed(net.now(), call, delay);
                }
            }
            Happening::Timer(context::TICK) => self.tick(),

            Happening::Datagrams(heard) => {
                let around =
                    Around { messages, subchannels: &self.subchannels, rpcs: self.clients.calls().len() };
                let events = self.peers.datagrams(net, around, &heard);
                self.tell_all(events);
            }
            Happening::Timer(context::GOSSIP) => {
                let around =
                    Around { messages, subchannels: &self.subchannels, rpcs: self.clients.calls().len() };
                let events = self.peers.timer(net, around);
                self.tell_all(events);
            }

            Happening::Resolved { watch, result } => {
                if self.subchannels.is_watch(watch) {
                    self.resolved(result, false);
                }
            }
            Happening::ResolverLost { watch, silent, why } => {
                let event = self.subchannels.lost(net, watch, silent, &why);
                self.tell(event);
            }

            Happening::Terminate => {
                if self.lifecycle.terminate(net, self.clients.calls()) {
                    self.hand_over();
                    self.round();
                }
            }
            Happening::Timer(context::ROUND) => self.round(),
            Happening::Reload => self.reload(),

            Happening::Timer(token) => self.tell(Some(Event::Timer(token))),
        }
    }

    fn resolved(&mut self, result: EndpointUpdate, copy: bool) {
        let event = self.subchannels.take(&mut self.net, &mut self.messages, result, copy);
        self.tell(Some(event));
        // After the module knows: what is called off now goes elsewhere.
        self.clients.call_off_unwritten(&mut self.net, &self.subchannels);
    }

    fn tick(&mut self) {
        self.net.observe_wall();
        self.net.audit.look_for_overdue(self.net.now());
        // What is held may be allowed now, or forbidden.
        let ruled = self.net.rules.as_mut().and_then(RulesService::tick);
        self.tell(ruled);
        self.catch_up();
        let events = self.with_peers(|peers, net, around| peers.tick(net, around));
        self.tell_all(events);
        let events = self.messages.tick(&mut self.net, self.clients.calls());
        self.tell_all(events);
    }

    /// Asks discovery anew if others were told of a newer list. Guards against a watch that is open and silent: it would show
    /// by itself only after several beats, and drained nodes be used until then.
    fn catch_up(&mut self) {
        let revision = self.subchannels.revision();
        let missed = self.net.rules.as_ref().and_then(|rules| rules.newer_list_revision(revision));
        if let Some(newer) = missed {
            log::warn!(revision; "others were told of list {newer} by discovery, this proxy has {revision} and asks again");
            // As after a silence: the module spreads the calls of all that were told of it in one moment.
            self.tell(Some(Event::ListSilent));
        }
    }

    fn reload(&mut self) {
        let reloaded = self.lifecycle.reload(&mut self.net, &mut self.messages);
        let Some(Reloaded { event, moved }) = reloaded else { return };
        self.tell(Some(event));
        let events = self.with_peers(|peers, net, around| peers.reload(net, around));
        self.tell_all(events);
        if moved {
            // At once, and from the last revision taken: the old address may have told its last already.
            // That its watch ends is no failure; the module hears only of the new one's.
            let event = self.subchannels.watch(&mut self.net);
            self.tell(event);
        }
    }

    /// An operator calls; the answer is given in this turn.
    fn called(&mut self, caller: Key, call: &Call) {
        let answer = match call {
            Call::Status => {
                let trouble = self.trouble();
                if trouble.is_none() {
                    self.lifecycle.say_ready();
                }
                Management::status(trouble)
            }
            Call::Metrics => {
                let (known, skipped) = self.subchannels.gauges(self.net.now());
                let rules = self.net.rules.as_ref().map(RulesService::status);
                let (in_progress, homes) = (self.clients.calls().len(), self.peers.homes());
                let gauges = Gauges { in_progress, known, skipped, rules, homes };
                Answer::yes(self.net.records.figures().text(gauges, self.net.audit.figures()))
            }
            Call::Enter(id) => self.by_hand(id, true),
            Call::Exit(id) => self.by_hand(id, false),
        };
        self.management.answer(&mut self.net, caller, &answer);
    }

    /// The answer is given once the call is in force: what is held or is to be tried again has gone elsewhere.
    fn by_hand(&mut self, id: &str, out: bool) -> Answer {
        let (net, messages, subchannels) = (&mut self.net, &mut self.messages, &mut self.subchannels);
        let (answer, events) = self.management.by_hand(net, messages, subchannels, id, out);
        self.tell_all(events);
        self.clients.call_off_unwritten(&mut self.net, &self.subchannels);
        answer
    }

    /// What operators have called for, here or at another process of this proxy.
    fn look_for_calls(&mut self) {
        let event = self.management.look(&mut self.net, &mut self.messages, &mut self.subchannels);
        self.tell(event);
        self.clients.call_off_unwritten(&mut self.net, &self.subchannels);
    }

    /// What other processes of this proxy did.
    fn look(&mut self) {
        self.look_for_calls();
        self.net.rpcs = self.clients.calls().len();
        let has_elder = self.lifecycle.has_elder(&mut self.net);
        self.peers.retry(&mut self.net);
        if self.lifecycle.is_leaving() {
            self.hand_over();
        } else if !self.arrivals.is_open() && (!has_elder || self.is_settled()) {
            // It is tried again at the next look; the earlier process goes on.
            if let Err(error) = self.open()
                && let Some(left_out) = self.shut_out.due(self.net.now())
            {
                let address = self.net.config.listen;
                log::error!(address:%, error:%, left_out; "cannot listen beside the earlier process: {error}");
            }
        }
    }

    /// Lets clients in.
    fn open(&mut self) -> io::Result<()> {
        // Alone where no other process could be told of: a second one by mistake is to fail.
        let binding = if self.lifecycle.may_be_replaced() { Binding::Shared } else { Binding::Alone };
        let address = self.arrivals.open(&mut self.net, binding)?;
        self.lifecycle.listens_on(address);
        // No key-values: scripts take the last word as the address.
        log::info!("{} listens on {address}", self.net.config.name);
        Ok(())
    }

    /// A successor, if there is one, serves clients from now on.
    fn hand_over(&mut self) {
        if self.arrivals.is_open() && self.lifecycle.has_successor() {
            self.arrivals.close(&mut self.net, self.clients.calls().len());
            self.peers.hand_over(&mut self.net);
            self.net.rules.iter_mut().for_each(RulesService::stop_consensus);
        }
    }

    fn is_settled(&self) -> bool {
        let is_informed = self.subchannels.is_confirmed() && self.management.is_informed();
        self.subchannels.can_place() && self.lifecycle.is_settled(self.net.now(), is_informed)
    }

    /// Why this process is not ready to serve, if it isn't.
    fn trouble(&self) -> Option<&'static str> {
        if self.lifecycle.is_leaving() {
            Some("it is shutting down")
        } else if !self.subchannels.can_place() {
            Some("no render node is listed that may be used")
        } else if !self.arrivals.is_open() {
            Some("it does not listen for clients yet")
        } else {
            None
        }
    }

    fn round(&mut self) {
        let round = self.lifecycle.round(&mut self.net, self.clients.calls());
        let Some(Round { leaving, is_last }) = round else { return };
        for request in leaving {
            let (net, messages, subchannels) = (&mut self.net, &mut self.messages, &self.subchannels);
            let ended =
                self.clients.move_away(net, messages, subchannels, request, MoveReason::ProxyShutdown);
            self.pending.extend(ended);
        }
        self.settle();
        if is_last {
            self.with_peers(|peers, net, around| peers.leave(net, around));
            // In each round up to the end: clients may still come.
            self.tell(Some(Event::ShuttingDown));
            self.clients.abandon(&mut self.net, &mut self.messages);
            self.arrivals.go_away(&mut self.net);
        }
    }

    fn with_peers<T>(&mut self, use_them: impl FnOnce(&mut Peers, &mut Net, Around<'_>) -> T) -> T {
        let (messages, rpcs) = (&mut self.messages, self.clients.calls().len());
        use_them(&mut self.peers, &mut self.net, Around { messages, subchannels: &self.subchannels, rpcs })
    }

    // ---- the module ----

    fn tell_all(&mut self, events: Vec<Event>) {
        self.pending.extend(events);
        self.settle();
    }

    fn tell(&mut self, event: Option<Event>) {
        self.pending.extend(event);
        self.settle();
    }

    /// Hands the module what is pending, and what comes of its own actions.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            let now = self.net.now();
            log::debug!("event {event:?}");
            self.peers.witness(now, &event);
            self.watch_servers(now, &event);
            self.net.rules.iter().for_each(|rules| rules.observe_event(&event));
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                log::debug!("action {action:?}");
                self.act(now, action);
            }
        }
    }

    /// What the module is about to hear of servers and settings, for the guard.
    fn watch_servers(&mut self, now: Micros, event: &Event) {
        let audit = &mut self.net.audit;
        match event {
            Event::List { full, entries, .. } => audit.listed(now, *full, entries),
            Event::ManualOverride { entries } => audit.listed(now, false, entries),
            Event::Settings(settings) => audit.set((**settings).clone()),
            _ => {}
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        let (net, messages) = (&mut self.net, &mut self.messages);
        let event = match action {
            Action::Send { request, server, timeout, before } => {
                self.clients.send(net, &self.subchannels, request, server, timeout, before)
            }
            Action::Reject { request, retry_after, reason: why } => {
                self.clients.refuse(net, messages, request, retry_after, why);
                None
            }
            Action::Fail { request, reason: why } => {
                self.clients.fail(net, messages, request, why);
                None
            }
            Action::Migrate(request) => {
                let why = self.clients.reason_to_move(&self.subchannels, request);
                self.clients.move_away(net, messages, &self.subchannels, request, why)
            }
            Action::WatchList => self.subchannels.watch(net),
            // No probe is made: the module asks for none.
            Action::Probe(server) => Some(Event::Probed { server, report: None }),
            Action::Timer { after, token } => {
                net.reactor.io.owner_timer(now + after, token);
                None
            }
            Action::HealthChanged { server, health: belief } => {
                self.subchannels.believed(server, belief);
                net.records.believes(|| self.subchannels.shared_name(server), belief);
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
        if notification == Notification::Queueing && self.holding.due(now).is_none() {
            return;
        }
        let subchannel = server.map_or("-", |server| self.subchannels.name(server));
        let (discovery, revision) = (self.net.config.discovery, self.subchannels.revision());
        let rpcs = self.clients.calls().len();
        match notification {
            Notification::PausedFailing => {
                log::warn!(subchannel; "subchannel {subchannel} paused, keeps failing")
            }
            Notification::Recovered => {
                log::info!(subchannel; "subchannel {subchannel} back after a good trial")
            }
            Notification::Queueing => log::warn!(rpcs; "no subchannel can be used now, holding RPCs"),
            Notification::ListUnreachable => {
                log::error!(
                    discovery:%, revision;
                    "discovery cannot be reached, going on with the last list"
                )
            }
        }
    }
}

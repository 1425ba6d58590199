//! The balancer: the state of one node's decisions, and the dispatch of events to the methods that handle
//! them.

use super::arrivals::{ArrivalRate, SetupPacing};
use super::requests::Requests;
use super::server::Servers;
use super::turns::Rotation;
use crate::affinity::AffinitySubsets;
use crate::interface::*;
use crate::list_polling::ListPoller;
use crate::names::hash_to_unit;
use crate::pending_request::PendingRequest;
use crate::quota::Quota;
use crate::rules::RoutingRules;

/// Timer token: dispatch the queued requests again.
pub(super) const WAKE_UP: u32 = 0;
/// Timer token: poll the server list.
pub(super) const POLL_LIST: u32 = 1;
/// Timer token: start the next round of migrating connections off draining servers.
pub(super) const DRAIN_ROUND: u32 = 2;

/// Makes the decisions of one node. Each field holds the state of one concern.
#[derive(Debug, Default)]
pub struct Balancer {
    pub(super) settings: Settings,
    /// Evaluates the routing rules; `None` if the node has no rules.
    pub(super) rules: Option<Box<dyn RoutingRules>>,
    pub(super) jitter: Jitter,
    pub(super) servers: Servers,
    pub(super) requests: Requests,
    pub(super) rotation: Rotation,
    /// When the next round of migrating connections off draining servers is due; `None` if none is
    /// scheduled.
    pub(super) next_drain_round_at: Option<Micros>,
    pub(super) list_poller: ListPoller,
    pub(super) arrivals: ArrivalRate,
    pub(super) setups: SetupPacing,
    /// The stated sizes of the affinity subsets.
    pub(super) affinity_subsets: AffinitySubsets,
    /// This node's share of the limits that hold for all nodes together.
    pub(super) quota: Quota,
    /// The node is shutting down: it sends nothing more, and answers the requests that are still owed an
    /// answer.
    pub(super) shutting_down: bool,
}

impl Balancer {
    /// Creates the state of a node that starts at `now`. `seed` initialises the node's jitter.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Balancer {
            quota: Quota::even(settings.nodes),
            list_poller: ListPoller::new(settings.nodes, settings.list_pushed),
            jitter: Jitter { state: seed },
            arrivals: ArrivalRate::new(now),
            setups: SetupPacing::new(now),
            settings,
            ..Balancer::default()
        }
    }

    /// Adds routing rules, which are evaluated before each send.
    pub fn with_rules(self, rules: Box<dyn RoutingRules>) -> Self {
        Balancer { rules: Some(rules), ..self }
    }

    /// Handles one event and appends the resulting actions to `out`, in the order in which the embedder
    /// must carry them out.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { full, copy, entries } => self.list_received(now, full, copy, entries, out),
            Event::ManualOverride { entries } => self.apply_entries(now, entries, out),
            Event::ListFailed => self.list_failed(now, out),
            Event::ListSilent => self.list_silent(now, out),
            Event::Request(request) => self.request_arrived(now, request, out),
            Event::Open { request, server } => self.adopt_open_connection(now, request, server, out),
            Event::Established { request, server, elapsed, .. } => {
                self.connection_established(now, request, server, elapsed, out);
            }
            Event::Ended { request, server, outcome, last, .. } => {
                self.record_outcome(now, server, request, outcome, out);
                if last {
                    self.finish(request);
                } else {
                    self.retry(now, request, server, outcome, out);
                }
            }
            Event::ClientClosed(request) => self.finish(request),
            Event::LoadUpdate { request, load } => self.requests.set_load(request, load),
            Event::LatencyUpdate { server, latency } => self.latency_changed(now, server, latency, out),
            Event::Timer(token) => self.timer_fired(now, token, out),
            Event::Settings(settings) => self.replace_settings(*settings),
            Event::Fleet(status) => self.fleet_status_changed(now, status),
            Event::Processes(count) => self.processes_changed(now, count),
            Event::AffinitySubsets(sizes) => self.affinity_subsets.set(sizes),
            Event::RulesChanged => self.dispatch_queued(now, out),
            Event::ShuttingDown => {
                self.shutting_down = true;
                self.dispatch_queued(now, out);
            }
            Event::PeerReport { from, server, verdict } => {
                self.peer_reported(now, from, server, verdict, out);
            }
            Event::Probed { .. } => {}
        }
    }

    /// Handles a timer. A timer is ignored if a sooner one of the same kind was set after it and has done
    /// its work.
    fn timer_fired(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        let is_due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        match token {
            WAKE_UP if is_due(self.requests.wake_up_at) => {
                self.requests.wake_up_at = None;
                self.dispatch_queued(now, out);
            }
            POLL_LIST if self.list_poller.is_due(now) => self.poll_list(now, out),
            DRAIN_ROUND if is_due(self.next_drain_round_at) => self.drain(now, out),
            _ => {}
        }
    }

    fn replace_settings(&mut self, settings: Settings) {
        self.quota.set_nodes(settings.nodes);
        self.list_poller.configure(settings.nodes, settings.list_pushed);
        let previous = std::mem::replace(&mut self.settings, settings);
        if self.settings.weights != previous.weights {
            self.servers.evaluate_weights(self.settings.weights);
        }
    }

    /// Dispatches a client's request. The request counts as an arrival unless the client came back.
    fn request_arrived(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        if !request.again {
            self.arrivals.record(now);
        }
        let id = request.id;
        self.requests.pending.insert(id, PendingRequest::new(request, now));
        self.dispatch(now, id, out);
    }

    /// Takes over a connection that was open before this instance started.
    fn adopt_open_connection(
        &mut self,
        now: Micros,
        request: Request,
        server: ServerId,
        out: &mut Vec<Action>,
    ) {
        let id = request.id;
        let locality = self.servers.get(server).map(|s| s.listing.locality).unwrap_or_default();
        let adopted = PendingRequest::adopted(request, now, server, locality);
        self.requests.pending.insert(id, adopted);
        self.add_connection(id, server);
        self.drain_late_connection(now, server, out);
    }

    fn connection_established(
        &mut self,
        now: Micros,
        request: RequestId,
        server: ServerId,
        elapsed: Micros,
        out: &mut Vec<Action>,
    ) {
        self.add_connection(request, server);
        self.setups.record_success(now, elapsed <= self.settings.quick_setup_time());
        if let Some(s) = self.servers.get_mut(server) {
            s.peer_reports.record_own_success(now);
        }
        self.trial_succeeded(now, server, request, out);
        self.drain_late_connection(now, server, out);
    }

    fn add_connection(&mut self, id: RequestId, server: ServerId) {
        if !self.requests.pending.contains_key(&id) {
            return;
        }
        if let Some(s) = self.servers.get_mut(server) {
            s.connections.open.push(id);
        }
    }
}

/// Random number generator of this node. Each draw advances the sequence, so the order of draws is part of
/// the behaviour.
#[derive(Debug, Default)]
pub(super) struct Jitter {
    state: u64,
}

impl Jitter {
    /// Returns the next random number, from 0 to 1.
    pub(super) fn draw(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash_to_unit(self.state)
    }
}

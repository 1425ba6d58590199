//! The endpoints: the render nodes listed by discovery, the watch on discovery, and the operators' overrides.

use super::context::Context;
use super::discovery_calls::DiscoveryCalls;
use super::endpoint::{Endpoint, Incarnation};
use super::log_target::LOG_TARGET;
use super::message_latency::MessageLatency;
use crate::maintenance::Maintenance;
use crate::net::network_event::WatchLoss;
use crate::rules::NodeKind;
use cottonnotch_decision::names::Names;
use cottonnotch_decision::{Entry, Event, Micros, ServerHealth, ServerId, ServerState, ZoneId};
use cottonnotch_proxy_core::{EndpointEntry, EndpointUpdate, Servers};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use cottonnotch_records::Name;
use std::net::SocketAddr;

/// The origin of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// The list that came with the configuration and may be outdated.
    Configuration,
    /// Discovery's own list.
    Discovery,
}

/// All endpoints that were ever listed.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// The endpoints' ids. Their numbers are the decision module's server ids and are never reused.
    names: Names,
    endpoints: Vec<Endpoint>,
    /// The open calls to discovery.
    calls: DiscoveryCalls,
    revision: u64,
    /// The operators' overrides as stored, in Unix time.
    manual_overrides: Maintenance,
    /// The same overrides by the event loop's clock, converted when each override first became known.
    effective_overrides: Maintenance,
    /// Whether discovery has sent a list. Before that, the list from the configuration is used.
    has_discovery_list: bool,
    watch_loss_log: RateLimitedLog,
}

impl Endpoints {
    // ---- updates ----

    /// Applies an update and returns the event for the decision module.
    ///
    /// Revisions normally increase. A complete list with a lower revision is accepted: discovery was restored from an
    /// older state, and its current list applies. Changes with a lower revision are rejected and the complete list is
    /// requested, because such changes do not tell what else differs.
    pub fn apply_update(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        update: EndpointUpdate,
        source: UpdateSource,
    ) -> Event {
        let EndpointUpdate { revision, complete, endpoints } = update;
        // Must precede the conversion of start times: the wall clock may have been stepped since its last sample, up
        // to a second ago.
        context.observe_wall_clock();
        if revision < self.revision {
            if !complete {
                return self.reject_older_changes(context, revision);
            }
            self.accept_older_list(context, revision);
        }
        self.revision = revision;
        self.has_discovery_list |= source == UpdateSource::Discovery;
        if complete {
            self.endpoints.iter_mut().for_each(|endpoint| endpoint.state = ServerState::Removed);
        }
        let now = context.now();
        let listed = endpoints.into_iter();
        let entries: Vec<Entry> =
            listed.map(|listed| self.apply_entry(context, latency, now, listed)).collect();
        self.record_update(context, complete, &entries);
        self.update_rules(context, complete, &entries);
        self.log_update(complete, &entries);
        Event::List { full: complete, copy: source == UpdateSource::Configuration, entries }
    }

    fn reject_older_changes(&mut self, context: &mut Context, revision: u64) -> Event {
        let last = self.revision;
        context.records.older_list_rejected();
        log::warn!(
            target: LOG_TARGET, revision, last;
            "changes of revision {revision} after {last} rejected, the complete list is requested"
        );
        self.revision = 0;
        self.calls.close_all(context);
        Event::ListFailed
    }

    fn accept_older_list(&self, context: &mut Context, revision: u64) {
        let last = self.revision;
        context.records.older_list_accepted();
        log::warn!(
            target: LOG_TARGET, revision, last;
            "discovery has gone back from revision {last} to {revision}, its list is accepted"
        );
    }

    fn apply_entry(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        now: Micros,
        listed: EndpointEntry,
    ) -> Entry {
        // Numbers are never reused: an endpoint that restarts or moves keeps its number.
        let number = self.names.intern(&listed.id);
        if self.endpoints.len() <= number as usize {
            // Numbers are assigned in order, so a new number is always the next index.
            self.endpoints.push(Endpoint::new(listed.id.as_str().into()));
        }
        let server = ServerId(number);
        let weight = listed.weight;
        let zone = ZoneId(context.config.profile.zones.intern(&listed.zone) as u16);
        let endpoint = &mut self.endpoints[number as usize];
        let incarnation = endpoint.apply(listed, zone, |unix| context.wall_clock.to_monotonic(now, unix));
        latency.update_endpoint(server, weight, incarnation);
        endpoint.entry(server, &self.effective_overrides)
    }

    fn log_update(&self, complete: bool, entries: &[Entry]) {
        let (revision, endpoints) = (self.revision, entries.len());
        log::debug!(
            target: LOG_TARGET, revision, endpoints, complete;
            "endpoint update {revision}: {endpoints} endpoints, complete {complete}"
        );
        for entry in entries.iter().filter(|entry| entry.state != ServerState::Ready) {
            let (endpoint, state) = (self.name(entry.server), entry.state);
            log::info!(target: LOG_TARGET, endpoint, state:?, revision; "endpoint {endpoint} is {state:?}");
        }
    }

    /// Passes the entries to the rules: the nodes' halls and hardware classes, and which nodes may be used.
    fn update_rules(&self, context: &Context, full: bool, entries: &[Entry]) {
        let Some(rules) = &context.rules else { return };
        let profile = &context.config.profile;
        let kind_of = |server: ServerId| {
            let endpoint = self.get(server);
            let (zone, hardware_class) = endpoint
                .map_or((ZoneId::default(), ""), |endpoint| (endpoint.zone, &*endpoint.hardware_class));
            NodeKind { hall: profile.zones.name(u32::from(zone.0)).into(), hardware: hardware_class.into() }
        };
        rules.update_endpoints(profile, self.revision, full, entries, kind_of);
    }

    fn get(&self, server: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(server.0 as usize)
    }

    fn record_update(&self, context: &Context, full: bool, entries: &[Entry]) {
        let named = entries.iter().map(|entry| {
            let endpoint = &self.endpoints[entry.server.0 as usize];
            (entry, Name::clone(&endpoint.name), endpoint.address)
        });
        context.records.endpoint_list(self.revision, full, named);
    }

    // ---- manual overrides ----

    /// The operators' overrides, in Unix time.
    pub fn manual_overrides(&self) -> &Maintenance {
        &self.manual_overrides
    }

    /// Whether a render node with this id is listed now or has a stored override.
    pub fn is_known(&self, id: &str) -> bool {
        let listed = self.names.find(id).and_then(|number| self.endpoints.get(number as usize));
        listed.is_some_and(Endpoint::is_listed) || self.manual_overrides.contains(id)
    }

    /// Replaces the overrides; `ids` are the nodes whose override changed. Returns an event if any of those nodes was
    /// ever listed.
    pub fn set_overrides(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        manual_overrides: Maintenance,
        ids: &[String],
    ) -> Option<Event> {
        context.observe_wall_clock();
        let now = context.now();
        self.manual_overrides = manual_overrides;
        self.effective_overrides
            .copy_overrides(&self.manual_overrides, ids, |unix| context.wall_clock.to_monotonic(now, unix));
        let mut entries = Vec::new();
        for id in ids {
            let is_out = self.manual_overrides.is_out(id);
            let change = if is_out { "taken out" } else { "put back" };
            log::info!(target: LOG_TARGET, endpoint = id.as_str(); "endpoint {id} {change} by hand");
            let Some(number) = self.names.find(id) else { continue };
            let Some(endpoint) = self.endpoints.get(number as usize) else { continue };
            let server = ServerId(number);
            // Earlier measurements do not apply to the process that comes back after maintenance.
            let incarnation = if is_out { Incarnation::Same } else { Incarnation::New };
            latency.update_endpoint(server, endpoint.weight, incarnation);
            entries.push(endpoint.entry(server, &self.effective_overrides));
        }
        self.record_update(context, false, &entries);
        self.update_rules(context, false, &entries);
        (!entries.is_empty()).then_some(Event::ManualOverride { entries })
    }

    // ---- the watch on discovery ----

    /// Requests the changes after the last accepted revision, beside calls that are not answered yet. Returns an event
    /// if that fails.
    pub fn start_watch(&mut self, context: &mut Context) -> Option<Event> {
        let discovery = context.config.discovery;
        let error = self.calls.start(context, self.revision).err()?;
        context.records.watch_lost();
        log::warn!(target: LOG_TARGET, discovery:%, error:%; "cannot watch discovery: {error}");
        Some(Event::ListFailed)
    }

    /// Requests the changes after the last accepted revision from another discovery. What the earlier one may still
    /// answer does not count.
    pub fn restart_watch(&mut self, context: &mut Context) -> Option<Event> {
        self.calls.close_all(context);
        self.start_watch(context)
    }

    /// Takes the call that has sent an update as the watch, in place of all others. Returns false if the call is
    /// closed.
    pub fn adopt_watch(&mut self, context: &mut Context, watch: Key) -> bool {
        self.calls.adopt(context, watch)
    }

    /// Handles the loss of a watch. Returns an event if the watch was not closed before and no later call is open. A
    /// silent watch stays open: it may only be slow.
    pub fn handle_watch_lost(
        &mut self,
        context: &mut Context,
        watch: Key,
        loss: WatchLoss,
        reason: &str,
    ) -> Option<Event> {
        if !self.calls.contains(watch) {
            return None;
        }
        let (discovery, revision) = (context.config.discovery, self.revision);
        context.records.watch_lost();
        if let Some(more) = self.watch_loss_log.due(context.now()) {
            log::warn!(
                target: LOG_TARGET, discovery:%, revision, left_out = more;
                "watch on discovery lost: {reason} ({more} more since the last such line)"
            );
        }
        let has_later_call = self.calls.has_later(context, watch);
        let event = match loss {
            WatchLoss::Silent => Event::ListSilent,
            WatchLoss::Failed => {
                self.calls.ended(watch);
                Event::ListFailed
            }
        };
        (!has_later_call).then_some(event)
    }

    /// The open calls to discovery, oldest first.
    pub fn calls(&self) -> &DiscoveryCalls {
        &self.calls
    }

    // ---- queries ----

    /// The last accepted revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The endpoint's id in discovery's lists.
    pub fn name(&self, server: ServerId) -> &str {
        self.names.name(server.0)
    }

    /// The endpoint's id as a shared string.
    pub fn shared_name(&self, server: ServerId) -> Name {
        self.get(server).map_or_else(|| "-".into(), |endpoint| Name::clone(&endpoint.name))
    }

    /// Stores the decision module's new rating of an endpoint.
    pub fn set_health(&mut self, server: ServerId, health: ServerHealth) {
        self.endpoints.get_mut(server.0 as usize).into_iter().for_each(|endpoint| endpoint.health = health);
    }

    /// Whether discovery has sent a list.
    pub fn has_discovery_list(&self) -> bool {
        self.has_discovery_list
    }

    /// Whether the lists and the operators allow new requests to at least one endpoint.
    pub fn has_usable_endpoint(&self) -> bool {
        self.endpoints.iter().any(|endpoint| {
            endpoint.state == ServerState::Ready && !self.manual_overrides.is_out(&endpoint.name)
        })
    }

    /// The number of listed endpoints, and how many of them receive no new requests because they are paused or taken
    /// out by an operator.
    pub fn gauges(&self, now: Micros) -> (usize, usize) {
        let paused =
            |endpoint: &Endpoint| matches!(endpoint.health, ServerHealth::Paused { until } if until > now);
        let skipped = |endpoint: &&Endpoint| paused(endpoint) || self.manual_overrides.is_out(&endpoint.name);
        let listed = || self.endpoints.iter().filter(|endpoint| endpoint.is_listed());
        (listed().count(), listed().filter(skipped).count())
    }

    /// Whether the list and the operators allow new requests to this endpoint.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.get(server).is_some_and(|endpoint| {
            endpoint.entry(server, &self.effective_overrides).state == ServerState::Ready
        })
    }

    /// Whether the list or the operators mark this endpoint as draining.
    pub fn is_draining(&self, server: ServerId) -> bool {
        self.get(server).is_some_and(|endpoint| {
            endpoint.entry(server, &self.effective_overrides).state == ServerState::Draining
        })
    }

    /// The endpoint with this id, if it was ever listed.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.names.find(name).map(ServerId)
    }

    /// The address at which the endpoint listens, if known.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.get(server).and_then(|endpoint| endpoint.address)
    }
}

impl Servers for Endpoints {
    fn count(&self) -> usize {
        self.names.len()
    }

    fn name(&self, server: ServerId) -> &str {
        self.name(server)
    }

    fn started(&self, server: ServerId) -> Option<Micros> {
        self.get(server).and_then(|endpoint| endpoint.started)
    }
}

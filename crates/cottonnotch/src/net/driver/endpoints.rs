//! The render nodes: the lists that a discovery client brings, and the watch that brings them.

use super::context::{Context, LOG_TARGET};
use super::message_latency::MessageLatency;
use crate::maintenance::Maintenance;
use crate::net::discovery_client::DiscoveryWatch;
use crate::rules::NodeKind;
use cottonnotch_decision::names::{Names, digest};
use cottonnotch_decision::{Entry, Event, Micros, ServerHealth, ServerId, ServerState, ZoneId};
use cottonnotch_proxy_core::{EndpointUpdate, Servers};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use cottonnotch_records::Name;
use std::net::SocketAddr;

/// A render node, as the discovery client has it.
#[derive(Debug)]
struct Endpoint {
    name: Name,
    /// As discovery lists it.
    state: ServerState,
    address: Option<SocketAddr>,
    /// When its process started, as discovery tells it in Unix time; and by the loop's clock, worked out when that was first told.
    up_since: Option<Micros>,
    started: Option<Micros>,
    zone: ZoneId,
    /// Its hardware class, as discovery names it.
    flavor: Box<str>,
    cell: u32,
    weight: f64,
    /// What the module last said of it.
    belief: ServerHealth,
}

impl Endpoint {
    fn new(name: Name) -> Self {
        let (state, belief, zone) = (ServerState::Removed, ServerHealth::default(), ZoneId::default());
        let flavor = Box::default();
        let (address, up_since, started) = (None, None, None);
        Endpoint { name, state, address, up_since, started, zone, flavor, cell: 0, weight: 1.0, belief }
    }

    fn is_listed(&self) -> bool {
        self.state != ServerState::Removed
    }

    /// What the module is told of it.
    fn entry(&self, server: ServerId, manual_overrides: &Maintenance) -> Entry {
        let (state, started) = manual_overrides.apply(&self.name, self.state, self.started);
        let (digest, zone, cell, weight) = (digest(&self.name), self.zone, self.cell, self.weight);
        Entry { server, digest, state, zone, cell, started, weight }
    }
}

/// All that were ever listed.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// Their ids: the numbers are the module's servers, and are never given anew.
    names: Names,
    known: Vec<Endpoint>,
    watch: Option<Key>,
    revision: u64,
    /// What the operators have laid over the lists, as it is kept: in Unix time.
    manual_overrides: Maintenance,
    /// The same by the loop's clock, worked out when each call was first known.
    effective_overrides: Maintenance,
    /// Discovery has been heard of; before, there is what the configuration remembers.
    is_confirmed: bool,
    watch_loss_log: RateLimitedLog,
}

impl Endpoints {
    /// Takes a list, or changes of it; `copy` if it came with the start. Revisions count up. A whole list with a lower
    /// one is discovery's own word all the same: it was restored from an older state, and what it says now counts.
    /// Changes with a lower one say nothing of what was changed since: they are refused, and the whole list is asked for.
    pub fn update(
        &mut self,
        context: &mut Context,
        latency: &mut MessageLatency,
        result: EndpointUpdate,
        copy: bool,
    ) -> Event {
        let EndpointUpdate { revision, complete: full, endpoints: members } = result;
        // Before times that were told are looked at: the wall clock may have been stepped since the last second.
        context.observe_wall_clock();
        let now = context.now();
        if revision < self.revision {
            let last = self.revision;
            context.records.list_fell_back(full);
            if !full {
                log::warn!(
                    target: LOG_TARGET, revision, last;
                    "changes of revision {revision} after {last} refused, the whole list is asked for"
                );
                self.revision = 0;
                if let Some(watch) = self.watch.take() {
                    context.reactor.remove(watch);
                }
                return Event::ListFailed;
            }
            log::warn!(
                target: LOG_TARGET, revision, last;
                "discovery has gone back from revision {last} to {revision}, its list is taken"
            );
        }
        self.revision = revision;
        self.is_confirmed |= !copy;
        if full {
            self.known.iter_mut().for_each(|endpoint| endpoint.state = ServerState::Removed);
        }
        let mut entries = Vec::with_capacity(members.len());
        for member in members {
            // Numbers are never given anew: a member that restarts or moves keeps its number.
            let number = self.names.intern(&member.id);
            if self.known.len() <= number as usize {
                // Numbers are given in order, so the new one's place is the next.
                self.known.push(Endpoint::new(member.id.as_str().into()));
            }
            let endpoint = &mut self.known[number as usize];
            let zone = ZoneId(context.config.profile.zones.intern(&member.zone) as u16);
            (endpoint.state, endpoint.zone) = (member.state, zone);
            (endpoint.cell, endpoint.weight) = (member.cell, member.weight);
            if *endpoint.flavor != *member.flavor {
                endpoint.flavor = member.flavor.into();
            }
            endpoint.address = member.address.or(endpoint.address);
            let anew = std::mem::replace(&mut endpoint.up_since, member.up_since) != member.up_since;
            if anew {
                endpoint.started = member.up_since.map(|unix| context.wall_clock.to_monotonic(now, unix));
            }
            latency.listed(ServerId(number), member.weight, anew);
            entries.push(endpoint.entry(ServerId(number), &self.effective_overrides));
        }
        self.record(context, full, &entries);
        self.update_rules(context, full, &entries);
        let members = entries.len();
        log::debug!(
            target: LOG_TARGET, revision, members, complete = full;
            "endpoint update {revision}: {members} members, complete {full}"
        );
        for entry in entries.iter().filter(|e| e.state != ServerState::Ready) {
            let (endpoint, state) = (self.name(entry.server), entry.state);
            log::info!(target: LOG_TARGET, endpoint, state:?, revision; "endpoint {endpoint} is {state:?}");
        }
        Event::List { full, copy, entries }
    }

    /// What the rules have to know of these: halls and hardware classes, and which may be used.
    fn update_rules(&self, context: &Context, full: bool, entries: &[Entry]) {
        let Some(rules) = &context.rules else { return };
        let profile = &context.config.profile;
        let kind_of = |server: ServerId| {
            let endpoint = self.known.get(server.0 as usize);
            let (zone, flavor) = endpoint.map_or((ZoneId::default(), ""), |s| (s.zone, &*s.flavor));
            NodeKind { hall: profile.zones.name(u32::from(zone.0)).into(), hardware: flavor.into() }
        };
        rules.update_endpoints(profile, self.revision, full, entries, kind_of);
    }

    fn record(&self, context: &Context, full: bool, entries: &[Entry]) {
        let named = entries.iter().map(|entry| {
            let endpoint = &self.known[entry.server.0 as usize];
            (entry, Name::clone(&endpoint.name), endpoint.address)
        });
        context.records.list(self.revision, full, named);
    }

    // ---- by hand ----

    /// What the operators have laid over the lists.
    pub fn manual_overrides(&self) -> &Maintenance {
        &self.manual_overrides
    }

    /// A render node of this id is listed now, or a call for it is remembered.
    pub fn is_known(&self, id: &str) -> bool {
        let listed = self.names.find(id).and_then(|number| self.known.get(number as usize));
        listed.is_some_and(Endpoint::is_listed) || self.manual_overrides.contains(id)
    }

    /// The operators have called for something else: these ids are concerned. An event, if any was ever listed.
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
            let how = if is_out { "taken out" } else { "put back" };
            log::info!(target: LOG_TARGET, endpoint = id.as_str(); "endpoint {id} {how} by hand");
            let Some(number) = self.names.find(id) else { continue };
            let Some(endpoint) = self.known.get(number as usize) else { continue };
            let server = ServerId(number);
            // What was seen of it before says nothing of the process that comes back.
            latency.listed(server, endpoint.weight, !is_out);
            entries.push(endpoint.entry(server, &self.effective_overrides));
        }
        self.record(context, false, &entries);
        self.update_rules(context, false, &entries);
        (!entries.is_empty()).then_some(Event::ManualOverride { entries })
    }

    /// Begins a watch from the last revision taken, in place of the old one. An event if that fails.
    pub fn watch(&mut self, context: &mut Context) -> Option<Event> {
        if let Some(old) = self.watch.take() {
            context.reactor.remove(old);
        }
        let (discovery, from) = (context.config.discovery, self.revision);
        match context.reactor.insert(|key, io| Ok(Box::new(DiscoveryWatch::start(discovery, from, key, io)?)))
        {
            Ok(key) => {
                self.watch = Some(key);
                None
            }
            Err(error) => {
                log::warn!(target: LOG_TARGET, discovery:%, error:%; "cannot watch discovery: {error}");
                Some(Event::ListFailed)
            }
        }
    }

    /// A watch is lost; an event if it was the current one.
    pub fn watch_lost(
        &mut self,
        context: &mut Context,
        watch: Key,
        silent: bool,
        why: &str,
    ) -> Option<Event> {
        if !self.is_watch(watch) {
            return None;
        }
        let (discovery, revision) = (context.config.discovery, self.revision);
        context.records.watch_lost();
        if let Some(more) = self.watch_loss_log.due(context.now()) {
            log::warn!(
                target: LOG_TARGET, discovery:%, revision, left_out = more;
                "watch on discovery lost: {why} ({more} more since the last such line)"
            );
        }
        self.watch = None;
        Some(if silent { Event::ListSilent } else { Event::ListFailed })
    }

    /// It is the current watch: what another one said is old.
    pub fn is_watch(&self, watch: Key) -> bool {
        self.watch == Some(watch)
    }

    /// The last revision taken.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn name(&self, server: ServerId) -> &str {
        self.names.name(server.0)
    }

    /// Its name, to be kept.
    pub fn shared_name(&self, server: ServerId) -> Name {
        self.known.get(server.0 as usize).map_or_else(|| "-".into(), |s| Name::clone(&s.name))
    }

    /// The module believes this of it from now on.
    pub fn set_belief(&mut self, server: ServerId, belief: ServerHealth) {
        self.known.get_mut(server.0 as usize).into_iter().for_each(|s| s.belief = belief);
    }

    /// Discovery has been heard of.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Some endpoint may get new requests, as far as lists tell.
    pub fn has_usable_endpoint(&self) -> bool {
        self.known.iter().any(|s| s.state == ServerState::Ready && !self.manual_overrides.is_out(&s.name))
    }

    /// How many are listed, and how many of these get nothing new now though discovery says that they may.
    pub fn gauges(&self, now: Micros) -> (usize, usize) {
        let paused = |s: &Endpoint| matches!(s.belief, ServerHealth::Paused { until } if until > now);
        let skipped = |s: &&Endpoint| paused(s) || self.manual_overrides.is_out(&s.name);
        let listed = || self.known.iter().filter(|s| s.is_listed());
        (listed().count(), listed().filter(skipped).count())
    }

    /// It may get new requests, as far as the list and the operators tell.
    pub fn is_ready(&self, server: ServerId) -> bool {
        let endpoint = self.known.get(server.0 as usize);
        endpoint.is_some_and(|s| s.entry(server, &self.effective_overrides).state == ServerState::Ready)
    }

    /// The list, or the operators, say that it drains.
    pub fn is_draining(&self, server: ServerId) -> bool {
        let endpoint = self.known.get(server.0 as usize);
        endpoint.is_some_and(|s| s.entry(server, &self.effective_overrides).state == ServerState::Draining)
    }

    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.names.find(name).map(ServerId)
    }

    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.known.get(server.0 as usize).and_then(|s| s.address)
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
        self.known.get(server.0 as usize).and_then(|endpoint| endpoint.started)
    }
}

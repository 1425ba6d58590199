//! The other proxies of the fleet. A small fleet gossips and a large one aggregates load reports; the choice is made
//! at the start. This module has the socket, the timer and the logging; the protocols are in
//! `cottonnotch_proxy_core`.

use super::context::{Context, PEERS_TIMER};
use super::endpoints::Endpoints;
use super::lifecycle::Predecessor;
use super::log_target::LOG_TARGET;
use super::message_latency::MessageLatency;
use crate::config::GossipConfig;
use crate::net::datagrams::Datagrams;
use crate::net::management::metrics::AffinityMetrics;
use crate::net::object::Object;
use cottonnotch_aggregation::Settings;
use cottonnotch_decision::{Event, Micros};
use cottonnotch_gossip::{Gossip, State};
use cottonnotch_proxy_core::{Input, LocalState, Output, Roster, WakeUpTimer};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use std::io;
use std::net::SocketAddr;

/// This proxy's part in the fleet.
pub struct Peers {
    member: Option<Member>,
    /// Whether another process of this proxy holds the address, so that binding is retried.
    waits_for_address: bool,
}

/// This proxy as a member of the fleet, with its socket.
struct Member {
    peers: cottonnotch_proxy_core::Peers,
    socket: Key,
    wake_up_timer: WakeUpTimer,
    /// Number of dropped datagrams when they were last logged.
    logged_drops: u64,
    drop_log: RateLimitedLog,
}

impl Member {
    /// Opens the socket, if an address for it is configured. Fails if the address cannot be bound.
    fn start(context: &mut Context) -> io::Result<Option<Self>> {
        match aggregation_settings(context) {
            Some(settings) => Member::start_aggregation(context, settings),
            None => Member::start_gossip(context),
        }
    }

    fn start_aggregation(context: &mut Context, settings: Settings) -> io::Result<Option<Self>> {
        let members = context.config.peer_addresses.peers.len();
        let me = context.config.profile.settings.ordinal;
        let Some(listen) = context.config.peer_addresses.listen else { return Ok(None) };
        if me as usize >= members {
            log::warn!(target: LOG_TARGET, members; "no aggregation: this proxy is number {me} of {members}");
            return Ok(None);
        }
        let socket = bind_socket(context, listen)?;
        let (seed, now) = (context.config.seed, context.now());
        let unix = context.wall_clock.unix(now);
        let member = cottonnotch_aggregation::Member::new(settings, me, members as u32, seed, now, unix);
        log::info!(target: LOG_TARGET, peers = members, listen:%; "aggregation with {} other proxies", members - 1);
        let peers = cottonnotch_proxy_core::Peers::with_aggregation(member, roster(context));
        Ok(Some(Member::new(context, peers, socket)))
    }

    fn start_gossip(context: &mut Context) -> io::Result<Option<Self>> {
        let Some(GossipConfig { settings, keys, incarnation }) = context.config.gossip.clone() else {
            return Ok(None);
        };
        let Some(listen) = context.config.peer_addresses.listen else { return Ok(None) };
        let (me, members) =
            (context.config.profile.settings.ordinal, context.config.peer_addresses.peers.len() as u32);
        let socket = bind_socket(context, listen)?;
        let (seed, now, strength) = (context.config.seed, context.now(), settings.strength);
        let gossip = Gossip::new(settings, keys, me, members, incarnation, seed, now);
        log::info!(target: LOG_TARGET, peers = members, listen:%; "gossip with {} other proxies", members.saturating_sub(1));
        let peers = cottonnotch_proxy_core::Peers::with_gossip(gossip, strength, roster(context));
        Ok(Some(Member::new(context, peers, socket)))
    }

    fn new(context: &mut Context, peers: cottonnotch_proxy_core::Peers, socket: Key) -> Self {
        let (wake_up_timer, drop_log) = (WakeUpTimer::default(), RateLimitedLog::default());
        let mut member = Member { peers, socket, wake_up_timer, logged_drops: 0, drop_log };
        member.arm(context);
        member
    }

    fn arm(&mut self, context: &mut Context) {
        if let Some(after) = self.wake_up_timer.arm(context.now(), self.peers.next_timeout()) {
            context.set_timer(after, PEERS_TIMER);
        }
    }

    /// Logs how many datagrams the member has dropped since the last log line, if any.
    fn log_dropped(&mut self, now: Micros) {
        let Some(counts) = self.peers.aggregation_member().map(cottonnotch_aggregation::Member::counts)
        else {
            return;
        };
        let all = counts.dropped + counts.late;
        if all > self.logged_drops && self.drop_log.due(now).is_some() {
            let more = all - std::mem::replace(&mut self.logged_drops, all);
            log::info!(target: LOG_TARGET, more, late = counts.late; "{more} datagrams of the fleet were dropped: unknown, unrequested or too late");
        }
    }

    fn handle(&mut self, context: &Context, peer_inputs: &mut PeerInputs<'_>, input: Input<'_>) {
        let mut local = LocalState {
            latencies: peer_inputs.latency.latencies(),
            servers: peer_inputs.endpoints,
            settings: &context.config.profile.settings,
            requests: peer_inputs.requests,
            unix: context.wall_clock.unix(context.now()),
        };
        self.peers.handle(context.now(), input, &mut local);
    }

    /// Carries out the member's outputs and returns the events for the decision module.
    fn process_outputs(&mut self, context: &mut Context) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(output) = self.peers.poll() {
            match output {
                Output::Send { to, bytes } => send(context, self.socket, to, &bytes),
                Output::Event(event) => {
                    if let Event::AffinitySubsets(subsets) = &event {
                        let largest = subsets.iter().map(|(_, size)| *size).max().unwrap_or(0);
                        log::debug!(
                            target: LOG_TARGET, groups = subsets.len(), largest;
                            "{} groups have affinity subsets of more than five endpoints", subsets.len()
                        );
                    }
                    events.push(event);
                }
                Output::Member { ordinal, state, incarnation } => {
                    let name = state_name(state);
                    log::info!(target: LOG_TARGET, peer = ordinal, state = name; "proxy {ordinal} is {name}");
                    context.records.peer(ordinal, state, incarnation);
                }
                Output::Aggregator(Some(aggregator)) => {
                    log::debug!(target: LOG_TARGET, aggregator; "proxy {aggregator} aggregates the fleet's reports");
                }
                Output::Aggregator(None) => {
                    log::warn!(target: LOG_TARGET, "no aggregator answers, going on with the last snapshot");
                }
            }
        }
        self.arm(context);
        events
    }
}

/// What the member reads and updates while it handles inputs.
pub struct PeerInputs<'a> {
    /// Latencies and loads of this proxy's connections.
    pub latency: &'a mut MessageLatency,
    /// The endpoints that discovery has listed.
    pub endpoints: &'a Endpoints,
    /// The number of requests in progress.
    pub requests: usize,
}

impl Peers {
    /// Opens the socket, if this proxy exchanges datagrams with others. Fails if the address cannot be bound, unless
    /// a predecessor may still hold it: in that case [`Self::retry_start`] binds it later.
    pub fn start(context: &mut Context, predecessor: Predecessor) -> io::Result<Self> {
        let waits_for_address = predecessor == Predecessor::Serving;
        match Member::start(context) {
            Ok(member) => Ok(Peers { member, waits_for_address: false }),
            Err(error) if waits_for_address && error.kind() == io::ErrorKind::AddrInUse => {
                log::info!(target: LOG_TARGET, "gossip begins once the earlier process has released its address");
                Ok(Peers { member: None, waits_for_address })
            }
            Err(error) => Err(error),
        }
    }

    /// Retries to bind the address if another process held it.
    pub fn retry_start(&mut self, context: &mut Context) {
        if self.waits_for_address
            && let Ok(member) = Member::start(context)
        {
            (self.member, self.waits_for_address) = (member, false);
        }
    }

    /// Releases the socket for a successor of this proxy. No leave message is sent: the successor has the same member
    /// number, and the message would mark both processes as gone.
    pub fn hand_over(&mut self, context: &mut Context) {
        self.waits_for_address = false;
        if let Some(member) = self.member.take() {
            context.reactor.remove(member.socket);
        }
    }

    /// Applies a new configuration, whose keys may have changed.
    pub fn reload(&mut self, context: &mut Context, mut peer_inputs: PeerInputs<'_>) -> Vec<Event> {
        let keys = context.config.gossip.as_ref().map(|gossip| gossip.keys.clone());
        keys.map_or_else(Vec::new, |keys| self.handle_inputs(context, &mut peer_inputs, [Input::Keys(keys)]))
    }

    /// Metrics of the affinity subsets, or `None` if they are off.
    pub fn affinity_metrics(&self) -> Option<AffinityMetrics> {
        let member =
            self.member.as_ref()?.peers.aggregation_member().filter(|member| member.wants_groups())?;
        let counts = member.counts();
        let largest_subset = member.affinity_subsets().map(|(_, size)| size).max().unwrap_or(0);
        Some(AffinityMetrics {
            groups: member.affinity_subsets().count() as u64,
            largest_subset: u64::from(largest_subset),
            tables_received: counts.subset_size_datagrams_received,
            groups_cut: counts.groups_truncated,
            datagrams_dropped: counts.dropped + counts.late,
        })
    }

    /// Lets the member observe an event that the decision module is about to receive.
    pub fn observe_event(&mut self, now: Micros, event: &Event) {
        self.member.iter_mut().for_each(|member| member.peers.observe(now, event));
    }

    /// Sends this proxy's reports. Called once a second.
    pub fn tick(&mut self, context: &mut Context, mut peer_inputs: PeerInputs<'_>) -> Vec<Event> {
        let events = self.handle_inputs(context, &mut peer_inputs, [Input::EverySecond]);
        self.member.iter_mut().for_each(|member| member.log_dropped(context.now()));
        events
    }

    /// Handles received datagrams.
    pub fn handle_datagrams(
        &mut self,
        context: &mut Context,
        mut peer_inputs: PeerInputs<'_>,
        received: &[(SocketAddr, Vec<u8>)],
    ) -> Vec<Event> {
        let inputs = received.iter().map(|(from, bytes)| Input::Datagram { from: *from, bytes });
        self.handle_inputs(context, &mut peer_inputs, inputs)
    }

    /// Handles the wake-up timer, which may be outdated.
    pub fn on_timer(&mut self, context: &mut Context, mut peer_inputs: PeerInputs<'_>) -> Vec<Event> {
        self.member.iter_mut().for_each(|member| member.wake_up_timer.fired());
        self.handle_inputs(context, &mut peer_inputs, [Input::Tick])
    }

    /// Tells the other proxies to stop counting this one. Called at shutdown after the clients have been migrated.
    pub fn leave(&mut self, context: &mut Context, mut peer_inputs: PeerInputs<'_>) {
        self.handle_inputs(context, &mut peer_inputs, [Input::Leave]);
    }

    fn handle_inputs<'a>(
        &mut self,
        context: &mut Context,
        peer_inputs: &mut PeerInputs<'_>,
        inputs: impl IntoIterator<Item = Input<'a>>,
    ) -> Vec<Event> {
        let Some(member) = &mut self.member else { return Vec::new() };
        inputs.into_iter().for_each(|input| member.handle(context, peer_inputs, input));
        member.process_outputs(context)
    }
}

/// The settings of aggregation, if it is configured for a fleet of this size.
fn aggregation_settings(context: &Context) -> Option<Settings> {
    // The section was validated when it was read.
    let settings = context.config.operator.fleet.check().ok().flatten()?;
    (context.config.peer_addresses.peers.len() as u64 >= u64::from(settings.members_from)).then_some(settings)
}

fn roster(context: &Context) -> Roster {
    Roster::new(&context.config.peer_addresses.peers, context.config.peer_addresses.all)
}

fn bind_socket(context: &mut Context, listen: SocketAddr) -> io::Result<Key> {
    context.reactor.insert(|key, io| Ok(Box::new(Datagrams::bind(listen, key, io)?)))
}

/// Sends a datagram from this socket. A datagram that cannot be sent is lost.
fn send(context: &mut Context, socket: Key, to: SocketAddr, bytes: &[u8]) {
    let send = |object: &mut dyn Object| object.datagrams().is_some_and(|socket| socket.send(to, bytes));
    context.reactor.with(socket, |object, _| send(object));
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

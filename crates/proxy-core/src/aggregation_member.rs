//! The proxy's side of the aggregation protocol: builds the proxy's load report and translates the aggregator's snapshots into
//! events. The aggregation crate chooses the aggregator and the report interval; the decision module reacts to the events.

use crate::interface::{Environment, Input, LocalState, Output, ProtocolDriver, ProtocolMember};
use crate::member_driver::MemberDriver;
use crate::message_latency::FleetUtilisation;
use crate::observations::{observation, verdict};
use crate::wire_names::WireNames;
use cottonnotch_aggregation::{Entry, LocalLoad, Member, Snapshot, wire};
use cottonnotch_decision::{Event, FleetStatus, Micros, PeerVerdict, ServerId};
use cottonnotch_gossip::{EndpointDigest, Observation, Observations, To};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;

/// Time constant of the exponentially weighted rates, in microseconds.
const RATE_WINDOW: f64 = 4_000_000.0;
/// Ordinals under which the aggregator's verdict is reported. There are two since the decision module requires the same verdict
/// from two peers. No proxy has these ordinals.
const AGGREGATE_PEERS: [u32; 2] = [u32::MAX, u32::MAX - 1];

/// An event rate with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    at: Micros,
}

impl Rate {
    fn add(&mut self, now: Micros, count: f64) {
        self.sum = self.sum * (-((now - self.at).max(0) as f64) / RATE_WINDOW).exp() + count;
        self.at = now;
    }

    fn per_s(mut self, now: Micros) -> f64 {
        self.add(now, 0.0);
        self.sum * 1e6 / RATE_WINDOW
    }
}

/// Rates of this proxy's requests and of its successful and failed attempts.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    requests: Rate,
    successes: Rate,
    failures: Rate,
}

/// This proxy as a member of the aggregation protocol.
pub(crate) struct AggregationMember {
    pub member: Member,
    names: WireNames,
    observations: Observations<ServerId>,
    rates: Rates,
}

impl AggregationMember {
    /// Creates a member without observations.
    pub fn new(member: Member) -> Self {
        let (names, observations) = (WireNames::default(), Observations::default());
        AggregationMember { member, names, observations, rates: Rates::default() }
    }

    /// Records what an event shows, before the decision module handles the event.
    pub fn observe(&mut self, now: Micros, event: &Event) {
        if let Event::Request(_) = event {
            self.rates.requests.add(now, 1.0);
        }
        let Some((server, observation)) = observation(event) else { return };
        match observation {
            Observation::Served => self.rates.successes.add(now, 1.0),
            Observation::TimedOut => self.rates.failures.add(now, 1.0),
            _ => {}
        }
        self.observations.record(now, server, observation);
    }

    /// Handles an input and executes the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, environment: &mut Environment<'_, '_>) {
        let Ok(()) = match input {
            Input::EverySecond => {
                self.member.set_wall_clock(now, environment.local.unix);
                let capacities = self.capacities(now, environment.local);
                self.handle_input(now, cottonnotch_aggregation::Input::Capacities(capacities), environment)
            }
            Input::Datagram { from, bytes } => {
                let from = environment.roster.ordinal(from);
                self.handle_input(now, cottonnotch_aggregation::Input::Datagram { from, bytes }, environment)
            }
            Input::Leave => self.handle_input(now, cottonnotch_aggregation::Input::Leave, environment),
            Input::Tick if self.member.next_timeout() <= now => self.handle_timeout(now, environment),
            Input::Tick | Input::Keys(_) => Ok(()),
        };
    }

    /// Passes the current local state to the member before its timeout.
    fn handle_timeout(
        &mut self,
        now: Micros,
        environment: &mut Environment<'_, '_>,
    ) -> Result<(), Infallible> {
        if self.member.wants_groups() {
            // This input never causes a report by itself.
            let groups = environment.local.latencies.load_by_group(now);
            self.handle_input(now, cottonnotch_aggregation::Input::GroupLoads(groups), environment)?;
        }
        let local_load = self.local_load(now, environment.local);
        // A due report is sent either on this input or on the timeout.
        self.handle_input(now, cottonnotch_aggregation::Input::LocalLoad(local_load), environment)?;
        ProtocolDriver { member: self, environment }.handle_timeout(now)
    }

    fn handle_input(
        &mut self,
        now: Micros,
        input: cottonnotch_aggregation::Input<'_>,
        environment: &mut Environment<'_, '_>,
    ) -> Result<(), Infallible> {
        ProtocolDriver { member: self, environment }.handle_input(now, input)
    }

    /// Returns each endpoint's capacity, in microseconds of work per second.
    fn capacities(&mut self, now: Micros, local: &LocalState<'_>) -> BTreeMap<wire::EndpointDigest, f64> {
        self.names.learn(local.servers);
        let capacity = |(server, capacity): (ServerId, f64)| {
            // An endpoint in slow start has less capacity than its listed size, and its low load would make it look empty.
            let started = local.servers.started(server);
            let share = started.map_or(1.0, |at| local.settings.share_at(now.saturating_sub(at)));
            Some((self.digest(server)?, capacity * share))
        };
        local.latencies.capacities().filter_map(capacity).collect()
    }

    /// Builds this proxy's load report: the totals, and an entry for each endpoint with connections or a health verdict.
    fn local_load(&mut self, now: Micros, local: &LocalState<'_>) -> LocalLoad {
        self.names.learn(local.servers);
        self.observations.forget_old(now);
        let mut established = local.latencies.established_by_group(now);
        let servers: BTreeSet<ServerId> =
            established.keys().copied().chain(self.observations.endpoints()).collect();
        let entry = |server: ServerId| self.entry(now, server, established.remove(&server));
        let entries = servers.into_iter().filter_map(entry).collect();
        let totals = wire::Totals {
            connections: local.requests as u32,
            requests_per_s: self.rates.requests.per_s(now),
            successes_per_s: self.rates.successes.per_s(now),
            failures_per_s: self.rates.failures.per_s(now),
        };
        LocalLoad { totals, entries }
    }

    /// Builds the report's entry for one endpoint. An endpoint without connections and without a verdict is left out to save space.
    fn entry(&self, now: Micros, server: ServerId, established: Option<(f64, Vec<u8>)>) -> Option<Entry> {
        let health = match verdict(&self.observations.evidence(now, server)) {
            PeerVerdict::Healthy => wire::HealthVerdict::Healthy,
            PeerVerdict::Unhealthy => wire::HealthVerdict::Unhealthy,
            PeerVerdict::Inconclusive => wire::HealthVerdict::Unknown,
        };
        let has_connections = established.is_some();
        let (load, groups) = established.unwrap_or_default();
        let endpoint = self.digest(server)?;
        let is_worth_sending = has_connections || health != wire::HealthVerdict::Unknown;
        is_worth_sending.then_some(Entry { endpoint, load, groups, health })
    }

    fn digest(&self, server: ServerId) -> Option<wire::EndpointDigest> {
        self.names.digest(server).map(|digest| wire::EndpointDigest(digest.bits()))
    }

    fn server(&self, digest: wire::EndpointDigest) -> Option<ServerId> {
        self.names.server(EndpointDigest::from_bits(digest.0))
    }

    /// Translates a snapshot into events for the decision module.
    fn events<'a>(&'a self, snapshot: &'a Snapshot) -> impl Iterator<Item = Event> + 'a {
        let status = FleetStatus {
            nodes: f64::from(snapshot.members.max(1)),
            demand_share: snapshot.connection_share(),
            failure_rate: snapshot.setup_failure_ratio(),
        };
        let reports = snapshot.endpoints().filter_map(|(digest, endpoint)| {
            let verdict = match endpoint.health {
                wire::HealthVerdict::Healthy => PeerVerdict::Healthy,
                wire::HealthVerdict::Unhealthy => PeerVerdict::Unhealthy,
                wire::HealthVerdict::Unknown => return None,
            };
            let server = self.server(digest)?;
            Some(AGGREGATE_PEERS.map(|from| Event::PeerReport { from, server, verdict }))
        });
        std::iter::once(Event::Fleet(status)).chain(reports.flatten())
    }

    /// Handles a new snapshot: sends its events, then stores its utilisations for the latency estimates.
    fn snapshot_received(&self, environment: &mut Environment<'_, '_>) {
        let Some(snapshot) = self.member.snapshot() else { return };
        self.events(snapshot).for_each(|event| environment.notify(event));
        let ratios = snapshot
            .endpoints()
            .filter_map(|(digest, endpoint)| Some((self.server(digest)?, endpoint.utilization)));
        let period = self.member.report_interval();
        let fleet = FleetUtilisation::new(snapshot.received_at, period, snapshot.mean_load, ratios.collect());
        environment.local.latencies.fleet = Some(fleet);
    }
}

impl ProtocolMember for AggregationMember {
    type Member = Member;

    fn member(&mut self) -> &mut Member {
        &mut self.member
    }

    fn translate(
        &mut self,
        _: Micros,
        output: cottonnotch_aggregation::Output,
        environment: &mut Environment<'_, '_>,
    ) {
        match output {
            cottonnotch_aggregation::Output::Send { to, bytes } => environment.send(To::One(to), bytes),
            cottonnotch_aggregation::Output::Aggregator(aggregator) => {
                environment.outputs.push_back(Output::Aggregator(aggregator));
            }
            cottonnotch_aggregation::Output::AffinitySubsets => {
                environment.notify(Event::AffinitySubsets(self.member.affinity_subsets().collect()));
            }
            cottonnotch_aggregation::Output::Snapshot => self.snapshot_received(environment),
        }
    }
}

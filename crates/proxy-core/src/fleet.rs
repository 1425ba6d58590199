//! The fleet view: what this proxy reports of its subchannels, and what is made of the sums it is told. Who is keeper and
//! how often is asked is the fleet crate's matter; what follows, the module's.

use crate::interface::{Around, Carrying, Input, LocalState, Output, Translator};
use crate::member_driver::MemberDriver;
use crate::message_latency::FleetUtilisation;
use crate::names::WireNames;
use crate::observations::{shown, word};
use cottonnotch_aggregation::{Entry, LocalLoad, Member, Snapshot, wire};
use cottonnotch_decision::{Event, FleetStatus, Micros, PeerVerdict, ServerId};
use cottonnotch_gossip::{EndpointDigest, Observation, Observations, To};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;

/// Rates are averaged over about this long.
const RATE_MEMORY: f64 = 4_000_000.0;
/// What the keeper's sums say in other proxies' name has as many voices as the module asks for.
const VOICES: [u32; 2] = [u32::MAX, u32::MAX - 1];

/// A rate that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    at: Micros,
}

impl Rate {
    fn note(&mut self, now: Micros, count: f64) {
        self.sum = self.sum * (-((now - self.at).max(0) as f64) / RATE_MEMORY).exp() + count;
        self.at = now;
    }

    fn per_s(mut self, now: Micros) -> f64 {
        self.note(now, 0.0);
        self.sum * 1e6 / RATE_MEMORY
    }
}

/// This proxy as a member of the tier.
pub(crate) struct FleetMember {
    pub member: Member,
    names: WireNames,
    met: Observations<ServerId>,
    requests: Rate,
    well: Rate,
    failed: Rate,
}

impl FleetMember {
    /// One that has met nothing yet.
    pub fn new(member: Member) -> Self {
        let (names, met) = (WireNames::default(), Observations::default());
        let (requests, well, failed) = (Rate::default(), Rate::default(), Rate::default());
        FleetMember { member, names, met, requests, well, failed }
    }

    /// What the module is about to hear.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        if let Event::Request(_) = event {
            self.requests.note(now, 1.0);
        }
        let Some((server, met)) = shown(event) else { return };
        match met {
            Observation::Served => self.well.note(now, 1.0),
            Observation::TimedOut => self.failed.note(now, 1.0),
            _ => {}
        }
        self.met.record(now, server, met);
    }

    /// Takes an input, and carries out what comes of it.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, around: &mut Around<'_, '_>) {
        let Ok(()) = match input {
            Input::Second => {
                self.member.set_wall_clock(now, around.local.unix);
                let sizes = self.sizes(now, around.local);
                self.hand(now, cottonnotch_aggregation::Input::Capacities(sizes), around)
            }
            Input::Datagram { from, bytes } => {
                let from = around.roster.ordinal(from);
                self.hand(now, cottonnotch_aggregation::Input::Datagram { from, bytes }, around)
            }
            Input::Leave => self.hand(now, cottonnotch_aggregation::Input::Leave, around),
            Input::Tick if self.member.next_timeout() <= now => {
                if self.member.wants_groups() {
                    // Nothing goes out with these alone.
                    let groups = around.local.delays.load_by_group(now);
                    let Ok(()) = self.hand(now, cottonnotch_aggregation::Input::GroupLoads(groups), around);
                }
                let own = self.own(now, around.local);
                // A report that is due goes out with this, or with the tick.
                let Ok(()) = self.hand(now, cottonnotch_aggregation::Input::LocalLoad(own), around);
                Carrying { member: self, around }.handle_timeout(now)
            }
            Input::Tick | Input::Keys(_) => Ok(()),
        };
    }

    fn hand(
        &mut self,
        now: Micros,
        input: cottonnotch_aggregation::Input<'_>,
        around: &mut Around<'_, '_>,
    ) -> Result<(), Infallible> {
        Carrying { member: self, around }.handle_input(now, input)
    }

    fn sizes(&mut self, now: Micros, local: &LocalState<'_>) -> BTreeMap<wire::EndpointDigest, f64> {
        self.names.learn(local.servers);
        let size = |(server, size): (ServerId, f64)| {
            // One that has just started can do less than its size says, and looks empty.
            let started = local.servers.started(server);
            let warmth = started.map_or(1.0, |at| local.settings.share_at(now.saturating_sub(at)));
            Some((self.name(server)?, size * warmth))
        };
        local.delays.capacities().filter_map(size).collect()
    }

    fn own(&mut self, now: Micros, local: &LocalState<'_>) -> LocalLoad {
        self.names.learn(local.servers);
        self.met.forget_old(now);
        let mut standing = local.delays.established_by_group(now);
        let servers: BTreeSet<ServerId> = standing.keys().copied().chain(self.met.endpoints()).collect();
        let entry = |server: ServerId| {
            let stands = standing.remove(&server);
            let something = stands.is_some();
            let (load, groups) = stands.unwrap_or_default();
            let word = match word(&self.met.evidence(now, server)) {
                PeerVerdict::Healthy => wire::HealthVerdict::Healthy,
                PeerVerdict::Unhealthy => wire::HealthVerdict::Unhealthy,
                PeerVerdict::Inconclusive => wire::HealthVerdict::Unknown,
            };
            // What is over and showed nothing is not worth its bytes.
            let endpoint = self.name(server)?;
            (something || word != wire::HealthVerdict::Unknown).then_some(Entry {
                endpoint,
                load,
                groups,
                health: word,
            })
        };
        let entries = servers.into_iter().filter_map(entry).collect();
        let totals = wire::Totals {
            connections: local.rpcs as u32,
            requests_per_s: self.requests.per_s(now),
            successes_per_s: self.well.per_s(now),
            failures_per_s: self.failed.per_s(now),
        };
        LocalLoad { totals, entries }
    }

    fn name(&self, server: ServerId) -> Option<wire::EndpointDigest> {
        self.names.digest(server).map(|digest| wire::EndpointDigest(digest.bits()))
    }

    fn number(&self, node: wire::EndpointDigest) -> Option<ServerId> {
        self.names.number(EndpointDigest::from_bits(node.0))
    }

    fn events<'a>(&'a self, view: &'a Snapshot) -> impl Iterator<Item = Event> + 'a {
        let tier = FleetStatus {
            nodes: f64::from(view.members.max(1)),
            demand_share: view.connection_share(),
            failure_rate: view.setup_failure_ratio(),
        };
        let words = view.endpoints().filter_map(|(node, told)| {
            let word = match told.health {
                wire::HealthVerdict::Healthy => PeerVerdict::Healthy,
                wire::HealthVerdict::Unhealthy => PeerVerdict::Unhealthy,
                wire::HealthVerdict::Unknown => return None,
            };
            let server = self.number(node)?;
            Some(VOICES.map(|from| Event::PeerReport { from, server, verdict: word }))
        });
        std::iter::once(Event::Fleet(tier)).chain(words.flatten())
    }
}

impl Translator for FleetMember {
    type Member = Member;

    fn driven(&mut self) -> &mut Member {
        &mut self.member
    }

    fn translate(&mut self, _: Micros, output: cottonnotch_aggregation::Output, around: &mut Around<'_, '_>) {
        match output {
            cottonnotch_aggregation::Output::Send { to, bytes } => around.send(To::One(to), bytes),
            cottonnotch_aggregation::Output::Aggregator(keeper) => {
                around.out.push_back(Output::Keeper(keeper))
            }
            cottonnotch_aggregation::Output::AffinitySubsets => {
                around.tell(Event::AffinitySubsets(self.member.affinity_subsets().collect()));
            }
            cottonnotch_aggregation::Output::Snapshot => {
                let Some(view) = self.member.snapshot() else { return };
                self.events(view).for_each(|event| around.tell(event));
                let used =
                    view.endpoints().filter_map(|(node, told)| Some((self.number(node)?, told.utilization)));
                let fleet = FleetUtilisation::new(
                    view.received_at,
                    self.member.report_interval(),
                    view.mean_load,
                    used.collect(),
                );
                around.local.delays.fleet = Some(fleet);
            }
        }
    }
}

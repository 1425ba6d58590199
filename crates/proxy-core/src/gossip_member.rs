//! The proxy's side of the gossip protocol: reports the proxy's loads and health evidence to its peers and translates the peers'
//! reports into events. The gossip crate tracks membership and selects the reports that count; the decision module reacts to the
//! verdicts.

use crate::interface::{Environment, Input, LocalState, Output, ProtocolDriver, ProtocolMember};
use crate::member_driver::MemberDriver;
use crate::observations::{observation, verdict};
use crate::peer_loads::EstablishedLoad;
use crate::wire_names::WireNames;
use cottonnotch_decision::{Event, Micros, ServerId};
use cottonnotch_gossip::{Entry, Gossip, Load, Observations, Strength};
use std::collections::BTreeSet;
use std::convert::Infallible;

/// This proxy as a member of the gossip protocol.
pub(crate) struct GossipMember {
    pub gossip: Gossip,
    strength: Strength,
    names: WireNames,
    observations: Observations<ServerId>,
}

impl GossipMember {
    /// Creates a member without observations.
    pub fn new(gossip: Gossip, strength: Strength) -> Self {
        let (names, observations) = (WireNames::default(), Observations::default());
        GossipMember { gossip, strength, names, observations }
    }

    /// Records what an event shows, before the decision module handles the event.
    pub fn observe(&mut self, now: Micros, event: &Event) {
        if let Some((server, observation)) = observation(event) {
            self.observations.record(now, server, observation);
        }
    }

    /// Handles an input and executes the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, environment: &mut Environment<'_, '_>) {
        let Ok(()) = match input {
            Input::EverySecond => {
                self.names.learn(environment.local.servers);
                let entries = self.entries(now, environment.local);
                self.handle_input(now, cottonnotch_gossip::Input::LocalState(entries), environment)
            }
            Input::Datagram { from, bytes } => {
                let from = environment.roster.ordinal(from);
                self.handle_input(now, cottonnotch_gossip::Input::Datagram { from, bytes }, environment)
            }
            // A different key strength takes effect only after a restart; the embedder has logged that.
            Input::Keys(keys) if keys.strength() == self.strength => {
                self.handle_input(now, cottonnotch_gossip::Input::Keys(keys), environment)
            }
            Input::Keys(_) => Ok(()),
            Input::Leave => self.handle_input(now, cottonnotch_gossip::Input::Leave, environment),
            Input::Tick => ProtocolDriver { member: self, environment }.handle_timeout(now),
        };
    }

    fn handle_input(
        &mut self,
        now: Micros,
        input: cottonnotch_gossip::Input<'_>,
        environment: &mut Environment<'_, '_>,
    ) -> Result<(), Infallible> {
        ProtocolDriver { member: self, environment }.handle_input(now, input)
    }

    /// Builds the entries that report this proxy's connections and health evidence for each endpoint.
    fn entries(&mut self, now: Micros, local: &LocalState<'_>) -> Vec<Entry> {
        let established = local.latencies.established();
        self.observations.forget_old(now);
        let servers: BTreeSet<ServerId> =
            established.keys().copied().chain(self.observations.endpoints()).collect();
        let entry = |server: ServerId| {
            let endpoint = self.names.digest(server)?;
            let (connections, EstablishedLoad { load, groups }) =
                established.get(&server).copied().unwrap_or_default();
            let evidence = self.observations.evidence(now, server);
            let load = Load::from_micros_per_s(load.max(0.0) as u64);
            Some(Entry { endpoint, connections, load, groups, evidence })
        };
        servers.into_iter().filter_map(entry).collect()
    }

    /// Handles a peer's report on one endpoint: stores the load for the latency estimates and sends the verdict as an event.
    fn report_received(&self, now: Micros, from: u32, entry: &Entry, environment: &mut Environment<'_, '_>) {
        let Some(server) = self.names.server(entry.endpoint) else { return };
        let load = entry.load.micros_per_s() as f64;
        let established = EstablishedLoad { load, groups: entry.groups };
        let established = (entry.connections > 0).then_some(established);
        environment.local.latencies.peers.report_received(now, from, server, established);
        environment.notify(Event::PeerReport { from, server, verdict: verdict(&entry.evidence) });
    }
}

impl ProtocolMember for GossipMember {
    type Member = Gossip;

    fn member(&mut self) -> &mut Gossip {
        &mut self.gossip
    }

    fn translate(
        &mut self,
        now: Micros,
        output: cottonnotch_gossip::Output,
        environment: &mut Environment<'_, '_>,
    ) {
        match output {
            cottonnotch_gossip::Output::Send { to, bytes } => environment.send(to, bytes),
            cottonnotch_gossip::Output::Member { ordinal, state, incarnation } => {
                let incarnation = incarnation.generation;
                environment.outputs.push_back(Output::Member { ordinal, state, incarnation });
                let active = self.gossip.members().filter(|(_, state, _)| state.is_active());
                environment.local.latencies.peers.set_alive(active.map(|(ordinal, ..)| ordinal).collect());
            }
            cottonnotch_gossip::Output::PeerReport { from, entries } => {
                entries.iter().for_each(|entry| self.report_received(now, from, entry, environment));
            }
        }
    }
}

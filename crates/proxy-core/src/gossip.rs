//! Gossip: what the other proxies are told of this one's subchannels, and what is made of what they tell. Who is there and
//! what counts is the gossip crate's matter; what follows from a word, the module's.

use crate::interface::{Around, Carrying, Input, LocalState, Output, Translator};
use crate::member_driver::MemberDriver;
use crate::names::WireNames;
use crate::observations::{shown, word};
use crate::peer_loads::EstablishedLoad;
use cottonnotch_decision::{Event, Micros, ServerId};
use cottonnotch_gossip::{Entry, Gossip, Load, Observations, Strength};
use std::collections::BTreeSet;
use std::convert::Infallible;

/// This proxy as a member of a tier that gossips.
pub(crate) struct GossipMember {
    pub gossip: Gossip,
    strength: Strength,
    names: WireNames,
    met: Observations<ServerId>,
}

impl GossipMember {
    /// One that has met nothing yet.
    pub fn new(gossip: Gossip, strength: Strength) -> Self {
        GossipMember { gossip, strength, names: WireNames::default(), met: Observations::default() }
    }

    /// What the module is about to hear.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        if let Some((server, met)) = shown(event) {
            self.met.record(now, server, met);
        }
    }

    /// Takes an input, and carries out what comes of it.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, around: &mut Around<'_, '_>) {
        let Ok(()) = match input {
            Input::Second => {
                self.names.learn(around.local.servers);
                let entries = self.entries(now, around.local);
                self.hand(now, cottonnotch_gossip::Input::LocalState(entries), around)
            }
            Input::Datagram { from, bytes } => {
                let from = around.roster.ordinal(from);
                self.hand(now, cottonnotch_gossip::Input::Datagram { from, bytes }, around)
            }
            // Another strength takes a restart; the log has said so.
            Input::Keys(keys) if keys.strength() == self.strength => {
                self.hand(now, cottonnotch_gossip::Input::Keys(keys), around)
            }
            Input::Keys(_) => Ok(()),
            Input::Leave => self.hand(now, cottonnotch_gossip::Input::Leave, around),
            Input::Tick => Carrying { member: self, around }.handle_timeout(now),
        };
    }

    fn hand(
        &mut self,
        now: Micros,
        input: cottonnotch_gossip::Input<'_>,
        around: &mut Around<'_, '_>,
    ) -> Result<(), Infallible> {
        Carrying { member: self, around }.handle_input(now, input)
    }

    fn entries(&mut self, now: Micros, local: &LocalState<'_>) -> Vec<Entry> {
        let standing = local.delays.established();
        self.met.forget_old(now);
        let servers: BTreeSet<ServerId> = standing.keys().copied().chain(self.met.endpoints()).collect();
        let entry = |server: ServerId| {
            let endpoint = self.names.digest(server)?;
            let (count, EstablishedLoad { load, groups }) =
                standing.get(&server).copied().unwrap_or_default();
            let evidence = self.met.evidence(now, server);
            let load = Load::from_micros_per_s(load.max(0.0) as u64);
            Some(Entry { endpoint, connections: count, load, groups, evidence })
        };
        servers.into_iter().filter_map(entry).collect()
    }
}

impl Translator for GossipMember {
    type Member = Gossip;

    fn driven(&mut self) -> &mut Gossip {
        &mut self.gossip
    }

    fn translate(&mut self, now: Micros, output: cottonnotch_gossip::Output, around: &mut Around<'_, '_>) {
        match output {
            cottonnotch_gossip::Output::Send { to, bytes } => around.send(to, bytes),
            cottonnotch_gossip::Output::Member { ordinal, state, incarnation } => {
                around.out.push_back(Output::Member { ordinal, state, life: incarnation.generation });
                let there = self.gossip.members().filter(|(_, state, _)| state.is_active());
                around.local.delays.peers.alive(there.map(|(ordinal, ..)| ordinal).collect());
            }
            cottonnotch_gossip::Output::PeerReport { from, entries } => {
                for entry in entries {
                    let Some(server) = self.names.number(entry.endpoint) else {
                        continue;
                    };
                    let load = entry.load.micros_per_s() as f64;
                    let standing = EstablishedLoad { load, groups: entry.groups };
                    let standing = (entry.connections > 0).then_some(standing);
                    around.local.delays.peers.report_received(now, from, server, standing);
                    around.tell(Event::PeerReport { from, server, verdict: word(&entry.evidence) });
                }
            }
        }
    }
}

//! Gossip: what the other proxies are told of this one's subchannels, and what is made of what they tell. Who is there and
//! what counts is the gossip crate's matter; what follows from a word, the module's.

use super::messages::Messages;
use super::net::{GOSSIP, Net, PART};
use super::peers::{self, WireNames};
use super::subchannels::Subchannels;
use crate::config::Gossiping;
use crate::net::datagrams::Datagrams;
use crate::net::peer_loads::Standing;
use cottonnotch_decision::{Event, Micros, ServerId, Word};
use cottonnotch_gossip::{Entry, Evidence, Gossip, Input, Ledger, Load, Output, State, Strength, To};
use cottonnotch_reactor::Key;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

/// Peers' words are as old as they say; older ones are no evidence.
const MOST_AGE_TENTHS: u8 = 30;

/// This proxy as a member of a tier that gossips.
pub struct GossipMember {
    gossip: Gossip,
    strength: Strength,
    socket: Key,
    ordinals: BTreeMap<SocketAddr, u32>,
    names: WireNames,
    met: Ledger<ServerId>,
    armed: Option<Micros>,
}

impl GossipMember {
    /// Opens the socket, if this proxy is to gossip.
    pub fn start(net: &mut Net) -> io::Result<Option<Self>> {
        let Some(Gossiping { settings, keys, life }) = net.config.gossip.clone() else {
            return Ok(None);
        };
        let tier = &net.config.tier;
        let Some(listen) = tier.listen else { return Ok(None) };
        let (me, members) = (net.config.profile.settings.ordinal, tier.peers.len() as u32);
        let ordinals = peers::ordinals(net);
        let (seed, now) = (net.config.seed, net.now());
        let socket = net.reactor.insert(|key, io| Ok(Box::new(Datagrams::bind(listen, key, io)?)))?;
        let strength = settings.strength;
        let gossip = Gossip::new(settings, keys, me, members, life, seed, now);
        let (names, met) = (WireNames::default(), Ledger::default());
        let mut member = GossipMember { gossip, strength, socket, ordinals, names, met, armed: None };
        log::info!(target: PART, peers = members, listen:%; "gossip with {} other proxies", members.saturating_sub(1));
        member.arm(net);
        Ok(Some(member))
    }

    /// Its socket.
    pub fn socket(&self) -> Key {
        self.socket
    }

    /// Keys may have changed.
    pub fn reload(&mut self, net: &mut Net) {
        let Some(gossiping) = net.config.gossip.clone() else { return };
        // Another strength takes a restart; the log has said so.
        if gossiping.keys.strength() == self.strength {
            self.gossip.handle(net.now(), Input::Keys(gossiping.keys));
            self.arm(net);
        }
    }

    /// What the module is about to hear.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        if let Some((server, met)) = peers::shown(event) {
            self.met.met(now, server, met);
        }
    }

    /// Once a second: what this proxy has to tell.
    pub fn tick(&mut self, net: &mut Net, messages: &mut Messages, subchannels: &Subchannels) -> Vec<Event> {
        self.names.learn(subchannels);
        let entries = self.entries(net.now(), messages);
        self.gossip.handle(net.now(), Input::Own(entries));
        self.carry_out(net, messages)
    }

    /// Datagrams have come.
    pub fn datagrams(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        heard: &[(SocketAddr, Vec<u8>)],
    ) -> Vec<Event> {
        for (address, bytes) in heard {
            let from = self.ordinals.get(address).copied();
            self.gossip.handle(net.now(), Input::Datagram { from, bytes });
        }
        self.carry_out(net, messages)
    }

    /// The timer is due; it may be outdated.
    pub fn timer(&mut self, net: &mut Net, messages: &mut Messages) -> Vec<Event> {
        self.armed = None;
        if self.gossip.next_timeout() <= net.now() {
            self.gossip.handle(net.now(), Input::Tick);
        }
        self.carry_out(net, messages)
    }

    /// The proxy leaves, its clients have been moved: the others count it no more.
    pub fn leave(&mut self, net: &mut Net, messages: &mut Messages) {
        self.gossip.handle(net.now(), Input::Leave);
        self.carry_out(net, messages);
    }

    fn arm(&mut self, net: &mut Net) {
        let due = self.gossip.next_timeout();
        if self.armed.is_none_or(|armed| due < armed) {
            self.armed = Some(due);
            net.timer_in((due - net.now()).max(0), GOSSIP);
        }
    }

    fn entries(&mut self, now: Micros, messages: &Messages) -> Vec<Entry> {
        let standing = messages.standing();
        self.met.forget_old(now);
        let servers: BTreeSet<ServerId> = standing.keys().copied().chain(self.met.subchannels()).collect();
        let entry = |server: ServerId| {
            let subchannel = self.names.digest(server)?;
            let (count, Standing { load, groups }) = standing.get(&server).copied().unwrap_or_default();
            let evidence = self.met.evidence(now, server);
            let load = Load::from_micros_per_s(load.max(0.0) as u64);
            Some(Entry { subchannel, standing: count, load, groups, evidence })
        };
        servers.into_iter().filter_map(entry).collect()
    }

    fn carry_out(&mut self, net: &mut Net, messages: &mut Messages) -> Vec<Event> {
        let mut events = Vec::new();
        let now = net.now();
        while let Some(output) = self.gossip.poll() {
            match output {
                Output::Send { to, bytes } => {
                    let tier = &net.config.tier;
                    let address = match to {
                        To::One(ordinal) => tier.peers.get(ordinal as usize).copied(),
                        To::All => tier.all,
                    };
                    peers::send(net, self.socket, address, &bytes);
                }
                Output::Member { ordinal, state, incarnation } => {
                    let name = state_name(state);
                    log::info!(target: PART, peer = ordinal, state = name; "proxy {ordinal} is {name}");
                    net.records.peer(ordinal, state, incarnation.life);
                    let there = self.gossip.members().filter(|(_, state, _)| state.takes_part());
                    messages.peers().alive(there.map(|(ordinal, ..)| ordinal).collect());
                }
                Output::Heard { from, entries } => {
                    for entry in entries {
                        let Some(server) = self.names.number(entry.subchannel) else {
                            continue;
                        };
                        let load = entry.load.micros_per_s() as f64;
                        let standing = Standing { load, groups: entry.groups };
                        let standing = (entry.standing > 0).then_some(standing);
                        messages.peers().told(now, from, server, standing);
                        events.push(Event::Peer { from, server, word: word(&entry.evidence) });
                    }
                }
            }
        }
        self.arm(net);
        events
    }
}

/// What a peer's evidence says. That a render node is full shows nothing of its health, and who was refused tells the
/// others nothing that they would not be told at once.
pub(super) fn word(evidence: &Evidence) -> Word {
    let unwell = u32::from(evidence.failed) + u32::from(evidence.timed_out) + u32::from(evidence.silent);
    match (evidence.age_tenths <= MOST_AGE_TENTHS, unwell, evidence.served) {
        (true, 1.., 0) => Word::Unwell,
        (true, 0, 1..) => Word::Well,
        _ => Word::Unclear,
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_need_one_kind_of_evidence_and_a_fresh_one() {
        let sick = Evidence { failed: 2, age_tenths: 5, ..Evidence::default() };
        assert_eq!(word(&sick), Word::Unwell);
        assert_eq!(word(&Evidence { served: 1, ..sick }), Word::Unclear);
        assert_eq!(word(&Evidence { age_tenths: 31, ..sick }), Word::Unclear);
        assert_eq!(word(&Evidence { full: 9, ..Evidence::default() }), Word::Unclear, "full is not sick");
        assert_eq!(word(&Evidence { served: 3, ..Evidence::default() }), Word::Well);
        assert_eq!(word(&Evidence::default()), Word::Unclear);
    }
}

//! The other proxies: what they are told of this one's subchannels, and what is made of what they tell. Who is there and
//! what counts is the gossip crate's matter; what follows from a word, the module's.

use super::fleet::FleetMember;
use super::messages::Messages;
use super::net::{GOSSIP, Net, PART};
use super::subchannels::Subchannels;
use crate::config::Gossiping;
use crate::net::datagrams::Datagrams;
use crate::net::peer_loads::Standing;
use cottonnotch_decision::{Event, Micros, Outcome, ServerId, Word};
use cottonnotch_gossip::{
    Entry, Evidence, Gossip, Input, Ledger, Load, Met, Output, State, Strength, Subchannel, To,
};
use cottonnotch_reactor::Key;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

/// Peers' words are as old as they say; older ones are no evidence.
const MOST_AGE_TENTHS: u8 = 30;

/// The tier, as far as this proxy takes part in it.
pub struct Peers {
    member: Option<Member>,
    /// A large tier has a view of the fleet instead.
    fleet: Option<FleetMember>,
    /// Another process of this proxy has the address; it is tried again.
    waits: bool,
}

struct Member {
    gossip: Gossip,
    strength: Strength,
    socket: Key,
    ordinals: BTreeMap<SocketAddr, u32>,
    /// The module's numbers of subchannels by the digests of their names; none where two names share one.
    numbers: BTreeMap<Subchannel, Option<ServerId>>,
    known: usize,
    met: Ledger<ServerId>,
    armed: Option<Micros>,
}

impl Peers {
    /// Opens the socket, if this proxy is to gossip. Fails if its address can't be had; `waits`: unless another process of
    /// this proxy may have it still.
    pub fn start(net: &mut Net, waits: bool) -> io::Result<Self> {
        match Self::begin(net) {
            Ok((member, fleet)) => Ok(Peers { member, fleet, waits: false }),
            Err(error) if waits && error.kind() == io::ErrorKind::AddrInUse => {
                log::info!(target: PART, "gossip begins once the earlier process has left its address");
                Ok(Peers { member: None, fleet: None, waits })
            }
            Err(error) => Err(error),
        }
    }

    fn begin(net: &mut Net) -> io::Result<(Option<Member>, Option<FleetMember>)> {
        match FleetMember::settings(net) {
            Some(_) => Ok((None, FleetMember::start(net)?)),
            None => Ok((Member::start(net)?, None)),
        }
    }

    /// Tries again for the address that another process had.
    pub fn retry(&mut self, net: &mut Net) {
        if self.waits
            && let Ok((member, fleet)) = Self::begin(net)
        {
            (self.member, self.fleet, self.waits) = (member, fleet, false);
        }
    }

    /// Another process of this proxy takes this one's part, under the same number: no farewell, which would mark both as
    /// gone.
    pub fn hand_over(&mut self, net: &mut Net) {
        self.waits = false;
        if let Some(member) = self.member.take() {
            net.reactor.remove(member.socket);
        }
        if let Some(fleet) = self.fleet.take() {
            net.reactor.remove(fleet.socket());
        }
    }

    /// A new configuration was taken: keys may have changed.
    pub fn reload(&mut self, net: &mut Net) {
        let (Some(member), Some(gossiping)) = (&mut self.member, net.config.gossip.clone()) else { return };
        // Another strength takes a restart; the log has said so.
        if gossiping.keys.strength() == member.strength {
            member.gossip.handle(net.now(), Input::Keys(gossiping.keys));
            member.arm(net);
        }
    }

    /// What the module is about to hear, as far as it shows something of a subchannel.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        if let Some(fleet) = &mut self.fleet {
            return fleet.witness(now, event);
        }
        let Some(member) = &mut self.member else { return };
        let (server, outcome) = match event {
            Event::Established { server, .. } => (*server, Outcome::Served),
            Event::Ended { server, outcome, last, .. } if !last || *outcome == Outcome::Reset => {
                (*server, *outcome)
            }
            _ => return,
        };
        let met = match outcome {
            Outcome::Full => Met::Full,
            Outcome::ConnectFailed => Met::Failed,
            Outcome::TimedOut | Outcome::Error => Met::TimedOut,
            Outcome::Reset => Met::Silent,
            Outcome::Served => Met::Served,
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        member.met.met(now, server, met);
    }

    /// Once a second: what this proxy has to tell.
    pub fn tick(&mut self, net: &mut Net, messages: &mut Messages, subchannels: &Subchannels) -> Vec<Event> {
        if let Some(fleet) = &mut self.fleet {
            return fleet.tick(net, messages, subchannels);
        }
        let Some(member) = &mut self.member else { return Vec::new() };
        member.learn_names(subchannels);
        let entries = member.entries(net.now(), messages, subchannels);
        member.gossip.handle(net.now(), Input::Own(entries));
        member.carry_out(net, messages)
    }

    /// Datagrams have come.
    pub fn datagrams(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        heard: &[(SocketAddr, Vec<u8>)],
    ) -> Vec<Event> {
        if let Some(fleet) = &mut self.fleet {
            return fleet.datagrams(net, messages, heard);
        }
        let Some(member) = &mut self.member else { return Vec::new() };
        for (address, bytes) in heard {
            let from = member.ordinals.get(address).copied();
            member.gossip.handle(net.now(), Input::Datagram { from, bytes });
        }
        member.carry_out(net, messages)
    }

    /// The timer is due; it may be outdated. So many RPCs are in progress.
    pub fn timer(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &Subchannels,
        rpcs: usize,
    ) -> Vec<Event> {
        if let Some(fleet) = &mut self.fleet {
            return fleet.timer(net, messages, subchannels, rpcs);
        }
        let Some(member) = &mut self.member else { return Vec::new() };
        member.armed = None;
        if member.gossip.next_timeout() <= net.now() {
            member.gossip.handle(net.now(), Input::Tick);
        }
        member.carry_out(net, messages)
    }

    /// The proxy leaves, its clients have been moved: the others count it no more.
    pub fn leave(&mut self, net: &mut Net, messages: &mut Messages) {
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(net, messages);
        }
        if let Some(member) = &mut self.member {
            member.gossip.handle(net.now(), Input::Leave);
            member.carry_out(net, messages);
        }
    }
}

impl Member {
    /// Opens the socket, if this proxy is to gossip.
    fn start(net: &mut Net) -> io::Result<Option<Self>> {
        let Some(Gossiping { settings, keys, life }) = net.config.gossip.clone() else {
            return Ok(None);
        };
        let tier = &net.config.tier;
        let Some(listen) = tier.listen else { return Ok(None) };
        let (me, members) = (net.config.profile.settings.ordinal, tier.peers.len() as u32);
        let ordinals = (0..).zip(&tier.peers).map(|(ordinal, address)| (*address, ordinal)).collect();
        let (seed, now) = (net.config.seed, net.now());
        let socket = net.reactor.insert(|key, io| Ok(Box::new(Datagrams::bind(listen, key, io)?)))?;
        let strength = settings.strength;
        let gossip = Gossip::new(settings, keys, me, members, life, seed, now);
        let (numbers, met) = (BTreeMap::new(), Ledger::default());
        let mut member = Member { gossip, strength, socket, ordinals, numbers, known: 0, met, armed: None };
        log::info!(target: PART, peers = members, listen:%; "gossip with {} other proxies", members.saturating_sub(1));
        member.arm(net);
        Ok(Some(member))
    }

    fn arm(&mut self, net: &mut Net) {
        let due = self.gossip.next_timeout();
        if self.armed.is_none_or(|armed| due < armed) {
            self.armed = Some(due);
            net.timer_in((due - net.now()).max(0), GOSSIP);
        }
    }

    /// Numbers are never given anew, so only names that are new since the last time are looked at.
    fn learn_names(&mut self, subchannels: &Subchannels) {
        for number in self.known..subchannels.count() {
            let server = ServerId(number as u32);
            let digest = Subchannel::of(subchannels.name(server));
            self.numbers.entry(digest).and_modify(|known| *known = None).or_insert(Some(server));
        }
        self.known = subchannels.count();
    }

    fn entries(&mut self, now: Micros, messages: &Messages, subchannels: &Subchannels) -> Vec<Entry> {
        let standing = messages.standing();
        self.met.forget_old(now);
        let servers: BTreeSet<ServerId> = standing.keys().copied().chain(self.met.subchannels()).collect();
        let entry = |server: ServerId| {
            let subchannel = Subchannel::of(subchannels.name(server));
            self.numbers.get(&subchannel)?.as_ref()?;
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
                    if let Some(address) = address {
                        let send = |object: &mut dyn crate::net::happening::Object| {
                            object.datagrams().is_some_and(|socket| socket.send(address, &bytes))
                        };
                        net.reactor.with(self.socket, |object, _| send(object));
                    }
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
                        let Some(Some(server)) = self.numbers.get(&entry.subchannel).copied() else {
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

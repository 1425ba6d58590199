//! The other proxies of the tier: a small one gossips, a large one has a view of the fleet, and which of them it is, is
//! settled at the start. What both need of a proxy is here too: the names that go over the wire, and what an event shows.

use super::fleet::FleetMember;
use super::gossip::GossipMember;
use super::messages::Messages;
use super::net::{Net, PART};
use super::subchannels::Subchannels;
use crate::net::happening::Object;
use cottonnotch_decision::{Event, Micros, Outcome, ServerId};
use cottonnotch_gossip::{Met, Subchannel};
use cottonnotch_reactor::Key;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// The tier, as far as this proxy takes part in it.
pub struct Peers {
    way: Way,
    /// Another process of this proxy has the address; it is tried again.
    waits: bool,
}

/// How this proxy speaks with the others.
enum Way {
    /// Not at all.
    Alone,
    Gossip(Box<GossipMember>),
    Fleet(Box<FleetMember>),
}

impl Way {
    fn start(net: &mut Net) -> io::Result<Way> {
        let way = match FleetMember::settings(net) {
            Some(settings) => FleetMember::start(net, settings)?.map(|member| Way::Fleet(Box::new(member))),
            None => GossipMember::start(net)?.map(|member| Way::Gossip(Box::new(member))),
        };
        Ok(way.unwrap_or(Way::Alone))
    }
}

impl Peers {
    /// Opens the socket, if this proxy is to speak with others. Fails if its address can't be had; `waits`: unless another
    /// process of this proxy may have it still.
    pub fn start(net: &mut Net, waits: bool) -> io::Result<Self> {
        match Way::start(net) {
            Ok(way) => Ok(Peers { way, waits: false }),
            Err(error) if waits && error.kind() == io::ErrorKind::AddrInUse => {
                log::info!(target: PART, "gossip begins once the earlier process has left its address");
                Ok(Peers { way: Way::Alone, waits })
            }
            Err(error) => Err(error),
        }
    }

    /// Tries again for the address that another process had.
    pub fn retry(&mut self, net: &mut Net) {
        if self.waits
            && let Ok(way) = Way::start(net)
        {
            (self.way, self.waits) = (way, false);
        }
    }

    /// Another process of this proxy takes this one's part, under the same number: no farewell, which would mark both as
    /// gone.
    pub fn hand_over(&mut self, net: &mut Net) {
        self.waits = false;
        match std::mem::replace(&mut self.way, Way::Alone) {
            Way::Alone => {}
            Way::Gossip(member) => net.reactor.remove(member.socket()),
            Way::Fleet(member) => net.reactor.remove(member.socket()),
        }
    }

    /// A new configuration was taken: keys may have changed.
    pub fn reload(&mut self, net: &mut Net) {
        if let Way::Gossip(member) = &mut self.way {
            member.reload(net);
        }
    }

    /// What the module is about to hear, as far as it shows something.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        match &mut self.way {
            Way::Alone => {}
            Way::Gossip(member) => member.witness(now, event),
            Way::Fleet(member) => member.witness(now, event),
        }
    }

    /// Once a second: what this proxy has to tell.
    pub fn tick(&mut self, net: &mut Net, messages: &mut Messages, subchannels: &Subchannels) -> Vec<Event> {
        match &mut self.way {
            Way::Alone => Vec::new(),
            Way::Gossip(member) => member.tick(net, messages, subchannels),
            Way::Fleet(member) => member.tick(net, messages, subchannels),
        }
    }

    /// Datagrams have come.
    pub fn datagrams(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        heard: &[(SocketAddr, Vec<u8>)],
    ) -> Vec<Event> {
        match &mut self.way {
            Way::Alone => Vec::new(),
            Way::Gossip(member) => member.datagrams(net, messages, heard),
            Way::Fleet(member) => member.datagrams(net, messages, heard),
        }
    }

    /// The timer is due; it may be outdated. So many RPCs are in progress.
    pub fn timer(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &Subchannels,
        rpcs: usize,
    ) -> Vec<Event> {
        match &mut self.way {
            Way::Alone => Vec::new(),
            Way::Gossip(member) => member.timer(net, messages),
            Way::Fleet(member) => member.timer(net, messages, subchannels, rpcs),
        }
    }

    /// The proxy leaves, its clients have been moved: the others count it no more.
    pub fn leave(&mut self, net: &mut Net, messages: &mut Messages) {
        match &mut self.way {
            Way::Alone => {}
            Way::Gossip(member) => member.leave(net, messages),
            Way::Fleet(member) => member.leave(net, messages),
        }
    }
}

/// Whose address is whose.
pub fn ordinals(net: &Net) -> BTreeMap<SocketAddr, u32> {
    (0..).zip(&net.config.tier.peers).map(|(ordinal, address)| (*address, ordinal)).collect()
}

/// Sends a datagram from that socket; what can't be sent is lost.
pub fn send(net: &mut Net, socket: Key, to: Option<SocketAddr>, bytes: &[u8]) {
    if let Some(to) = to {
        let send = |object: &mut dyn Object| object.datagrams().is_some_and(|socket| socket.send(to, bytes));
        net.reactor.with(socket, |object, _| send(object));
    }
}

/// What an event shows of a subchannel, if anything.
pub fn shown(event: &Event) -> Option<(ServerId, Met)> {
    let (server, outcome) = match event {
        Event::Established { server, .. } => (*server, Outcome::Served),
        Event::Ended { server, outcome, last, .. } if !last || *outcome == Outcome::Reset => {
            (*server, *outcome)
        }
        _ => return None,
    };
    let met = match outcome {
        Outcome::Full => Met::Full,
        Outcome::ConnectFailed => Met::Failed,
        Outcome::TimedOut | Outcome::Error => Met::TimedOut,
        Outcome::Reset => Met::Silent,
        Outcome::Served => Met::Served,
        Outcome::Cancelled | Outcome::NotSent => return None,
    };
    Some((server, met))
}

/// Subchannels by the digests of their names, as they go over the wire. Two names of one digest are both left out.
#[derive(Debug, Default)]
pub struct WireNames {
    numbers: BTreeMap<Subchannel, Option<ServerId>>,
    digests: Vec<Subchannel>,
}

impl WireNames {
    /// Numbers are never given anew, so only names that are new since the last time are looked at.
    pub fn learn(&mut self, subchannels: &Subchannels) {
        for number in self.digests.len()..subchannels.count() {
            let server = ServerId(number as u32);
            let digest = Subchannel::of(subchannels.name(server));
            self.numbers.entry(digest).and_modify(|known| *known = None).or_insert(Some(server));
            self.digests.push(digest);
        }
    }

    /// The subchannel that is meant, if there is exactly one.
    pub fn number(&self, digest: Subchannel) -> Option<ServerId> {
        *self.numbers.get(&digest)?
    }

    /// What a subchannel is called on the wire, if no other is called so.
    pub fn digest(&self, server: ServerId) -> Option<Subchannel> {
        let digest = *self.digests.get(server.0 as usize)?;
        self.number(digest).map(|_| digest)
    }
}

//! The fleet view: what this proxy reports of its subchannels, and what is made of the sums it is told. Who is keeper and
//! how often is asked is the fleet crate's matter; what follows, the module's.

use super::gossip::word;
use super::messages::Messages;
use super::net::{GOSSIP, Net, PART};
use super::peers::{self, WireNames};
use super::subchannels::Subchannels;
use crate::net::datagrams::Datagrams;
use crate::net::message_delay::FleetUse;
use cottonnotch_decision::{Event, Micros, ServerId, Tier, Word};
use cottonnotch_fleet::{Entry, Input, Member, Output, Own, Settings, View, wire};
use cottonnotch_gossip::{Ledger, Met, Subchannel};
use cottonnotch_reactor::Key;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

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
pub struct FleetMember {
    member: Member,
    socket: Key,
    ordinals: BTreeMap<SocketAddr, u32>,
    names: WireNames,
    met: Ledger<ServerId>,
    requests: Rate,
    well: Rate,
    failed: Rate,
    armed: Option<Micros>,
}

impl FleetMember {
    /// Opens the socket, if the platform gave it one. Fails if its address can't be had.
    pub fn start(net: &mut Net, settings: Settings) -> io::Result<Option<Self>> {
        let members = net.config.tier.peers.len();
        let me = net.config.profile.settings.ordinal;
        let Some(listen) = net.config.tier.listen else { return Ok(None) };
        if me as usize >= members {
            log::warn!(target: PART, members; "no fleet view: this proxy is number {me} of {members}");
            return Ok(None);
        }
        let ordinals = peers::ordinals(net);
        let (seed, now) = (net.config.seed, net.now());
        let socket = net.reactor.insert(|key, io| Ok(Box::new(Datagrams::bind(listen, key, io)?)))?;
        // The loop's clock is Unix time.
        let member = Member::new(settings, me, members as u32, seed, now, now);
        log::info!(target: PART, peers = members, listen:%; "a view of the fleet with {} other proxies", members - 1);
        let (requests, well, failed) = (Rate::default(), Rate::default(), Rate::default());
        let mut member = FleetMember {
            member,
            socket,
            ordinals,
            names: WireNames::default(),
            met: Ledger::default(),
            requests,
            well,
            failed,
            armed: None,
        };
        member.arm(net);
        Ok(Some(member))
    }

    /// The settings, if the operator wants a view for a tier of this size.
    pub fn settings(net: &Net) -> Option<Settings> {
        // The section was checked when it was read.
        let settings = net.config.operator.fleet.check().ok().flatten()?;
        (net.config.tier.peers.len() as u64 >= u64::from(settings.members_from)).then_some(settings)
    }

    /// Its socket.
    pub fn socket(&self) -> Key {
        self.socket
    }

    fn arm(&mut self, net: &mut Net) {
        let due = self.member.next_timeout();
        if self.armed.is_none_or(|armed| due < armed) {
            self.armed = Some(due);
            net.timer_in((due - net.now()).max(0), GOSSIP);
        }
    }

    /// What the module is about to hear.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        if let Event::Request(_) = event {
            self.requests.note(now, 1.0);
        }
        let Some((server, met)) = peers::shown(event) else { return };
        match met {
            Met::Served => self.well.note(now, 1.0),
            Met::TimedOut => self.failed.note(now, 1.0),
            _ => {}
        }
        self.met.met(now, server, met);
    }

    /// Once a second.
    pub fn tick(&mut self, net: &mut Net, messages: &mut Messages, subchannels: &Subchannels) -> Vec<Event> {
        self.names.learn(subchannels);
        let (now, settings) = (net.now(), &net.config.profile.settings);
        let size = |(server, size): (ServerId, f64)| {
            // One that has just started can do less than its size says, and looks empty.
            let warmth =
                subchannels.started(server).map_or(1.0, |at| settings.share_at(now.saturating_sub(at)));
            Some((self.name(server)?, size * warmth))
        };
        let sizes = messages.sizes().filter_map(size).collect();
        self.member.handle(net.now(), Input::Sizes(sizes));
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
            self.member.handle(net.now(), Input::Datagram { from, bytes });
        }
        self.carry_out(net, messages)
    }

    /// The timer is due; it may be outdated.
    pub fn timer(
        &mut self,
        net: &mut Net,
        messages: &mut Messages,
        subchannels: &Subchannels,
        rpcs: usize,
    ) -> Vec<Event> {
        self.armed = None;
        if self.member.next_timeout() <= net.now() {
            let own = self.own(net.now(), messages, subchannels, rpcs);
            self.member.handle(net.now(), Input::Own(own));
            self.member.handle(net.now(), Input::Tick);
        }
        self.carry_out(net, messages)
    }

    /// The proxy leaves, its clients have been moved.
    pub fn leave(&mut self, net: &mut Net, messages: &mut Messages) {
        self.member.handle(net.now(), Input::Leave);
        self.carry_out(net, messages);
    }

    fn own(&mut self, now: Micros, messages: &Messages, subchannels: &Subchannels, rpcs: usize) -> Own {
        self.names.learn(subchannels);
        self.met.forget_old(now);
        let mut standing = messages.standing_by_group(now);
        let servers: BTreeSet<ServerId> = standing.keys().copied().chain(self.met.subchannels()).collect();
        let entry = |server: ServerId| {
            let stands = standing.remove(&server);
            let something = stands.is_some();
            let (load, groups) = stands.unwrap_or_default();
            let word = match word(&self.met.evidence(now, server)) {
                Word::Well => wire::Word::Well,
                Word::Unwell => wire::Word::Unwell,
                Word::Unclear => wire::Word::Unclear,
            };
            // What is over and showed nothing is not worth its bytes.
            let subchannel = self.name(server)?;
            (something || word != wire::Word::Unclear).then_some(Entry { subchannel, load, groups, word })
        };
        let entries = servers.into_iter().filter_map(entry).collect();
        let totals = wire::Totals {
            connections: rpcs as u32,
            requests: self.requests.per_s(now),
            well: self.well.per_s(now),
            failed: self.failed.per_s(now),
        };
        Own { totals, entries }
    }

    fn carry_out(&mut self, net: &mut Net, messages: &mut Messages) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(output) = self.member.poll() {
            match output {
                Output::Send { to, bytes } => {
                    let address = net.config.tier.peers.get(to as usize).copied();
                    peers::send(net, self.socket, address, &bytes);
                }
                Output::Keeper(Some(keeper)) => {
                    log::debug!(target: PART, keeper; "proxy {keeper} keeps the fleet's view");
                }
                Output::Keeper(None) => {
                    log::warn!(target: PART, "no proxy answers for the fleet's view, going on with the last one");
                }
                Output::View => {
                    if let Some(view) = self.member.view() {
                        events.extend(self.events(view));
                        let used =
                            view.named().filter_map(|(node, told)| Some((self.number(node)?, told.used)));
                        let fleet =
                            FleetUse::new(view.at, self.member.period(), view.mean_load, used.collect());
                        messages.fleet(fleet);
                    }
                }
            }
        }
        self.arm(net);
        events
    }

    fn name(&self, server: ServerId) -> Option<wire::Subchannel> {
        self.names.digest(server).map(|digest| wire::Subchannel(digest.bits()))
    }

    fn number(&self, node: wire::Subchannel) -> Option<ServerId> {
        self.names.number(Subchannel::from_bits(node.0))
    }

    fn events<'a>(&'a self, view: &'a View) -> impl Iterator<Item = Event> + 'a {
        let tier = Tier { nodes: f64::from(view.members.max(1)), part: view.part(), failing: view.failing() };
        let words = view.named().filter_map(|(node, told)| {
            let word = match told.word {
                wire::Word::Well => Word::Well,
                wire::Word::Unwell => Word::Unwell,
                wire::Word::Unclear => return None,
            };
            let server = self.number(node)?;
            Some(VOICES.map(|from| Event::Peer { from, server, word }))
        });
        std::iter::once(Event::Tier(tier)).chain(words.flatten())
    }
}

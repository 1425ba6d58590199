//! The other proxies of the tier: a small one gossips, a large one has a view of the fleet, and which of them it is, is
//! settled at the start. Here is what is mio's of that: the socket, the timer, the log. The rest is `cottonnotch_proxy_core`'s.

use super::context::{GOSSIP, Net, PART};
use super::endpoints::Subchannels;
use super::message_latency::Messages;
use crate::config::Gossiping;
use crate::net::datagrams::Datagrams;
use crate::net::management::metrics::Homes;
use crate::net::network_event::Object;
use cottonnotch_aggregation::Settings;
use cottonnotch_decision::{Event, Micros};
use cottonnotch_gossip::{Gossip, State};
use cottonnotch_proxy_core::{Input, LocalState, Output, Roster, WakeUpTimer};
use cottonnotch_reactor::Key;
use cottonnotch_reactor::rate_limited_log::RateLimitedLog;
use std::io;
use std::net::SocketAddr;

/// The tier, as far as this proxy takes part in it.
pub struct Peers {
    member: Option<Member>,
    /// Another process of this proxy has the address; it is tried again.
    waits: bool,
}

/// This proxy as a member, with its socket.
struct Member {
    peers: cottonnotch_proxy_core::Peers,
    socket: Key,
    alarm: WakeUpTimer,
    /// Datagrams that the fleet's member had dropped when that was last told.
    dropped: u64,
    drops: RateLimitedLog,
}

impl Member {
    /// Opens the socket, if the platform gave it one. Fails if its address can't be had.
    fn start(net: &mut Net) -> io::Result<Option<Self>> {
        match fleet_settings(net) {
            Some(settings) => Member::of_fleet(net, settings),
            None => Member::of_gossip(net),
        }
    }

    fn of_fleet(net: &mut Net, settings: Settings) -> io::Result<Option<Self>> {
        let members = net.config.tier.peers.len();
        let me = net.config.profile.settings.ordinal;
        let Some(listen) = net.config.tier.listen else { return Ok(None) };
        if me as usize >= members {
            log::warn!(target: PART, members; "no fleet view: this proxy is number {me} of {members}");
            return Ok(None);
        }
        let socket = bind(net, listen)?;
        let (seed, now) = (net.config.seed, net.now());
        let unix = net.wall.unix(now);
        let member = cottonnotch_aggregation::Member::new(settings, me, members as u32, seed, now, unix);
        log::info!(target: PART, peers = members, listen:%; "a view of the fleet with {} other proxies", members - 1);
        let peers = cottonnotch_proxy_core::Peers::fleet(member, roster(net));
        Ok(Some(Member::new(net, peers, socket)))
    }

    fn of_gossip(net: &mut Net) -> io::Result<Option<Self>> {
        let Some(Gossiping { settings, keys, life }) = net.config.gossip.clone() else {
            return Ok(None);
        };
        let Some(listen) = net.config.tier.listen else { return Ok(None) };
        let (me, members) = (net.config.profile.settings.ordinal, net.config.tier.peers.len() as u32);
        let socket = bind(net, listen)?;
        let (seed, now, strength) = (net.config.seed, net.now(), settings.strength);
        let gossip = Gossip::new(settings, keys, me, members, life, seed, now);
        log::info!(target: PART, peers = members, listen:%; "gossip with {} other proxies", members.saturating_sub(1));
        let peers = cottonnotch_proxy_core::Peers::gossip(gossip, strength, roster(net));
        Ok(Some(Member::new(net, peers, socket)))
    }

    fn new(net: &mut Net, peers: cottonnotch_proxy_core::Peers, socket: Key) -> Self {
        let (alarm, drops) = (WakeUpTimer::default(), RateLimitedLog::default());
        let mut member = Member { peers, socket, alarm, dropped: 0, drops };
        member.arm(net);
        member
    }

    fn arm(&mut self, net: &mut Net) {
        if let Some(after) = self.alarm.arm(net.now(), self.peers.next_timeout()) {
            net.timer_in(after, GOSSIP);
        }
    }

    /// Says how many datagrams the fleet's member has dropped, if any since the last time.
    fn say_dropped(&mut self, now: Micros) {
        let Some(counts) = self.peers.fleet_member().map(cottonnotch_aggregation::Member::counts) else {
            return;
        };
        let all = counts.dropped + counts.late;
        if all > self.dropped && self.drops.due(now).is_some() {
            let more = all - std::mem::replace(&mut self.dropped, all);
            log::info!(target: PART, more, late = counts.late; "{more} datagrams of the tier were dropped: unknown, unasked or too late");
        }
    }

    fn handle(&mut self, net: &Net, around: &mut Around<'_>, input: Input<'_>) {
        let mut local = LocalState {
            delays: around.messages.delays(),
            servers: around.subchannels,
            settings: &net.config.profile.settings,
            rpcs: around.rpcs,
            unix: net.wall.unix(net.now()),
        };
        self.peers.handle(net.now(), input, &mut local);
    }

    /// Carries out what came of the inputs; the module is to hear the events.
    fn carry_out(&mut self, net: &mut Net) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(output) = self.peers.poll() {
            match output {
                Output::Send { to, bytes } => send(net, self.socket, to, &bytes),
                Output::Event(event) => {
                    if let Event::AffinitySubsets(homes) = &event {
                        let most = homes.iter().map(|(_, homes)| *homes).max().unwrap_or(0);
                        log::debug!(target: PART, groups = homes.len(), most; "{} groups have more than five homes", homes.len());
                    }
                    events.push(event);
                }
                Output::Member { ordinal, state, life } => {
                    let name = state_name(state);
                    log::info!(target: PART, peer = ordinal, state = name; "proxy {ordinal} is {name}");
                    net.records.peer(ordinal, state, life);
                }
                Output::Keeper(Some(keeper)) => {
                    log::debug!(target: PART, keeper; "proxy {keeper} keeps the fleet's view");
                }
                Output::Keeper(None) => {
                    log::warn!(target: PART, "no proxy answers for the fleet's view, going on with the last one");
                }
            }
        }
        self.arm(net);
        events
    }
}

/// What this proxy has while its member is driven.
pub struct Around<'a> {
    pub messages: &'a mut Messages,
    pub subchannels: &'a Subchannels,
    /// RPCs in progress.
    pub rpcs: usize,
}

impl Peers {
    /// Opens the socket, if this proxy is to speak with others. Fails if its address can't be had; `waits`: unless another
    /// process of this proxy may have it still.
    pub fn start(net: &mut Net, waits: bool) -> io::Result<Self> {
        match Member::start(net) {
            Ok(member) => Ok(Peers { member, waits: false }),
            Err(error) if waits && error.kind() == io::ErrorKind::AddrInUse => {
                log::info!(target: PART, "gossip begins once the earlier process has left its address");
                Ok(Peers { member: None, waits })
            }
            Err(error) => Err(error),
        }
    }

    /// Tries again for the address that another process had.
    pub fn retry(&mut self, net: &mut Net) {
        if self.waits
            && let Ok(member) = Member::start(net)
        {
            (self.member, self.waits) = (member, false);
        }
    }

    /// Another process of this proxy takes this one's part, under the same number: no farewell, which would mark both as
    /// gone.
    pub fn hand_over(&mut self, net: &mut Net) {
        self.waits = false;
        if let Some(member) = self.member.take() {
            net.reactor.remove(member.socket);
        }
    }

    /// A new configuration was taken: keys may have changed.
    pub fn reload(&mut self, net: &mut Net, mut around: Around<'_>) -> Vec<Event> {
        let keys = net.config.gossip.as_ref().map(|gossiping| gossiping.keys.clone());
        keys.map_or_else(Vec::new, |keys| self.hand(net, &mut around, [Input::Keys(keys)]))
    }

    /// How it stands with homes by a group's size, where they are on.
    pub fn homes(&self) -> Option<Homes> {
        let member = self.member.as_ref()?.peers.fleet_member().filter(|member| member.wants_groups())?;
        let (counts, most) =
            (member.counts(), member.affinity_subsets().map(|(_, homes)| homes).max().unwrap_or(0));
        let dropped = counts.dropped + counts.late;
        let (told, cut) = (counts.subset_tables_received, counts.groups_cut);
        Some(Homes {
            groups: member.affinity_subsets().count() as u64,
            most: u64::from(most),
            told,
            cut,
            dropped,
        })
    }

    /// What the module is about to hear, as far as it shows something.
    pub fn witness(&mut self, now: Micros, event: &Event) {
        self.member.iter_mut().for_each(|member| member.peers.witness(now, event));
    }

    /// Once a second: what this proxy has to tell.
    pub fn tick(&mut self, net: &mut Net, mut around: Around<'_>) -> Vec<Event> {
        let events = self.hand(net, &mut around, [Input::Second]);
        self.member.iter_mut().for_each(|member| member.say_dropped(net.now()));
        events
    }

    /// Datagrams have come.
    pub fn datagrams(
        &mut self,
        net: &mut Net,
        mut around: Around<'_>,
        heard: &[(SocketAddr, Vec<u8>)],
    ) -> Vec<Event> {
        let inputs = heard.iter().map(|(from, bytes)| Input::Datagram { from: *from, bytes });
        self.hand(net, &mut around, inputs)
    }

    /// The timer is due; it may be outdated.
    pub fn timer(&mut self, net: &mut Net, mut around: Around<'_>) -> Vec<Event> {
        self.member.iter_mut().for_each(|member| member.alarm.fired());
        self.hand(net, &mut around, [Input::Tick])
    }

    /// The proxy leaves, its clients have been moved: the others count it no more.
    pub fn leave(&mut self, net: &mut Net, mut around: Around<'_>) {
        self.hand(net, &mut around, [Input::Leave]);
    }

    fn hand<'a>(
        &mut self,
        net: &mut Net,
        around: &mut Around<'_>,
        inputs: impl IntoIterator<Item = Input<'a>>,
    ) -> Vec<Event> {
        let Some(member) = &mut self.member else { return Vec::new() };
        inputs.into_iter().for_each(|input| member.handle(net, around, input));
        member.carry_out(net)
    }
}

/// The fleet's settings, if the operator wants a view for a tier of this size.
fn fleet_settings(net: &Net) -> Option<Settings> {
    // The section was checked when it was read.
    let settings = net.config.operator.fleet.check().ok().flatten()?;
    (net.config.tier.peers.len() as u64 >= u64::from(settings.members_from)).then_some(settings)
}

fn roster(net: &Net) -> Roster {
    Roster::new(&net.config.tier.peers, net.config.tier.all)
}

fn bind(net: &mut Net, listen: SocketAddr) -> io::Result<Key> {
    net.reactor.insert(|key, io| Ok(Box::new(Datagrams::bind(listen, key, io)?)))
}

/// Sends a datagram from that socket; what can't be sent is lost.
fn send(net: &mut Net, socket: Key, to: SocketAddr, bytes: &[u8]) {
    let send = |object: &mut dyn Object| object.datagrams().is_some_and(|socket| socket.send(to, bytes));
    net.reactor.with(socket, |object, _| send(object));
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

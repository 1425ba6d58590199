//! Emulates the network between proxies. Each datagram passes through a relay socket of the kit, and is delayed, or
//! dropped at random or because the network is partitioned. Every relay belongs to one pair of proxies, so a proxy
//! receives a datagram from the address that its configuration has for the sender.

use super::liar::Liar;
use crate::addresses::Addresses;
use crate::board::Board;
use crate::notes::Notes;
use crate::observation::{Observation, Seen};
use crate::plan::{NetworkChange, Plan, ProxyId, TimelineChange};
use crate::time::Micros;
use cottonnotch_reactor::{Connection, Half, Io, Key, Reactor, Report};
use mio::net::UdpSocket;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;

/// Receive buffer, in bytes: of a longer datagram only this much is read and carried. It is recorded with this length,
/// which breaks the rule too: datagrams must not exceed 256 bytes.
const LONGEST: usize = 2048;
/// Interval between two checks of the timeline and of the end of the run.
const LOOK: Micros = 10_000;
/// Datagrams read from one relay before other relays have their turn.
const AT_ONCE: usize = 64;

/// Timers of [`Network`], which owns the reactor.
const LOOKS: u32 = 0;
const DELIVERS: u32 = 1;

#[derive(Debug)]
enum Told {
    Timer(u32),
    Came { from: ProxyId, to: Option<ProxyId>, bytes: Vec<u8> },
}

impl Report for Told {
    fn timer(timer: u32) -> Self {
        Told::Timer(timer)
    }
}

/// A socket to which the proxy `seen_by` sends datagrams meant for the member `of`, or for all members if `of` is
/// `None`. Datagrams of `of` to `seen_by` are sent from the same socket.
struct Relay {
    socket: UdpSocket,
    key: Key,
    seen_by: ProxyId,
    of: Option<ProxyId>,
}

impl Connection for Relay {
    type Report = Told;

    fn readable(&mut self, io: &mut Io<Told>, leg: Half) {
        let mut bytes = [0; LONGEST];
        for _ in 0..AT_ONCE {
            match self.socket.recv_from(&mut bytes) {
                Ok((n, _)) => {
                    let bytes = bytes[..n].to_vec();
                    io.report(Told::Came { from: self.seen_by, to: self.of, bytes });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // A receiver is down, and its system reported the port as closed. A datagram may be lost.
                Err(_) => {}
            }
        }
        io.call_again(self.key, leg);
    }

    fn writable(&mut self, _: &mut Io<Told>, _: Half) {}

    fn timer(&mut self, _: &mut Io<Told>, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

/// A datagram that is being delayed.
#[derive(Debug)]
struct OnItsWay {
    from: ProxyId,
    to: ProxyId,
    bytes: Vec<u8>,
}

struct Network<'a> {
    plan: &'a Plan,
    addresses: &'a Addresses,
    reactor: Reactor<Relay>,
    relays: BTreeMap<(ProxyId, ProxyId), Key>,
    chance: ChaCha8Rng,
    loss: f64,
    apart: Option<BTreeSet<ProxyId>>,
    next: usize,
    on_their_way: BTreeMap<(Micros, u64), OnItsWay>,
    number: u64,
    /// Members that are not proxies and send false reports, by member number.
    liars: BTreeMap<ProxyId, Liar>,
    notes: Notes,
}

/// Carries datagrams until the board stops the run, and returns the observations.
///
/// # Errors
///
/// If a relay cannot bind its address, the system cannot create a poll instance, or polling fails.
pub fn run(plan: Arc<Plan>, addresses: Arc<Addresses>, board: Arc<Board>) -> io::Result<Vec<Observation>> {
    let mut network = Network {
        plan: &plan,
        addresses: &addresses,
        reactor: Reactor::new(board.clock.for_loop())?,
        relays: BTreeMap::new(),
        chance: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x6e65_7477_6f72_6b00),
        loss: plan.network.loss,
        apart: None,
        next: 0,
        on_their_way: BTreeMap::new(),
        number: 0,
        liars: liars(&plan, &board),
        notes: Notes::default(),
    };
    network.bind()?;
    board.ready();
    while !board.is_stopping() {
        network.reactor.turn()?;
        while let Some(told) = network.reactor.io.reports.pop_front() {
            match told {
                Told::Timer(LOOKS) => network.look(),
                Told::Timer(_) => network.deliver(),
                Told::Came { from, to, bytes } => network.came(from, to, &bytes),
            }
        }
    }
    Ok(network.notes.into_inner())
}

/// The members that send false reports. Each gets the wall-clock time of its start, as a process would.
fn liars(plan: &Plan, board: &Board) -> BTreeMap<ProxyId, Liar> {
    let now = board.clock.now();
    let numbered = (plan.proxies.len() as u16..).map(ProxyId).zip(&plan.network.liars);
    numbered.map(|(id, lie)| (id, Liar::new(plan, id, *lie, board.clock.unix_ms(now), now))).collect()
}

impl Network<'_> {
    fn bind(&mut self) -> io::Result<()> {
        let proxies: Vec<ProxyId> = (0..self.plan.proxies.len() as u16).map(ProxyId).collect();
        for seen_by in &proxies {
            for of in (0..self.plan.members()).map(|of| Some(ProxyId(of))).chain([None]) {
                let address = match of {
                    Some(of) => self.addresses.relay(of, *seen_by),
                    None => self.addresses.relay_to_all(*seen_by),
                };
                let seen_by = *seen_by;
                let key = self.reactor.insert(|key, io| {
                    let mut socket = UdpSocket::bind(address)?;
                    io.register_reader(&mut socket, key)?;
                    Ok(Box::new(Relay { socket, key, seen_by, of }))
                })?;
                if let Some(of) = of {
                    self.relays.insert((of, seen_by), key);
                }
            }
        }
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + LOOK, LOOKS);
        Ok(())
    }

    /// Sends the false reports that are due, and applies the timeline's network changes that are due.
    fn look(&mut self) {
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + LOOK, LOOKS);
        let plan = self.plan;
        let said: Vec<(ProxyId, Vec<_>)> =
            self.liars.iter_mut().map(|(liar, it)| (*liar, it.tick(now, plan))).collect();
        for (liar, said) in said {
            said.into_iter().for_each(|(to, bytes)| self.carry(liar, to, &bytes));
        }
        while let Some(event) = self.plan.timeline.get(self.next).filter(|h| h.at <= now) {
            self.next += 1;
            let TimelineChange::Network(change) = &event.change else { continue };
            match change {
                NetworkChange::Loss(loss) => self.loss = *loss,
                NetworkChange::Part(apart) => self.apart = Some(apart.iter().copied().collect()),
                NetworkChange::Join => self.apart = None,
                // The render nodes' emulator applies these.
                NetworkChange::CutOff(..) | NetworkChange::Reach(_) => {}
            }
        }
    }

    fn came(&mut self, from: ProxyId, to: Option<ProxyId>, bytes: &[u8]) {
        let all = (0..self.plan.members()).map(ProxyId);
        let receivers: Vec<ProxyId> = match to {
            Some(to) => vec![to],
            None => all.filter(|to| *to != from).collect(),
        };
        for to in receivers {
            let now = self.reactor.io.now();
            self.notes.note(now, Seen::Datagram { from, to, bytes: bytes.len() as u32 });
            self.carry(from, to, bytes);
        }
    }

    /// Schedules the delivery of a datagram, unless the datagram is dropped.
    fn carry(&mut self, from: ProxyId, to: ProxyId, bytes: &[u8]) {
        let now = self.reactor.io.now();
        let parted = self.apart.as_ref().is_some_and(|set| set.contains(&from) != set.contains(&to));
        let lost = self.chance.random::<f64>() < self.loss;
        let (least, most) = self.plan.network.datagram;
        let delay = self.chance.random_range(least..=most.max(least));
        if parted || lost || to == from {
            return;
        }
        self.number += 1;
        self.on_their_way.insert((now + delay, self.number), OnItsWay { from, to, bytes: bytes.to_vec() });
        self.reactor.io.owner_timer(now + delay, DELIVERS);
    }

    fn deliver(&mut self) {
        let now = self.reactor.io.now();
        let later = self.on_their_way.split_off(&(now + 1, 0));
        for (_, datagram) in std::mem::replace(&mut self.on_their_way, later) {
            let OnItsWay { from, to, bytes } = datagram;
            let liar_id = to;
            if let Some(liar) = self.liars.get_mut(&to) {
                let said = liar.hear(now, from, &bytes);
                said.into_iter().for_each(|(to, bytes)| self.carry(liar_id, to, &bytes));
                continue;
            }
            let Some(key) = self.relays.get(&(from, to)).copied() else { continue };
            let address = self.addresses.peer(to);
            // A datagram that cannot be sent now is lost.
            self.reactor.with(key, |relay, _| relay.socket.send_to(&bytes, address).is_ok());
        }
    }
}

//! Emulates the network between proxies. Each datagram passes through a relay socket of the kit, and is delayed, or
//! dropped at random or because the network is partitioned. Every relay belongs to one pair of proxies, so a proxy
//! receives a datagram from the address that its configuration has for the sender.

use super::false_reporter::FalseReporter;
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
const MAX_DATAGRAM_LEN: usize = 2048;
/// Interval between two checks of the timeline and of the end of the run.
const CHECK_INTERVAL: Micros = 10_000;
/// Datagrams read from one relay before other relays have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Timers of [`Network`], which owns the reactor.
const CHECK_TIMER: u32 = 0;
const DELIVERY_TIMER: u32 = 1;

#[derive(Debug)]
enum RelayReport {
    Timer(u32),
    Received { from: ProxyId, to: Option<ProxyId>, bytes: Vec<u8> },
}

impl Report for RelayReport {
    fn timer(timer: u32) -> Self {
        RelayReport::Timer(timer)
    }
}

/// A socket to which `proxy` sends datagrams meant for the member `peer`, or for all members if `peer` is `None`.
/// Datagrams of `peer` to `proxy` are sent from the same socket.
struct Relay {
    socket: UdpSocket,
    key: Key,
    proxy: ProxyId,
    peer: Option<ProxyId>,
}

impl Connection for Relay {
    type Report = RelayReport;

    fn readable(&mut self, io: &mut Io<RelayReport>, half: Half) {
        let mut bytes = [0; MAX_DATAGRAM_LEN];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((n, _)) => {
                    let bytes = bytes[..n].to_vec();
                    io.report(RelayReport::Received { from: self.proxy, to: self.peer, bytes });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // A receiver is down, and its system reported the port as closed. A datagram may be lost.
                Err(_) => {}
            }
        }
        io.call_again(self.key, half);
    }

    fn writable(&mut self, _: &mut Io<RelayReport>, _: Half) {}

    fn timer(&mut self, _: &mut Io<RelayReport>, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

/// A datagram that is being delayed.
#[derive(Debug)]
struct DelayedDatagram {
    from: ProxyId,
    to: ProxyId,
    bytes: Vec<u8>,
}

struct Network<'a> {
    plan: &'a Plan,
    addresses: &'a Addresses,
    reactor: Reactor<Relay>,
    /// The relay from which datagrams of a member (first) to a proxy (second) are sent.
    relays: BTreeMap<(ProxyId, ProxyId), Key>,
    rng: ChaCha8Rng,
    /// Probability that a datagram is dropped.
    loss: f64,
    /// One side of the current partition. `None` while the network is not partitioned.
    partition: Option<BTreeSet<ProxyId>>,
    /// Index of the next timeline event.
    next_event: usize,
    /// Datagrams to be delivered, by the time of delivery and a sequence number.
    in_flight: BTreeMap<(Micros, u64), DelayedDatagram>,
    last_sequence: u64,
    /// Members that are not proxies and send false reports, by member number.
    false_reporters: BTreeMap<ProxyId, FalseReporter>,
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
        rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x6e65_7477_6f72_6b00),
        loss: plan.network.loss,
        partition: None,
        next_event: 0,
        in_flight: BTreeMap::new(),
        last_sequence: 0,
        false_reporters: create_false_reporters(&plan, &board),
        notes: Notes::default(),
    };
    network.bind()?;
    board.ready();
    while !board.is_stopping() {
        network.reactor.turn()?;
        while let Some(report) = network.reactor.io.reports.pop_front() {
            match report {
                RelayReport::Timer(CHECK_TIMER) => network.run_due_events(),
                RelayReport::Timer(_) => network.deliver_due(),
                RelayReport::Received { from, to, bytes } => network.receive(from, to, &bytes),
            }
        }
    }
    Ok(network.notes.into_inner())
}

/// The members that send false reports. Each gets the wall-clock time of its start, as a process would.
fn create_false_reporters(plan: &Plan, board: &Board) -> BTreeMap<ProxyId, FalseReporter> {
    let now = board.clock.now();
    let numbered = (plan.proxies.len() as u16..).map(ProxyId).zip(&plan.network.liars);
    numbered
        .map(|(id, false_report)| {
            (id, FalseReporter::new(plan, id, *false_report, board.clock.unix_ms(now), now))
        })
        .collect()
}

impl Network<'_> {
    fn bind(&mut self) -> io::Result<()> {
        let proxies: Vec<ProxyId> = (0..self.plan.proxies.len() as u16).map(ProxyId).collect();
        for proxy in &proxies {
            for peer in (0..self.plan.member_count()).map(|peer| Some(ProxyId(peer))).chain([None]) {
                let address = match peer {
                    Some(peer) => self.addresses.relay(peer, *proxy),
                    None => self.addresses.relay_to_all(*proxy),
                };
                let proxy = *proxy;
                let key = self.reactor.insert(|key, io| {
                    let mut socket = UdpSocket::bind(address)?;
                    io.register_reader(&mut socket, key)?;
                    Ok(Box::new(Relay { socket, key, proxy, peer }))
                })?;
                if let Some(peer) = peer {
                    self.relays.insert((peer, proxy), key);
                }
            }
        }
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + CHECK_INTERVAL, CHECK_TIMER);
        Ok(())
    }

    /// Sends the false reports that are due, and applies the timeline's network changes that are due.
    fn run_due_events(&mut self) {
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + CHECK_INTERVAL, CHECK_TIMER);
        let plan = self.plan;
        let outgoing: Vec<(ProxyId, Vec<_>)> =
            self.false_reporters.iter_mut().map(|(id, reporter)| (*id, reporter.tick(now, plan))).collect();
        for (id, datagrams) in outgoing {
            datagrams.into_iter().for_each(|(to, bytes)| self.transmit(id, to, &bytes));
        }
        while let Some(event) = self.plan.timeline.get(self.next_event).filter(|event| event.at <= now) {
            self.next_event += 1;
            let TimelineChange::Network(change) = &event.change else { continue };
            match change {
                NetworkChange::Loss(loss) => self.loss = *loss,
                NetworkChange::Part(partition) => self.partition = Some(partition.iter().copied().collect()),
                NetworkChange::Join => self.partition = None,
                // The render nodes' emulator applies these.
                NetworkChange::CutOff(..) | NetworkChange::Reach(_) => {}
            }
        }
    }

    /// Records a datagram of a proxy and transmits it to the member `to`, or to all other members if `to` is `None`.
    fn receive(&mut self, from: ProxyId, to: Option<ProxyId>, bytes: &[u8]) {
        let all = (0..self.plan.member_count()).map(ProxyId);
        let receivers: Vec<ProxyId> = match to {
            Some(to) => vec![to],
            None => all.filter(|to| *to != from).collect(),
        };
        for to in receivers {
            let now = self.reactor.io.now();
            self.notes.note(now, Seen::Datagram { from, to, bytes: bytes.len() as u32 });
            self.transmit(from, to, bytes);
        }
    }

    /// Schedules the delivery of a datagram, unless the datagram is dropped.
    fn transmit(&mut self, from: ProxyId, to: ProxyId, bytes: &[u8]) {
        let now = self.reactor.io.now();
        let separated = self.partition.as_ref().is_some_and(|set| set.contains(&from) != set.contains(&to));
        let lost = self.rng.random::<f64>() < self.loss;
        let (min_delay, max_delay) = self.plan.network.datagram;
        let delay = self.rng.random_range(min_delay..=max_delay.max(min_delay));
        if separated || lost || to == from {
            return;
        }
        self.last_sequence += 1;
        self.in_flight
            .insert((now + delay, self.last_sequence), DelayedDatagram { from, to, bytes: bytes.to_vec() });
        self.reactor.io.owner_timer(now + delay, DELIVERY_TIMER);
    }

    /// Delivers the datagrams that are due, to proxies by their relays and to false reporters directly.
    fn deliver_due(&mut self) {
        let now = self.reactor.io.now();
        let later = self.in_flight.split_off(&(now + 1, 0));
        for (_, datagram) in std::mem::replace(&mut self.in_flight, later) {
            let DelayedDatagram { from, to, bytes } = datagram;
            let reporter_id = to;
            if let Some(reporter) = self.false_reporters.get_mut(&to) {
                let datagrams = reporter.handle_datagram(now, from, &bytes);
                datagrams.into_iter().for_each(|(to, bytes)| self.transmit(reporter_id, to, &bytes));
                continue;
            }
            let Some(key) = self.relays.get(&(from, to)).copied() else { continue };
            let address = self.addresses.peer(to);
            // A datagram that cannot be sent now is lost.
            self.reactor.with(key, |relay, _| relay.socket.send_to(&bytes, address).is_ok());
        }
    }
}

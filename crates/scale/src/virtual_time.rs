//! Hollow proxies on virtual time, linked in memory: deterministic from one seed, with regions that can be partitioned, members
//! that stop and restart, and endpoint lists that change. Discovery is always reachable; a watch receives a list after a delay.

use crate::counters::Counts;
use crate::fault::{MS, S};
use crate::hollow::Hollow;
use crate::interface::{HollowInput, HollowOutput, MemberSetup};
use crate::records::{MemberEvent, Record};
use crate::run_result::{RunResult, add_counters};
use crate::shape::{Shape, mixed};
use cottonnotch_consensus::DurableState;
use cottonnotch_decision::Micros;
use cottonnotch_decision::names::hash_to_unit;
use cottonnotch_proxy_core::{EndpointUpdate, Roster};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// Unix time at the start: any date that is not the start of an aggregation epoch.
const START: Micros = 1_796_000_000 * S + 7 * S;
/// Delays between two members, within a region and between the two; jitter adds up to half.
const DELAY_WITHIN_REGION: Micros = 500;
const DELAY_BETWEEN_REGIONS: Micros = 38 * MS;
/// Delay until a watch receives a list.
const UPDATE_DELAY: Micros = 20 * MS;
/// Incarnations of a member stay below this many bits.
const INCARNATION_BITS: u64 = 20;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Delivery {
    PeerDatagram { from: u32, to: u32, bytes: Vec<u8> },
    ConsensusDatagram { from: u32, to: u32, bytes: Vec<u8> },
    WakeUp { member: u32, incarnation: u64 },
    EndpointUpdate { member: u32, incarnation: u64 },
}

struct HostedMember {
    hollow: Option<Hollow>,
    incarnation: u64,
    wake_up_at: Micros,
    durable_state: Option<DurableState>,
    /// Counters of incarnations that have stopped.
    before: Vec<Counts>,
}

/// A fleet and its links.
pub struct VirtualFleet {
    shape: Shape,
    /// The present time; Unix time, as the proxies' clocks.
    pub now: Micros,
    /// Whether the two regions are partitioned.
    pub regions_cut: bool,
    /// Share of all datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// The records so far.
    pub records: Vec<Record>,
    seats: Vec<HostedMember>,
    deliveries: BinaryHeap<Reverse<(Micros, u64, Delivery)>>,
    number: u64,
    roster: Roster,
    by_address: BTreeMap<SocketAddr, u32>,
    list: EndpointUpdate,
}

fn address(member: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + member), 7_946))
}

/// The list of this shape's nodes.
fn list(shape: &Shape, revision: u64, without: Option<u32>) -> EndpointUpdate {
    let mut text = shape.list(revision, without).into_bytes();
    let nothing = EndpointUpdate { revision, complete: true, endpoints: Vec::new() };
    EndpointUpdate::parse(&mut text).unwrap_or(nothing)
}

impl VirtualFleet {
    /// Starts all members at once, with open connections.
    pub fn new(shape: &Shape) -> Self {
        let addresses: Vec<SocketAddr> = (0..shape.members).map(address).collect();
        let by_address = addresses.iter().copied().zip(0..).collect();
        let mut world = VirtualFleet {
            shape: shape.clone(),
            now: START,
            regions_cut: false,
            loss: 0.0,
            records: Vec::new(),
            seats: Vec::new(),
            deliveries: BinaryHeap::new(),
            number: 0,
            roster: Roster::new(&addresses, None),
            by_address,
            list: list(shape, 1, None),
        };
        for member in 0..shape.members {
            let (durable_state, before) = (None, Vec::new());
            world.seats.push(HostedMember {
                hollow: None,
                incarnation: 0,
                wake_up_at: Micros::MAX,
                durable_state,
                before,
            });
            world.start_member(member, true);
        }
        world
    }

    fn push(&mut self, at: Micros, deliveries: Delivery) {
        self.number += 1;
        self.deliveries.push(Reverse((at, self.number, deliveries)));
    }

    fn start_member(&mut self, member: u32, starts_with_fleet: bool) {
        let seat = &mut self.seats[member as usize];
        seat.incarnation += 1;
        let place = MemberSetup {
            shape: self.shape.clone(),
            ordinal: member,
            roster: self.roster.clone(),
            incarnation: (self.now / MS) as u64,
            starts_with_fleet,
            durable_state: seat.durable_state.take(),
        };
        let mut hollow = Hollow::start(place, &self.list, self.now);
        if starts_with_fleet {
            hollow.open_connections(self.now);
        }
        seat.hollow = Some(hollow);
        seat.wake_up_at = Micros::MAX;
        self.records.push(Record { at: self.now, member, event: MemberEvent::Started });
        self.execute_outputs(member);
    }

    /// Stops a member's process, which notifies nobody.
    pub fn stop(&mut self, member: u32) {
        let seat = &mut self.seats[member as usize];
        if let Some(mut hollow) = seat.hollow.take() {
            seat.durable_state = hollow.durable_state();
            seat.before.push(*hollow.counts());
            self.records.push(Record { at: self.now, member, event: MemberEvent::Stopped });
        }
    }

    /// Restarts a member with its durable state and without connections.
    pub fn restart(&mut self, member: u32) {
        self.stop(member);
        self.start_member(member, false);
    }

    /// Members whose processes run.
    pub fn running(&self) -> Vec<u32> {
        (0..self.shape.members).filter(|member| self.seats[*member as usize].hollow.is_some()).collect()
    }

    /// The operator proposes a content at this member; contents of different kinds are incompatible.
    pub fn propose(&mut self, member: u32, content: u32, kind: u8) {
        self.deliver_input(member, HollowInput::Propose { content, kind });
    }

    /// Discovery publishes another list, with all nodes but those of the zone `without`.
    pub fn publish_endpoints(&mut self, revision: u64, without: Option<u32>) {
        self.list = list(&self.shape, revision, without);
        for member in self.running() {
            let incarnation = self.seats[member as usize].incarnation;
            self.push(self.now + UPDATE_DELAY, Delivery::EndpointUpdate { member, incarnation });
        }
    }

    /// A member; `None`: it does not run.
    pub fn member(&mut self, member: u32) -> Option<&mut Hollow> {
        self.seats[member as usize].hollow.as_mut()
    }

    /// The counters of each member, by incarnation.
    pub fn counts(&mut self) -> Vec<(u32, Vec<Counts>)> {
        let of = |(member, seat): (usize, &mut HostedMember)| {
            let now = seat.hollow.as_mut().map(|hollow| *hollow.counts());
            (member as u32, seat.before.iter().copied().chain(now).collect())
        };
        self.seats.iter_mut().enumerate().map(of).collect()
    }

    /// Runs for this long.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.deliveries.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, deliveries))) = self.deliveries.pop() else { break };
            self.now = self.now.max(at);
            self.deliver(deliveries);
        }
        self.now = until;
    }

    fn deliver(&mut self, deliveries: Delivery) {
        match deliveries {
            Delivery::WakeUp { member, incarnation } => {
                let seat = &mut self.seats[member as usize];
                if seat.incarnation != incarnation || seat.hollow.is_none() {
                    return;
                }
                seat.wake_up_at = Micros::MAX;
                while self.seats[member as usize]
                    .hollow
                    .as_ref()
                    .is_some_and(|h| h.next_timeout() <= self.now)
                {
                    self.deliver_input(member, HollowInput::Timeout);
                }
                self.arm(member);
            }
            Delivery::PeerDatagram { from, to, bytes } => {
                if !self.is_link_cut(from, to) {
                    self.deliver_input(to, HollowInput::PeerDatagram { from: address(from), bytes: &bytes });
                }
            }
            Delivery::ConsensusDatagram { from, to, bytes } => {
                if !self.is_link_cut(from, to) {
                    self.deliver_input(to, HollowInput::ConsensusDatagram { bytes: &bytes });
                }
            }
            Delivery::EndpointUpdate { member, incarnation } => {
                if self.seats[member as usize].incarnation == incarnation {
                    let result = self.list.clone();
                    self.deliver_input(member, HollowInput::EndpointUpdate { update: &result, bytes: 0 });
                }
            }
        }
    }

    fn is_link_cut(&self, from: u32, to: u32) -> bool {
        self.regions_cut && self.shape.is_far(from) != self.shape.is_far(to)
    }

    fn deliver_input(&mut self, member: u32, input: HollowInput<'_>) {
        if let Some(hollow) = &mut self.seats[member as usize].hollow {
            hollow.handle(self.now, input);
            self.execute_outputs(member);
        }
    }

    fn execute_outputs(&mut self, member: u32) {
        while let Some(output) = self.seats[member as usize].hollow.as_mut().and_then(Hollow::poll) {
            match output {
                HollowOutput::PeerDatagram { to, bytes } => {
                    if let Some(to) = self.by_address.get(&to).copied() {
                        self.send(member, to, Delivery::PeerDatagram { from: member, to, bytes });
                    }
                }
                HollowOutput::ConsensusDatagram { to, bytes } => {
                    let to = u32::from(to);
                    self.send(member, to, Delivery::ConsensusDatagram { from: member, to, bytes });
                }
                HollowOutput::StartWatch { .. } => {
                    let incarnation = self.seats[member as usize].incarnation;
                    self.push(self.now + UPDATE_DELAY, Delivery::EndpointUpdate { member, incarnation });
                }
                HollowOutput::Record(event) => self.records.push(Record { at: self.now, member, event }),
            }
        }
        self.arm(member);
    }

    fn send(&mut self, from: u32, to: u32, deliveries: Delivery) {
        let chance = mixed(self.shape.seed ^ self.number, u64::from(from) << 32 | u64::from(to));
        if hash_to_unit(chance) < self.loss {
            self.number += 1;
            return;
        }
        let far = self.shape.is_far(from) != self.shape.is_far(to);
        let delay = if far { DELAY_BETWEEN_REGIONS } else { DELAY_WITHIN_REGION };
        let jitter = (hash_to_unit(chance.rotate_left(17)) * delay as f64 / 2.0) as Micros;
        self.push(self.now + delay + jitter, deliveries);
    }

    fn arm(&mut self, member: u32) {
        let seat = &mut self.seats[member as usize];
        let Some(hollow) = &seat.hollow else { return };
        let deliveries = hollow.next_timeout().max(self.now);
        if deliveries < seat.wake_up_at {
            seat.wake_up_at = deliveries;
            let incarnation = seat.incarnation;
            debug_assert!(incarnation < 1 << INCARNATION_BITS);
            self.push(deliveries, Delivery::WakeUp { member, incarnation });
        }
    }
}

/// Measures a quiet fleet over `window` after `warm_up`. Processor time is not among its figures; `heap` returns the allocated
/// bytes.
pub fn measure(shape: &Shape, warm_up: Micros, window: Micros, heap: impl Fn() -> usize) -> RunResult {
    let empty = heap();
    let mut world = VirtualFleet::new(shape);
    world.run(warm_up * 2 / 5);
    world.propose(1, 1, 1);
    world.run(warm_up * 3 / 5);
    let before = world.counts();
    world.records = Vec::new();
    world.run(window);
    world.records = Vec::new();
    let after = world.counts();
    let live = |lives: &[Counts]| lives.last().copied().unwrap_or_default();
    let counts = before.iter().zip(&after);
    let counts = counts.map(|((member, before), (_, after))| (*member, live(after).since(&live(before))));
    let counts: Vec<(u32, Counts)> = counts.collect();
    let leaders =
        world.running().into_iter().filter(|m| world.member(*m).is_some_and(|h| h.is_leader())).collect();
    let mut line = RunResult {
        shape: shape.clone(),
        world: "virtual".into(),
        seconds: window as f64 / 1e6,
        heap_bytes: heap().saturating_sub(empty) as f64 / f64::from(shape.members),
        ..RunResult::default()
    };
    add_counters(&mut line, &counts, &leaders);
    line
}

//! Hollow proxies on virtual time, linked in memory: deterministic from one seed, with regions that can be cut, members that stop
//! and restart, and lists that change. Discovery is reached by all at any time; a watch is told a list after a moment.

use crate::counters::Counts;
use crate::fault::{MS, S};
use crate::hollow::{Hollow, Place};
use crate::interface::{Happening, Wish};
use crate::records::{Record, What};
use crate::run_result::{Line, fill};
use crate::shape::{Shape, mixed};
use cottonnotch_consensus::DurableState;
use cottonnotch_decision::Micros;
use cottonnotch_decision::names::unit;
use cottonnotch_proxy_core::{EndpointUpdate, Roster};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// Any date; not at the beginning of an epoch of the fleet view's.
const UNIX: Micros = 1_796_000_000 * S + 7 * S;
/// Ways between two members: within a region, and between the two; up to half as long again.
const NEAR: Micros = 500;
const FAR: Micros = 38 * MS;
/// Until a watch is told a list.
const LIST: Micros = 20 * MS;
/// Lives are told apart by this many bits of a timer.
const LIFE_BITS: u64 = 20;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Peers { from: u32, to: u32, bytes: Vec<u8> },
    Accord { from: u32, to: u32, bytes: Vec<u8> },
    Wakes { member: u32, life: u64 },
    List { member: u32, life: u64 },
}

struct Seat {
    hollow: Option<Hollow>,
    life: u64,
    armed: Micros,
    memory: Option<DurableState>,
    /// Of lives that have ended.
    before: Vec<Counts>,
}

/// The tier and its links.
pub struct World {
    shape: Shape,
    /// The present time; Unix time, as the proxies' clocks.
    pub now: Micros,
    /// The two regions don't hear each other.
    pub cut: bool,
    /// Part of all datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// What was recorded.
    pub records: Vec<Record>,
    seats: Vec<Seat>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
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

impl World {
    /// All members begin within a second, their connections open.
    pub fn new(shape: &Shape) -> Self {
        let addresses: Vec<SocketAddr> = (0..shape.members).map(address).collect();
        let by_address = addresses.iter().copied().zip(0..).collect();
        let mut world = World {
            shape: shape.clone(),
            now: UNIX,
            cut: false,
            loss: 0.0,
            records: Vec::new(),
            seats: Vec::new(),
            due: BinaryHeap::new(),
            number: 0,
            roster: Roster::new(&addresses, None),
            by_address,
            list: list(shape, 1, None),
        };
        for member in 0..shape.members {
            let (memory, before) = (None, Vec::new());
            world.seats.push(Seat { hollow: None, life: 0, armed: Micros::MAX, memory, before });
            world.begin(member, true);
        }
        world
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at, self.number, due)));
    }

    fn begin(&mut self, member: u32, is_first: bool) {
        let seat = &mut self.seats[member as usize];
        seat.life += 1;
        let place = Place {
            shape: self.shape.clone(),
            me: member,
            roster: self.roster.clone(),
            life: (self.now / MS) as u64,
            is_first,
            memory: seat.memory.take(),
        };
        let mut hollow = Hollow::start(place, &self.list, self.now);
        if is_first {
            hollow.open_all(self.now);
        }
        seat.hollow = Some(hollow);
        seat.armed = Micros::MAX;
        self.records.push(Record { at: self.now, member, what: What::Began });
        self.carry_out(member);
    }

    /// A member's process ends without a word.
    pub fn stop(&mut self, member: u32) {
        let seat = &mut self.seats[member as usize];
        if let Some(mut hollow) = seat.hollow.take() {
            seat.memory = hollow.memory();
            seat.before.push(*hollow.counts());
            self.records.push(Record { at: self.now, member, what: What::Ended });
        }
    }

    /// It begins again, with what its disk holds and no connections.
    pub fn restart(&mut self, member: u32) {
        self.stop(member);
        self.begin(member, false);
    }

    /// Members whose processes run.
    pub fn running(&self) -> Vec<u32> {
        (0..self.shape.members).filter(|member| self.seats[*member as usize].hollow.is_some()).collect()
    }

    /// The operator calls for a content at this member; contents of different kinds contradict each other.
    pub fn propose(&mut self, member: u32, content: u32, kind: u8) {
        self.hand(member, Happening::Propose { content, kind });
    }

    /// Discovery tells another list from now on, without a zone's nodes or with all.
    pub fn tell_list(&mut self, revision: u64, without: Option<u32>) {
        self.list = list(&self.shape, revision, without);
        for member in self.running() {
            let life = self.seats[member as usize].life;
            self.push(self.now + LIST, Due::List { member, life });
        }
    }

    /// A member that runs.
    pub fn member(&mut self, member: u32) -> Option<&mut Hollow> {
        self.seats[member as usize].hollow.as_mut()
    }

    /// What each member has counted, all its lives together.
    pub fn counts(&mut self) -> Vec<(u32, Vec<Counts>)> {
        let of = |(member, seat): (usize, &mut Seat)| {
            let now = seat.hollow.as_mut().map(|hollow| *hollow.counts());
            (member as u32, seat.before.iter().copied().chain(now).collect())
        };
        self.seats.iter_mut().enumerate().map(of).collect()
    }

    /// Runs for so long.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, due))) = self.due.pop() else { break };
            self.now = self.now.max(at);
            self.take(due);
        }
        self.now = until;
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Wakes { member, life } => {
                let seat = &mut self.seats[member as usize];
                if seat.life != life || seat.hollow.is_none() {
                    return;
                }
                seat.armed = Micros::MAX;
                while self.seats[member as usize]
                    .hollow
                    .as_ref()
                    .is_some_and(|h| h.next_timeout() <= self.now)
                {
                    self.hand(member, Happening::Time);
                }
                self.arm(member);
            }
            Due::Peers { from, to, bytes } => {
                if !self.is_cut(from, to) {
                    self.hand(to, Happening::Datagram { from: address(from), bytes: &bytes });
                }
            }
            Due::Accord { from, to, bytes } => {
                if !self.is_cut(from, to) {
                    self.hand(to, Happening::Accord { bytes: &bytes });
                }
            }
            Due::List { member, life } => {
                if self.seats[member as usize].life == life {
                    let result = self.list.clone();
                    self.hand(member, Happening::Listed { result: &result, bytes: 0 });
                }
            }
        }
    }

    fn is_cut(&self, from: u32, to: u32) -> bool {
        self.cut && self.shape.is_far(from) != self.shape.is_far(to)
    }

    fn hand(&mut self, member: u32, happening: Happening<'_>) {
        if let Some(hollow) = &mut self.seats[member as usize].hollow {
            hollow.handle(self.now, happening);
            self.carry_out(member);
        }
    }

    fn carry_out(&mut self, member: u32) {
        while let Some(wish) = self.seats[member as usize].hollow.as_mut().and_then(Hollow::poll) {
            match wish {
                Wish::Datagram { to, bytes } => {
                    if let Some(to) = self.by_address.get(&to).copied() {
                        self.send(member, to, Due::Peers { from: member, to, bytes });
                    }
                }
                Wish::Accord { to, bytes } => {
                    let to = u32::from(to);
                    self.send(member, to, Due::Accord { from: member, to, bytes });
                }
                Wish::Watch { .. } => {
                    let life = self.seats[member as usize].life;
                    self.push(self.now + LIST, Due::List { member, life });
                }
                Wish::Record(what) => self.records.push(Record { at: self.now, member, what }),
            }
        }
        self.arm(member);
    }

    fn send(&mut self, from: u32, to: u32, due: Due) {
        let chance = mixed(self.shape.seed ^ self.number, u64::from(from) << 32 | u64::from(to));
        if unit(chance) < self.loss {
            self.number += 1;
            return;
        }
        let far = self.shape.is_far(from) != self.shape.is_far(to);
        let way = if far { FAR } else { NEAR };
        let late = (unit(chance.rotate_left(17)) * way as f64 / 2.0) as Micros;
        self.push(self.now + way + late, due);
    }

    fn arm(&mut self, member: u32) {
        let seat = &mut self.seats[member as usize];
        let Some(hollow) = &seat.hollow else { return };
        let due = hollow.next_timeout().max(self.now);
        if due < seat.armed {
            seat.armed = due;
            let life = seat.life;
            debug_assert!(life < 1 << LIFE_BITS);
            self.push(due, Due::Wakes { member, life });
        }
    }
}

/// Plays a quiet tier: so long until it is measured, and so long while it is. Processor time is none of its figures; `heap`
/// tells the bytes that are allocated.
pub fn measure(shape: &Shape, warm_up: Micros, window: Micros, heap: impl Fn() -> usize) -> Line {
    let empty = heap();
    let mut world = World::new(shape);
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
        world.running().into_iter().filter(|m| world.member(*m).is_some_and(|h| h.leads())).collect();
    let mut line = Line {
        shape: shape.clone(),
        world: "virtual".into(),
        seconds: window as f64 / 1e6,
        heap_bytes: heap().saturating_sub(empty) as f64 / f64::from(shape.members),
        ..Line::default()
    };
    fill(&mut line, &counts, &leaders);
    line
}

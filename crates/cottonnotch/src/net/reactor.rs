//! The event loop: one mio poll, a slab of connection objects with callbacks, a heap of timers, one clock.
//!
//! Readiness is edge-triggered: an object reads and writes until it would block, or asks to be called again
//! when it has had its part of a turn. Objects never call one another; they report [`Happening`]s, which the
//! driver takes up after each round of callbacks.

use super::happening::{Front, Happening};
use super::seldom::Seldom;
use cottonnotch_decision::Micros;
use mio::event::Source;
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Which of an object's sockets: most have one, a relayed RPC has two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    /// The client's, or the only one.
    Near,
    /// The subchannel's.
    Far,
}

/// Names a connection object; never names a later object that reuses its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    index: u32,
    generation: u32,
}

impl Key {
    fn token(self, leg: Leg) -> Token {
        let leg = usize::from(leg == Leg::Far);
        Token((self.generation as usize) << 32 | (self.index as usize) << 1 | leg)
    }

    fn of(token: Token) -> (Key, Leg) {
        let index = (token.0 as u32) >> 1;
        let leg = if token.0 & 1 == 1 { Leg::Far } else { Leg::Near };
        (Key { index, generation: (token.0 >> 32) as u32 }, leg)
    }
}

/// A connection as the reactor sees it.
pub trait Connection {
    /// There may be something to read.
    fn readable(&mut self, io: &mut Io, leg: Leg);
    /// There may be room to write, or a connect has ended.
    fn writable(&mut self, io: &mut Io, leg: Leg);
    /// A timer that the object set is due; it may be outdated.
    fn timer(&mut self, io: &mut Io, timer: u32);
    /// The object is finished and will be dropped.
    fn done(&self) -> bool;
    /// Last call before the drop.
    fn closed(&mut self, _io: &mut Io) {}
    /// The object as a client's RPC, if it is one.
    fn front(&mut self) -> Option<&mut dyn Front> {
        None
    }
}

/// One monotonic clock, mapped to Unix time once at the start: the list's start times, and the second marks
/// on which the module's pauses end, are on the clock that every machine reads.
#[derive(Debug)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock { started: Instant::now(), unix }
    }

    /// Microseconds of Unix time, never going back.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}

/// Whose timer it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Owner {
    Driver,
    Connection(Key),
}

/// What a callback may use.
#[derive(Debug)]
pub struct Io {
    registry: Registry,
    clock: Clock,
    timers: BinaryHeap<Reverse<(Micros, u64, Owner, u32)>>,
    timer_number: u64,
    again: VecDeque<(Key, Leg)>,
    /// What objects have to tell, for the driver.
    pub happenings: VecDeque<Happening>,
    /// Bytes that each direction of a connection may hold.
    pub buffer_bound: usize,
    /// Lines about clients that are turned away.
    pub rejections: Seldom,
}

impl Io {
    /// The present time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Registers a socket for both directions.
    pub fn register(&self, source: &mut impl Source, key: Key, leg: Leg) -> io::Result<()> {
        self.registry.register(source, key.token(leg), Interest::READABLE | Interest::WRITABLE)
    }

    /// Registers a source that is only read.
    pub fn register_reader(&self, source: &mut impl Source, key: Key) -> io::Result<()> {
        self.registry.register(source, key.token(Leg::Near), Interest::READABLE)
    }

    /// Calls the object's `timer` at that time.
    pub fn timer(&mut self, at: Micros, key: Key, timer: u32) {
        self.set(at, Owner::Connection(key), timer);
    }

    /// Reports [`Happening::Timer`] at that time.
    pub fn driver_timer(&mut self, at: Micros, timer: u32) {
        self.set(at, Owner::Driver, timer);
    }

    fn set(&mut self, at: Micros, owner: Owner, timer: u32) {
        self.timer_number += 1;
        self.timers.push(Reverse((at, self.timer_number, owner, timer)));
    }

    /// Calls `readable` again in the next round: the object stopped before it would have blocked, so that
    /// one busy connection does not keep the others waiting.
    pub fn call_again(&mut self, key: Key, leg: Leg) {
        self.again.push_back((key, leg));
    }

    /// Logs that a client was turned away with an error.
    pub fn rejected(&mut self, why: &dyn Display) {
        if let Some(more) = self.rejections.due(self.now()) {
            log::warn!("client turned away: {why} ({more} more since the last such line)");
        }
    }

    /// Reports to the driver.
    pub fn tell(&mut self, happening: Happening) {
        self.happenings.push_back(happening);
    }
}

struct Slot {
    generation: u32,
    connection: Box<dyn Connection>,
}

/// The loop and its objects.
pub struct Reactor {
    poll: Poll,
    events: Events,
    slots: Slab<Slot>,
    generation: u32,
    /// What callbacks and the driver use.
    pub io: Io,
}

impl Reactor {
    pub fn new() -> io::Result<Self> {
        let poll = Poll::new()?;
        let io = Io {
            registry: poll.registry().try_clone()?,
            clock: Clock::new(),
            timers: BinaryHeap::new(),
            timer_number: 0,
            again: VecDeque::new(),
            happenings: VecDeque::new(),
            buffer_bound: 16 * 1024,
            rejections: Seldom::default(),
        };
        Ok(Reactor { poll, events: Events::with_capacity(1024), slots: Slab::new(), generation: 0, io })
    }

    /// Adds an object; `make` gets the key under which its sockets are to be registered.
    pub fn insert<C: Connection + 'static>(
        &mut self,
        make: impl FnOnce(Key, &mut Io) -> io::Result<C>,
    ) -> io::Result<Key> {
        self.generation = self.generation.wrapping_add(1);
        let entry = self.slots.vacant_entry();
        let key = Key { index: entry.key() as u32, generation: self.generation };
        let connection = make(key, &mut self.io)?;
        entry.insert(Slot { generation: key.generation, connection: Box::new(connection) });
        Ok(key)
    }

    /// Calls `use_it` on the object, if it still exists, and drops the object if that finished it.
    pub fn with<T>(&mut self, key: Key, use_it: impl FnOnce(&mut dyn Connection, &mut Io) -> T) -> Option<T> {
        // Guards against stale tokens and timers: a place that was given to a later object is not meant.
        let slot = self.slots.get_mut(key.index as usize).filter(|s| s.generation == key.generation)?;
        let result = use_it(slot.connection.as_mut(), &mut self.io);
        if slot.connection.done() {
            slot.connection.closed(&mut self.io);
            self.slots.remove(key.index as usize);
        }
        Some(result)
    }

    /// The same for a client's RPC.
    pub fn with_front<T>(
        &mut self,
        key: Key,
        use_it: impl FnOnce(&mut dyn Front, &mut Io) -> T,
    ) -> Option<T> {
        self.with(key, |connection, io| connection.front().map(|front| use_it(front, io))).flatten()
    }

    /// The object still exists.
    pub fn contains(&self, key: Key) -> bool {
        self.slots.get(key.index as usize).is_some_and(|slot| slot.generation == key.generation)
    }

    /// Objects there are.
    pub fn connections(&self) -> usize {
        self.slots.len()
    }

    /// Drops an object.
    pub fn remove(&mut self, key: Key) {
        if self.slots.get(key.index as usize).is_some_and(|s| s.generation == key.generation) {
            self.slots.remove(key.index as usize);
        }
    }

    /// Waits for the next readiness or timer and runs the callbacks.
    pub fn turn(&mut self) -> io::Result<()> {
        let now = self.io.now();
        let wait = match self.io.timers.peek() {
            _ if !self.io.again.is_empty() => Some(Duration::ZERO),
            Some(Reverse((at, ..))) => Some(Duration::from_micros((at - now).max(0) as u64)),
            None => None,
        };
        match self.poll.poll(&mut self.events, wait) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let ready: Vec<(Token, bool, bool)> = self
            .events
            .iter()
            .map(|e| {
                let broken = e.is_error() || e.is_read_closed();
                (e.token(), e.is_readable() || broken, e.is_writable() || e.is_error())
            })
            .collect();
        for (token, readable, writable) in ready {
            let (key, leg) = Key::of(token);
            if writable {
                self.with(key, |c, io| c.writable(io, leg));
            }
            if readable {
                self.with(key, |c, io| c.readable(io, leg));
            }
        }
        for (key, leg) in std::mem::take(&mut self.io.again) {
            self.with(key, |c, io| c.readable(io, leg));
        }
        let now = self.io.now();
        while self.io.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, owner, timer))) = self.io.timers.pop() else { break };
            match owner {
                Owner::Driver => self.io.tell(Happening::Timer(timer)),
                Owner::Connection(key) => {
                    self.with(key, |c, io| c.timer(io, timer));
                }
            }
        }
        Ok(())
    }
}

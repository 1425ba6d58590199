//! The event loop: one mio poll, a slab of connection objects with callbacks, a heap of timers, one clock.
//!
//! Readiness is edge-triggered: an object reads and writes until it would block, or asks to be called again when it has used up
//! its share of a turn. Objects never call one another; they report what happens, and the loop's owner handles the reports
//! after each round of callbacks.

use crate::clock::{Clock, Micros};
use mio::event::Source;
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::time::Duration;

/// Which half of an object's connection: most objects have one socket, a relayed connection has two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Half {
    /// The client's, or the only one.
    Near,
    /// The endpoint's.
    Far,
}

/// Identifies a connection object; never a later object that reuses its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    index: u32,
    generation: u32,
}

impl Key {
    fn token(self, half: Half) -> Token {
        let half = usize::from(half == Half::Far);
        Token((self.generation as usize) << 32 | (self.index as usize) << 1 | half)
    }

    fn of(token: Token) -> (Key, Half) {
        let index = (token.0 as u32) >> 1;
        let half = if token.0 & 1 == 1 { Half::Far } else { Half::Near };
        (Key { index, generation: (token.0 >> 32) as u32 }, half)
    }
}

/// A report from an object to the loop's owner.
pub trait Report {
    /// A timer of the owner's own is due.
    fn timer(timer: u32) -> Self;
}

/// A connection as the loop sees it.
pub trait Connection {
    /// Its reports to the loop's owner.
    type Report: Report;
    /// There may be something to read.
    fn readable(&mut self, io: &mut Io<Self::Report>, half: Half);
    /// There may be room to write, or a connect has ended.
    fn writable(&mut self, io: &mut Io<Self::Report>, half: Half);
    /// A timer that the object set is due; it may be outdated.
    fn timer(&mut self, io: &mut Io<Self::Report>, timer: u32);
    /// The object is finished and will be dropped.
    fn done(&self) -> bool;
    /// Last call before the drop.
    fn closed(&mut self, _io: &mut Io<Self::Report>) {}
}

/// Whose timer it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Owner {
    Loop,
    Connection(Key),
}

/// What a callback may use.
#[derive(Debug)]
pub struct Io<R> {
    registry: Registry,
    clock: Clock,
    timers: BinaryHeap<Reverse<(Micros, u64, Owner, u32)>>,
    timer_number: u64,
    again: VecDeque<(Key, Half)>,
    /// Reports that the owner has not handled yet.
    pub reports: VecDeque<R>,
    /// Bytes that each direction of a connection may hold.
    pub buffer_bound: usize,
}

impl<R: Report> Io<R> {
    /// The present time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Registers a socket for both directions.
    pub fn register(&self, source: &mut impl Source, key: Key, half: Half) -> io::Result<()> {
        self.registry.register(source, key.token(half), Interest::READABLE | Interest::WRITABLE)
    }

    /// Registers a source that is only read.
    pub fn register_reader(&self, source: &mut impl Source, key: Key) -> io::Result<()> {
        self.registry.register(source, key.token(Half::Near), Interest::READABLE)
    }

    /// Calls the object's `timer` at that time.
    pub fn timer(&mut self, at: Micros, key: Key, timer: u32) {
        self.set(at, Owner::Connection(key), timer);
    }

    /// Reports [`Report::timer`] at that time.
    pub fn owner_timer(&mut self, at: Micros, timer: u32) {
        self.set(at, Owner::Loop, timer);
    }

    fn set(&mut self, at: Micros, owner: Owner, timer: u32) {
        self.timer_number += 1;
        self.timers.push(Reverse((at, self.timer_number, owner, timer)));
    }

    /// Calls `readable` again in the next round: the object stopped before it would have blocked, so that
    /// one busy connection does not keep the others waiting.
    pub fn call_again(&mut self, key: Key, half: Half) {
        self.again.push_back((key, half));
    }

    /// Reports to the owner.
    pub fn report(&mut self, report: R) {
        self.reports.push_back(report);
    }
}

struct Slot<C: ?Sized> {
    generation: u32,
    connection: Box<C>,
}

/// The loop and its objects: of one type, or of any that are a `dyn` trait of the owner's.
pub struct Reactor<C: Connection + ?Sized> {
    poll: Poll,
    events: Events,
    slots: Slab<Slot<C>>,
    generation: u32,
    /// What callbacks and the owner use.
    pub io: Io<C::Report>,
}

impl<C: Connection + ?Sized> Reactor<C> {
    /// A loop on that clock. Fails if the system has no poll to give.
    pub fn new(clock: Clock) -> io::Result<Self> {
        let poll = Poll::new()?;
        let io = Io {
            registry: poll.registry().try_clone()?,
            clock,
            timers: BinaryHeap::new(),
            timer_number: 0,
            again: VecDeque::new(),
            reports: VecDeque::new(),
            buffer_bound: 16 * 1024,
        };
        Ok(Reactor { poll, events: Events::with_capacity(1024), slots: Slab::new(), generation: 0, io })
    }

    /// Adds an object; `make` gets the key under which its sockets are to be registered.
    pub fn insert(
        &mut self,
        make: impl FnOnce(Key, &mut Io<C::Report>) -> io::Result<Box<C>>,
    ) -> io::Result<Key> {
        self.generation = self.generation.wrapping_add(1);
        let entry = self.slots.vacant_entry();
        let key = Key { index: entry.key() as u32, generation: self.generation };
        let connection = make(key, &mut self.io)?;
        entry.insert(Slot { generation: key.generation, connection });
        Ok(key)
    }

    /// Calls `use_it` on the object, if it still exists, and drops the object if that finished it.
    pub fn with<T>(&mut self, key: Key, use_it: impl FnOnce(&mut C, &mut Io<C::Report>) -> T) -> Option<T> {
        // Guards against stale tokens and timers: a slot that was given to a later object is not meant.
        let slot = self.slots.get_mut(key.index as usize).filter(|s| s.generation == key.generation)?;
        let result = use_it(slot.connection.as_mut(), &mut self.io);
        if slot.connection.done() {
            slot.connection.closed(&mut self.io);
            self.slots.remove(key.index as usize);
        }
        Some(result)
    }

    /// Whether the object still exists.
    pub fn contains(&self, key: Key) -> bool {
        self.slots.get(key.index as usize).is_some_and(|slot| slot.generation == key.generation)
    }

    /// How many objects there are.
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
            let (key, half) = Key::of(token);
            if writable {
                self.with(key, |c, io| c.writable(io, half));
            }
            if readable {
                self.with(key, |c, io| c.readable(io, half));
            }
        }
        for (key, half) in std::mem::take(&mut self.io.again) {
            self.with(key, |c, io| c.readable(io, half));
        }
        let now = self.io.now();
        while self.io.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, owner, timer))) = self.io.timers.pop() else { break };
            match owner {
                Owner::Loop => self.io.report(C::Report::timer(timer)),
                Owner::Connection(key) => {
                    self.with(key, |c, io| c.timer(io, timer));
                }
            }
        }
        Ok(())
    }
}

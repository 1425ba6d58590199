//! The event loop: one mio poll, a slab of connection objects with callbacks, a heap of timers, and one clock.
//!
//! Readiness is edge-triggered: an object reads and writes until the socket would block, or asks to be called again after it
//! has read its maximum for one callback. Objects never call one another; they send reports to the loop's owner, which handles
//! them after each round of callbacks.

use crate::clock::{Clock, Micros};
use mio::event::Source;
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::io;
use std::time::Duration;

/// Identifies one of an object's sockets. Most objects have one socket; a relayed connection has two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Half {
    /// The client's socket, or the only socket.
    Near,
    /// The endpoint's socket.
    Far,
}

/// Identifies a connection object. The generation distinguishes it from later objects that reuse its slot.
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
    /// Creates the report that a timer of the owner is due.
    fn timer(timer: u32) -> Self;
}

/// An object whose callbacks the loop calls, usually a connection.
pub trait Connection {
    /// The type of its reports to the loop's owner.
    type Report: Report;
    /// Called when the socket may be readable.
    fn readable(&mut self, io: &mut Io<Self::Report>, half: Half);
    /// Called when the socket may be writable, or a connect has succeeded or failed.
    fn writable(&mut self, io: &mut Io<Self::Report>, half: Half);
    /// Called when a timer of the object is due. Timers cannot be cancelled, so the timer may be outdated.
    fn timer(&mut self, io: &mut Io<Self::Report>, timer: u32);
    /// Whether the object is finished, so that the loop drops it.
    fn done(&self) -> bool;
    /// Called before the loop drops a finished object.
    fn closed(&mut self, _io: &mut Io<Self::Report>) {}
}

/// The owner of a timer: the owner of the loop, or a connection object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Owner {
    Loop,
    Connection(Key),
}

/// The parts of the loop that callbacks use: registration, clock, timers and reports.
#[derive(Debug)]
pub struct Io<R> {
    registry: Registry,
    clock: Clock,
    timers: BinaryHeap<Reverse<(Micros, u64, Owner, u32)>>,
    timer_number: u64,
    /// Sockets to be read again in the next round, each once: an object that a new event makes readable too would otherwise be
    /// called once more in every round.
    pending_reads: BTreeSet<(Key, Half)>,
    /// Reports that the owner has not handled yet.
    pub reports: VecDeque<R>,
    /// Size of the buffer for each direction of a connection, in bytes.
    pub buffer_bound: usize,
}

impl<R: Report> Io<R> {
    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Registers a socket for reading and writing.
    pub fn register(&self, source: &mut impl Source, key: Key, half: Half) -> io::Result<()> {
        self.registry.register(source, key.token(half), Interest::READABLE | Interest::WRITABLE)
    }

    /// Registers a source for reading only.
    pub fn register_reader(&self, source: &mut impl Source, key: Key) -> io::Result<()> {
        self.registry.register(source, key.token(Half::Near), Interest::READABLE)
    }

    /// Sets a timer that calls the object's `timer` at the time `at`.
    pub fn timer(&mut self, at: Micros, key: Key, timer: u32) {
        self.set(at, Owner::Connection(key), timer);
    }

    /// Sets a timer that reports [`Report::timer`] at the time `at`.
    pub fn owner_timer(&mut self, at: Micros, timer: u32) {
        self.set(at, Owner::Loop, timer);
    }

    fn set(&mut self, at: Micros, owner: Owner, timer: u32) {
        self.timer_number += 1;
        self.timers.push(Reverse((at, self.timer_number, owner, timer)));
    }

    /// Schedules another call of `readable` in the next round. To be used by an object that stops reading before the socket
    /// would block, so that one busy connection does not delay the others. Several calls for one socket count as one.
    pub fn call_again(&mut self, key: Key, half: Half) {
        self.pending_reads.insert((key, half));
    }

    /// Sends a report to the loop's owner.
    pub fn report(&mut self, report: R) {
        self.reports.push_back(report);
    }
}

struct Slot<C: ?Sized> {
    generation: u32,
    connection: Box<C>,
}

/// The event loop and its objects, which are either of one type or trait objects of a trait that the owner defines.
pub struct Reactor<C: Connection + ?Sized> {
    poll: Poll,
    events: Events,
    slots: Slab<Slot<C>>,
    generation: u32,
    /// Registration, clock, timers and reports, for callbacks and for the owner.
    pub io: Io<C::Report>,
}

impl<C: Connection + ?Sized> Reactor<C> {
    /// Creates a loop with the given clock. Fails if the operating system cannot create a poll.
    pub fn new(clock: Clock) -> io::Result<Self> {
        let poll = Poll::new()?;
        let io = Io {
            registry: poll.registry().try_clone()?,
            clock,
            timers: BinaryHeap::new(),
            timer_number: 0,
            pending_reads: BTreeSet::new(),
            reports: VecDeque::new(),
            buffer_bound: 16 * 1024,
        };
        Ok(Reactor { poll, events: Events::with_capacity(1024), slots: Slab::new(), generation: 0, io })
    }

    /// Adds an object. `make` creates the object and registers its sockets with the given key.
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

    /// Calls `callback` on the object if the object still exists, then drops the object if it is finished.
    pub fn with<T>(&mut self, key: Key, callback: impl FnOnce(&mut C, &mut Io<C::Report>) -> T) -> Option<T> {
        // A stale token or timer must not reach a later object that reuses the slot.
        let slot = self.slots.get_mut(key.index as usize).filter(|s| s.generation == key.generation)?;
        let result = callback(slot.connection.as_mut(), &mut self.io);
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

    /// Returns the number of objects.
    pub fn connections(&self) -> usize {
        self.slots.len()
    }

    /// Drops an object without calling its `closed`.
    pub fn remove(&mut self, key: Key) {
        if self.slots.get(key.index as usize).is_some_and(|s| s.generation == key.generation) {
            self.slots.remove(key.index as usize);
        }
    }

    /// Waits for the next readiness or timer and runs the callbacks.
    pub fn turn(&mut self) -> io::Result<()> {
        let began = self.io.now();
        let wait = match self.io.timers.peek() {
            _ if !self.io.pending_reads.is_empty() => Some(Duration::ZERO),
            Some(Reverse((at, ..))) => Some(Duration::from_micros((at - began).max(0) as u64)),
            None => None,
        };
        match self.poll.poll(&mut self.events, wait) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let due_until = self.polled_until(began, wait);
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
        for (key, half) in std::mem::take(&mut self.io.pending_reads) {
            self.with(key, |c, io| c.readable(io, half));
        }
        while self.io.timers.peek().is_some_and(|Reverse((at, ..))| *at <= due_until) {
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

    /// Returns the time until which timers are due after a poll that began at `began`. What arrives before a time limit must be
    /// read before the limit counts, also if the process is suspended as the poll returns or in a callback: so timers that
    /// become due later than a poll is known to have looked wait for the next round.
    fn polled_until(&self, began: Micros, wait: Option<Duration>) -> Micros {
        match wait {
            // It looked for the last time as the wait ended.
            Some(wait) if self.events.is_empty() => began + wait.as_micros() as Micros,
            _ => began,
        }
    }
}

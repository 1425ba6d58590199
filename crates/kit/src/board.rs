//! State that the threads of a run share: the clock, the admitted proxies, the stop flag, and counts for the progress
//! line.

use crate::observation::RequestId;
use crate::plan::{Plan, ProxyId};
use crate::time::{Micros, RunClock};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of ids of open requests that are kept for misbehaving clients to steal. They need only a few at a time.
const MAX_OPEN_IDS: usize = 32;

/// Counts for the progress line during the run; the judge does not use them.
#[derive(Debug, Default)]
pub struct Live {
    /// Sessions that are established now.
    pub standing: AtomicI64,
    /// Connection time requested so far, multiplied by its worth, in microseconds.
    pub wanted: AtomicU64,
    /// The part of `wanted` that was well served.
    pub well: AtomicU64,
    /// Requests sent to proxies.
    pub asked: AtomicU64,
    /// Answers `UP`.
    pub up: AtomicU64,
    /// Answers `BUSY`.
    pub busy: AtomicU64,
    /// All other answers.
    pub failed: AtomicU64,
    /// `MOVE` lines read by clients.
    pub moved: AtomicU64,
}

/// The shared state of a run.
#[derive(Debug)]
pub struct Board {
    /// The clock of the run.
    pub clock: RunClock,
    /// Counts for the progress line.
    pub live: Live,
    admitted: Vec<AtomicBool>,
    ready: AtomicUsize,
    held: Vec<AtomicBool>,
    open: Mutex<VecDeque<(RequestId, ProxyId)>>,
    stopping: AtomicBool,
}

impl Board {
    /// Creates the state of a run that begins after `lead`.
    pub fn new(plan: &Plan, lead: Micros) -> Self {
        let flags = || plan.proxies.iter().map(|_| AtomicBool::new(false)).collect();
        Board {
            clock: RunClock::begin_in(lead),
            live: Live::default(),
            admitted: flags(),
            held: flags(),
            open: Mutex::default(),
            ready: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Sets whether the front sends new clients to this proxy.
    pub fn admit(&self, proxy: ProxyId, on: bool) {
        if let Some(admitted) = self.admitted.get(usize::from(proxy.0)) {
            admitted.store(on, Ordering::Release);
        }
    }

    /// Returns whether the front sends new clients to this proxy.
    pub fn is_admitted(&self, proxy: ProxyId) -> bool {
        self.admitted.get(usize::from(proxy.0)).is_some_and(|admitted| admitted.load(Ordering::Acquire))
    }

    /// Reports that a thread of an emulator has opened its sockets.
    pub fn ready(&self) {
        self.ready.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns the number of threads that have opened their sockets.
    pub fn are_ready(&self) -> usize {
        self.ready.load(Ordering::Acquire)
    }

    /// Holds a proxy (`on`) or releases it. A held proxy gets no new clients from this moment, and the front does not
    /// admit it again even if it answers. The runner holds a proxy that was told to stop, after the time in which it
    /// still gets clients ([`crate::plan::Front::leaves_after`]), and releases it when its process was started again.
    /// The front then admits the proxy as soon as it answers.
    pub fn hold(&self, proxy: ProxyId, on: bool) {
        if let Some(held) = self.held.get(usize::from(proxy.0)) {
            held.store(on, Ordering::Release);
        }
        if on {
            self.admit(proxy, false);
        }
    }

    /// Returns whether the proxy is held, so that the front must not admit it.
    pub fn is_held(&self, proxy: ProxyId) -> bool {
        self.held.get(usize::from(proxy.0)).is_some_and(|held| held.load(Ordering::Acquire))
    }

    fn open(&self) -> MutexGuard<'_, VecDeque<(RequestId, ProxyId)>> {
        // The list is consistent even if a thread panicked while it held the lock.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the id of an open request for misbehaving clients to steal. The oldest id is dropped when the
    /// list is full.
    pub fn opened(&self, request: RequestId, proxy: ProxyId) {
        let mut open = self.open();
        if open.len() == MAX_OPEN_IDS {
            open.pop_front();
        }
        open.push_back((request, proxy));
    }

    /// Removes the id of a request that is no longer open.
    pub fn closed(&self, request: RequestId) {
        self.open().retain(|(open, _)| *open != request);
    }

    /// Returns the id of the most recently opened request that is still open, and the proxy that serves it.
    pub fn an_open_id(&self) -> Option<(RequestId, ProxyId)> {
        self.open().back().copied()
    }

    /// Ends the run. Threads check the flag every few milliseconds and end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether the run is over.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

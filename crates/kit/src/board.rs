//! What the threads of a run share: the clock, who is admitted, the end, and a few counts for the progress line.

use crate::observation::RequestId;
use crate::plan::{Plan, ProxyId};
use crate::time::{Micros, RunClock};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Ids of open requests that are kept for rude clients to steal; a few at a time are enough.
const MOST_OPEN_IDS: usize = 32;

/// Counts that a person may watch while the run goes on; the judge does not use them.
#[derive(Debug, Default)]
pub struct Live {
    /// Sessions that are up now.
    pub standing: AtomicI64,
    /// Connection seconds asked for so far, times their worth, in microseconds.
    pub wanted: AtomicU64,
    /// Those well served.
    pub well: AtomicU64,
    /// Requests put to proxies.
    pub asked: AtomicU64,
    /// Answers `UP`, `BUSY`, and any other.
    pub up: AtomicU64,
    /// Refused.
    pub busy: AtomicU64,
    /// Failed.
    pub failed: AtomicU64,
    /// `MOVE` lines.
    pub moved: AtomicU64,
}

/// The board.
#[derive(Debug)]
pub struct Board {
    /// The one clock.
    pub clock: RunClock,
    /// For the progress line.
    pub live: Live,
    admitted: Vec<AtomicBool>,
    ready: AtomicUsize,
    held: Vec<AtomicBool>,
    open: Mutex<VecDeque<(RequestId, ProxyId)>>,
    stopping: AtomicBool,
}

impl Board {
    /// A board for a run that begins this long from now.
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

    /// The front gives this proxy new clients, or no more.
    pub fn admit(&self, proxy: ProxyId, on: bool) {
        if let Some(admitted) = self.admitted.get(usize::from(proxy.0)) {
            admitted.store(on, Ordering::Release);
        }
    }

    /// Whether new clients go to it.
    pub fn is_admitted(&self, proxy: ProxyId) -> bool {
        self.admitted.get(usize::from(proxy.0)).is_some_and(|admitted| admitted.load(Ordering::Acquire))
    }

    /// A stand-in's thread has opened its sockets.
    pub fn ready(&self) {
        self.ready.fetch_add(1, Ordering::AcqRel);
    }

    /// So many threads have opened their sockets.
    pub fn are_ready(&self) -> usize {
        self.ready.load(Ordering::Acquire)
    }

    /// Held, a proxy gets no new clients at once, and the front does not admit it again, whatever it answers. The
    /// runner holds one that was told to stop, once its last clients have come ([`crate::plan::Front::leaves_after`]),
    /// and lets go when its process was started again; then it is admitted as soon as it answers the front.
    pub fn hold(&self, proxy: ProxyId, on: bool) {
        if let Some(held) = self.held.get(usize::from(proxy.0)) {
            held.store(on, Ordering::Release);
        }
        if on {
            self.admit(proxy, false);
        }
    }

    /// The front must not admit it.
    pub fn is_held(&self, proxy: ProxyId) -> bool {
        self.held.get(usize::from(proxy.0)).is_some_and(|held| held.load(Ordering::Acquire))
    }

    fn open(&self) -> MutexGuard<'_, VecDeque<(RequestId, ProxyId)>> {
        // A list of ids is whole even if a thread died while it had it.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request is up, and its id may be stolen; beyond a few the oldest is forgotten.
    pub fn opened(&self, request: RequestId, proxy: ProxyId) {
        let mut open = self.open();
        if open.len() == MOST_OPEN_IDS {
            open.pop_front();
        }
        open.push_back((request, proxy));
    }

    /// It is up no more.
    pub fn closed(&self, request: RequestId) {
        self.open().retain(|(open, _)| *open != request);
    }

    /// The id that was opened last of those that are up, and the proxy that serves it.
    pub fn an_open_id(&self) -> Option<(RequestId, ProxyId)> {
        self.open().back().copied()
    }

    /// The run is over; threads end as soon as they notice, which they do every few milliseconds.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// The run is over.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

//! What the threads of a run share: the clock, who is admitted, the end, and a few counts for the progress line.

use crate::plan::{Plan, ProxyId};
use crate::time::Micros;
use crate::time::RunClock;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};

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
    stopping: AtomicBool,
}

impl Board {
    /// A board for a run that begins this long from now.
    pub fn new(plan: &Plan, lead: Micros) -> Self {
        let admitted = plan.proxies.iter().map(|_| AtomicBool::new(false)).collect();
        Board {
            clock: RunClock::begin_in(lead),
            live: Live::default(),
            admitted,
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

    /// The run is over; threads end as soon as they notice, which they do every few milliseconds.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// The run is over.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

//! The events that a hollow proxy has scheduled for itself, in the order of their times.

use crate::interface::ScheduledEvent;
use cottonnotch_decision::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of events by time; events of the same time leave it in the order in which they were added.
#[derive(Default)]
pub(crate) struct Schedule {
    events: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    sequence: u64,
}

impl Schedule {
    /// Adds an event.
    pub fn add(&mut self, at: Micros, event: ScheduledEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Time of the next event; [`Micros::MAX`] without one.
    pub fn next_timeout(&self) -> Micros {
        self.events.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at)
    }

    /// The next event and its time.
    pub fn peek(&self) -> Option<(Micros, &ScheduledEvent)> {
        self.events.peek().map(|Reverse((at, _, event))| (*at, event))
    }

    /// Removes the next event if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<ScheduledEvent> {
        if self.next_timeout() > now {
            return None;
        }
        self.events.pop().map(|Reverse((_, _, event))| event)
    }
}

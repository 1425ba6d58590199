//! The state of one connection at a render node.

use crate::observation::RequestId;
use crate::plan::SessionId;
use crate::time::Micros;
use std::collections::VecDeque;

/// How an attempt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    Busy,
    Error,
    Rubbish,
}

/// The progress of an attempt or connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Refused(Refusal),
    SettingUp {
        /// The time at which the proxy gives up the attempt.
        gives_up: Micros,
    },
    Up {
        /// The group that the connection counts for; `None` once either side has ended the connection.
        group: Option<u64>,
    },
}

/// The items that are written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Item {
    Return,
    Bye,
    Move,
}

/// A connection with its queue of items.
#[derive(Debug)]
pub(super) struct Connection {
    pub request: RequestId,
    pub session: SessionId,
    pub network_delay: Micros,
    pub state: State,
    /// The attempt is answered at this time at the earliest.
    pub answer_at: Micros,
    /// The load in billionths of a standard core; 0 until the connection is up.
    pub load: i64,
    pub items: VecDeque<(Micros, Item)>,
    last_item_at: Micros,
}

impl Connection {
    pub fn new(
        request: RequestId,
        session: SessionId,
        network_delay: Micros,
        state: State,
        answer_at: Micros,
    ) -> Self {
        Connection {
            request,
            session,
            network_delay,
            state,
            answer_at,
            load: 0,
            items: VecDeque::new(),
            last_item_at: 0,
        }
    }

    /// Appends an item to the queue. Returns the time at which the item is due if the queue was empty.
    pub fn push_item(&mut self, at: Micros, item: Item) -> Option<Micros> {
        // Items keep their order even if a later line has a shorter latency.
        self.last_item_at = self.last_item_at.max(at);
        self.items.push_back((self.last_item_at, item));
        (self.items.len() == 1).then_some(self.last_item_at)
    }
}

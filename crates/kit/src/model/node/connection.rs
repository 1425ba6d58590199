//! One connection as its render node knows it.

use crate::observation::RequestId;
use crate::plan::SessionId;
use crate::time::Micros;
use std::collections::VecDeque;

/// How an attempt is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    Busy,
    Error,
    Rubbish,
}

/// How far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Refused(Refusal),
    SettingUp {
        /// The proxy does not wait longer.
        gives_up: Micros,
    },
    Up {
        /// The group that it counts for, while it counts: not once it has been told to leave or has left.
        group: Option<u64>,
    },
}

/// What is to be written, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Item {
    Return,
    Bye,
    Move,
}

/// A connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub request: RequestId,
    pub session: SessionId,
    pub way: Micros,
    pub state: State,
    /// The attempt is not answered before.
    pub answer_at: Micros,
    /// In billionths of a standard core; nothing until it is up.
    pub load: i64,
    pub items: VecDeque<(Micros, Item)>,
    last: Micros,
}

impl Connection {
    pub fn new(request: RequestId, session: SessionId, way: Micros, state: State, answer_at: Micros) -> Self {
        Connection { request, session, way, state, answer_at, load: 0, items: VecDeque::new(), last: 0 }
    }

    /// Queues an item behind the others. If it is the next one, returns when it is due.
    pub fn queue(&mut self, at: Micros, item: Item) -> Option<Micros> {
        // Lines come back in order, however the draws of their times fell.
        self.last = self.last.max(at);
        self.items.push_back((self.last, item));
        (self.items.len() == 1).then_some(self.last)
    }
}

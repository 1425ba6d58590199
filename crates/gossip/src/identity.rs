//! This member itself, as it appears in its datagrams.

use crate::wire::Header;
use crate::{Incarnation, Micros, Strength};

/// This member's ordinal, incarnation and counter.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) ordinal: u16,
    pub(crate) incarnation: Incarnation,
    /// Of the last datagram sent.
    counter: u64,
    /// When a report of a later generation of its own was last believed.
    pub(crate) jumped_at: Option<Micros>,
    /// When it last refuted reports of its end with a round of datagrams.
    pub(crate) refuted_at: Option<Micros>,
}

impl Identity {
    /// A process that has sent nothing yet.
    pub(crate) fn new(ordinal: u16, generation: u64) -> Self {
        Identity {
            ordinal,
            incarnation: Incarnation::first(generation),
            counter: 0,
            jumped_at: None,
            refuted_at: None,
        }
    }

    /// The header of the next datagram; counted only by [`Identity::count_sent`].
    pub(crate) fn next_header(&self, strength: Strength, to_all: bool) -> Header {
        Header {
            strength,
            to_all,
            sender: self.ordinal,
            incarnation: self.incarnation,
            counter: self.counter + 1,
        }
    }

    /// A datagram is sent: the next one has another counter.
    pub(crate) fn count_sent(&mut self) {
        self.counter += 1;
    }
}

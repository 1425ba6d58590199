//! The identity of this member as written in the headers of its datagrams.

use crate::wire::Header;
use crate::{Incarnation, Micros, Strength};

/// This member's ordinal, incarnation and datagram counter.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) ordinal: u16,
    pub(crate) incarnation: Incarnation,
    /// Counter of the last datagram sent.
    counter: u64,
    /// When this member last adopted a later generation because others reported one.
    pub(crate) jumped_at: Option<Micros>,
    /// When this member last sent a round of datagrams to refute reports about itself.
    pub(crate) refuted_at: Option<Micros>,
}

impl Identity {
    /// Creates the identity of a process that has sent no datagram yet.
    pub(crate) fn new(ordinal: u16, generation: u64) -> Self {
        Identity {
            ordinal,
            incarnation: Incarnation::first(generation),
            counter: 0,
            jumped_at: None,
            refuted_at: None,
        }
    }

    /// Returns the header of the next datagram. [`Identity::count_sent`] advances the counter.
    pub(crate) fn next_header(&self, strength: Strength, to_all: bool) -> Header {
        Header {
            strength,
            to_all,
            sender: self.ordinal,
            incarnation: self.incarnation,
            counter: self.counter + 1,
        }
    }

    /// Advances the counter after a datagram was sent.
    pub(crate) fn count_sent(&mut self) {
        self.counter += 1;
    }
}

//! What a hollow proxy is handed and what it asks for, and its accounts of processor time.

use crate::counters::Counts;
use crate::records::What;
use cottonnotch_consensus::ContentHash;
use cottonnotch_proxy_core::EndpointUpdate;
use std::net::SocketAddr;

/// What happened to it.
#[derive(Clone, Debug)]
pub enum Happening<'a> {
    /// A datagram of the fleet view or of gossip has come.
    Datagram {
        /// From there.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// A datagram of the accord has come.
    Accord {
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// Discovery has told a list, in a text of so many bytes.
    Listed {
        /// The list.
        result: &'a EndpointUpdate,
        /// Bytes of the text.
        bytes: usize,
    },
    /// The watch on discovery is lost.
    ListLost {
        /// It said nothing where a beat was due.
        silent: bool,
    },
    /// The operator wants this content in force.
    Propose {
        /// Which.
        content: u32,
        /// Contents of different kinds contradict each other.
        kind: u8,
    },
    /// [`Hollow::next_timeout`] has come; one thing that is due is done.
    Time,
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// Send a datagram of the fleet view or of gossip.
    Datagram {
        /// There.
        to: SocketAddr,
        /// These bytes.
        bytes: Vec<u8>,
    },
    /// Send a datagram of the accord.
    Accord {
        /// To this member.
        to: u16,
        /// These bytes.
        bytes: Vec<u8>,
    },
    /// Begin a watch on discovery from this revision, in place of the last one.
    Watch {
        /// The last one taken.
        from: u64,
    },
    /// For the records.
    Record(What),
}

/// What comes later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Second,
    First,
    Arrival,
    Module(u32),
    Up { request: u64, attempt: u32, server: u32 },
    Checked { hash: ContentHash, agrees_from: Option<u64> },
    Have { hash: ContentHash },
}

/// What a proxy's time goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The fleet view or gossip.
    Peers,
    /// The accord.
    Accord,
    /// What comes once a second.
    Second,
    /// The module: set-ups and their ends.
    Setups,
}

impl Part {
    /// Its account.
    pub fn of(self, counts: &mut Counts) -> &mut u64 {
        match self {
            Part::Peers => &mut counts.peers_ns,
            Part::Accord => &mut counts.accord_ns,
            Part::Second => &mut counts.second_ns,
            Part::Setups => &mut counts.setups_ns,
        }
    }
}

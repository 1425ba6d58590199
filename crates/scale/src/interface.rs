//! What a hollow proxy is handed and what it asks for, and its accounts of processor time.

use crate::counters::Counts;
use crate::records::MemberEvent;
use cottonnotch_consensus::ContentHash;
use cottonnotch_proxy_core::EndpointUpdate;
use std::net::SocketAddr;

/// What happened to it.
#[derive(Clone, Debug)]
pub enum HollowInput<'a> {
    /// A datagram of the fleet view or of gossip has come.
    PeerDatagram {
        /// From there.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// A datagram of the accord has come.
    ConsensusDatagram {
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// Discovery has told a list, in a text of so many bytes.
    EndpointUpdate {
        /// The list.
        update: &'a EndpointUpdate,
        /// Bytes of the text.
        bytes: usize,
    },
    /// The watch on discovery is lost.
    WatchLost {
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
    Timeout,
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum HollowOutput {
    /// Send a datagram of the fleet view or of gossip.
    PeerDatagram {
        /// There.
        to: SocketAddr,
        /// These bytes.
        bytes: Vec<u8>,
    },
    /// Send a datagram of the accord.
    ConsensusDatagram {
        /// To this member.
        to: u16,
        /// These bytes.
        bytes: Vec<u8>,
    },
    /// Begin a watch on discovery from this revision, in place of the last one.
    StartWatch {
        /// The last one taken.
        from: u64,
    },
    /// For the records.
    Record(MemberEvent),
}

/// What comes later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ScheduledEvent {
    EverySecond,
    InitialRequest,
    Arrival,
    DecisionTimer(u32),
    ConnectionSetUp { request: u64, attempt: u32, server: u32 },
    CompatibilityChecked { hash: ContentHash, compatible_from: Option<u64> },
    ContentReady { hash: ContentHash },
}

/// What a proxy's time goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CpuAccount {
    /// The fleet view or gossip.
    Peers,
    /// The accord.
    Consensus,
    /// What comes once a second.
    EverySecond,
    /// The module: set-ups and their ends.
    Setups,
}

impl CpuAccount {
    /// Its account.
    pub fn nanoseconds_in(self, counts: &mut Counts) -> &mut u64 {
        match self {
            CpuAccount::Peers => &mut counts.peers_ns,
            CpuAccount::Consensus => &mut counts.consensus_ns,
            CpuAccount::EverySecond => &mut counts.second_ns,
            CpuAccount::Setups => &mut counts.setups_ns,
        }
    }
}

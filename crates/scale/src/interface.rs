//! Inputs and outputs of a hollow proxy, the events that it schedules, and its accounts of processor time.

use crate::counters::Counts;
use crate::records::MemberEvent;
use crate::shape::Shape;
use cottonnotch_consensus::{ContentHash, DurableState};
use cottonnotch_proxy_core::{EndpointUpdate, Roster};
use std::net::SocketAddr;

/// What a hollow proxy starts from: its place in the fleet, and what is the same for all members.
#[derive(Clone, Debug)]
pub struct MemberSetup {
    /// Sizes of the fleet.
    pub shape: Shape,
    /// Ordinal of the member.
    pub ordinal: u32,
    /// Addresses of all members, by ordinal.
    pub roster: Roster,
    /// Incarnation of the process: Unix time in milliseconds at its start.
    pub incarnation: u64,
    /// Whether the whole fleet starts with it; otherwise it joins a running one.
    pub starts_with_fleet: bool,
    /// Durable state that a voter finds on disk; `None`: there is none.
    pub durable_state: Option<DurableState>,
}

/// An input of a hollow proxy.
#[derive(Clone, Debug)]
pub enum HollowInput<'a> {
    /// A datagram of the aggregation or of gossip was received.
    PeerDatagram {
        /// Address of the sender.
        from: SocketAddr,
        /// The datagram.
        bytes: &'a [u8],
    },
    /// A datagram of the consensus was received.
    ConsensusDatagram {
        /// The datagram.
        bytes: &'a [u8],
    },
    /// Discovery has sent an endpoint list.
    EndpointUpdate {
        /// The list.
        update: &'a EndpointUpdate,
        /// Length of its text.
        bytes: usize,
    },
    /// The watch on discovery is lost.
    WatchLost {
        /// Whether a heartbeat was overdue; otherwise the connection or the response has failed.
        silent: bool,
    },
    /// The operator proposes a content.
    Propose {
        /// Number of the content.
        content: u32,
        /// Kind of the content; contents of different kinds are incompatible.
        kind: u8,
    },
    /// [`crate::Hollow::next_timeout`] is due; one thing that is due is handled.
    Timeout,
}

/// An output of a hollow proxy, for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum HollowOutput {
    /// Send a datagram of the aggregation or of gossip.
    PeerDatagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Send a datagram of the consensus.
    ConsensusDatagram {
        /// Ordinal of the receiver.
        to: u16,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Start a watch on discovery in place of the last one.
    StartWatch {
        /// The last revision that was applied.
        from: u64,
    },
    /// Add to the run's record.
    Record(MemberEvent),
}

/// An event that a hollow proxy has scheduled for itself. Events of the same time and number do not exist, so the derived order
/// decides nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ScheduledEvent {
    /// The tick of every second.
    EverySecond,
    /// One of the initial connections is requested.
    InitialRequest,
    /// A client arrives.
    Arrival,
    /// A timer of the decision module, by its token.
    DecisionTimer(u32),
    /// An attempt has set up its connection.
    ConnectionSetUp { request: u64, attempt: u32, server: u32 },
    /// A content was checked; `None`: it is compatible with no version.
    CompatibilityChecked { hash: ContentHash, compatible_from: Option<u64> },
    /// A content was fetched.
    ContentReady { hash: ContentHash },
}

impl ScheduledEvent {
    /// The account that the processor time of this event goes to.
    pub fn cpu_account(&self) -> CpuAccount {
        match self {
            ScheduledEvent::EverySecond => CpuAccount::EverySecond,
            ScheduledEvent::InitialRequest
            | ScheduledEvent::Arrival
            | ScheduledEvent::DecisionTimer(_)
            | ScheduledEvent::ConnectionSetUp { .. } => CpuAccount::Setups,
            ScheduledEvent::CompatibilityChecked { .. } | ScheduledEvent::ContentReady { .. } => {
                CpuAccount::Consensus
            }
        }
    }
}

/// An account of a hollow proxy's processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CpuAccount {
    /// The aggregation or gossip.
    Peers,
    /// The consensus.
    Consensus,
    /// The tick of every second.
    EverySecond,
    /// The decision module: set-ups and their ends.
    Setups,
}

impl CpuAccount {
    /// The counter of this account.
    pub fn nanoseconds_in(self, counts: &mut Counts) -> &mut u64 {
        match self {
            CpuAccount::Peers => &mut counts.peers_ns,
            CpuAccount::Consensus => &mut counts.consensus_ns,
            CpuAccount::EverySecond => &mut counts.second_ns,
            CpuAccount::Setups => &mut counts.setups_ns,
        }
    }
}

//! The inputs, outputs and counters of a member.

use crate::groups::GroupLoad;
use crate::wire::{EndpointDigest, Entry, Totals};
use std::collections::{BTreeMap, VecDeque};

/// The connections and the load of this proxy at present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Sums over all endpoints.
    pub totals: Totals,
    /// One entry for each endpoint to which this proxy has connections, or of which it has health evidence.
    pub entries: Vec<Entry>,
}

/// An event that the caller passes to [`crate::Member::handle`].
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A datagram arrived.
    Datagram {
        /// The ordinal of the member that has the sender's address; `None` if no member has this address.
        from: Option<u32>,
        /// The content of the datagram.
        bytes: &'a [u8],
    },
    /// Replaces the load of this proxy.
    LocalLoad(LocalLoad),
    /// Replaces the capacities of the listed endpoints, in microseconds of work per second. An aggregator needs the capacities
    /// to compute utilizations, and every member sizes the subsets of its own groups by them.
    Capacities(BTreeMap<EndpointDigest, f64>),
    /// Replaces the load of each group at this proxy. Of use only where affinity subsets follow a group's load.
    GroupLoads(Vec<GroupLoad>),
    /// This proxy is draining: its load no longer counts.
    Leave,
    /// The time given by [`crate::Member::next_timeout`] has been reached.
    Tick,
}

/// An action for the caller to perform, or a change to take note of.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The caller is to send this datagram of at most 256 bytes.
    Send {
        /// The receiving member's ordinal.
        to: u32,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// [`crate::Member::snapshot`] was replaced by a newer one.
    Snapshot,
    /// The aggregator known to this member has changed; `None` if no candidate answers.
    Aggregator(Option<u32>),
    /// [`crate::Member::affinity_subsets`] have changed.
    AffinitySubsets,
}

/// Event counters since the member was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Received datagrams that were malformed, came from a sender that is no member, or answered no pending report.
    pub dropped: u64,
    /// Unanswered reports; each retry counts.
    pub unanswered: u64,
    /// Answers that arrived after their timeout.
    pub late: u64,
    /// Accepted datagrams with subset sizes.
    pub subset_size_datagrams_received: u64,
    /// Times that a group was left out because a limit was reached: in this proxy's report, in its answer as aggregator, or in
    /// the table of subset sizes in force.
    pub groups_truncated: u64,
}

/// The queue of outputs for [`crate::Member::poll`], and the counters.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) counts: Counts,
    queue: VecDeque<Output>,
}

impl Outbox {
    pub(crate) fn send(&mut self, to: u32, bytes: Vec<u8>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.queue.push_back(Output::Send { to, bytes });
    }

    pub(crate) fn push(&mut self, output: Output) {
        self.queue.push_back(output);
    }

    pub(crate) fn pop(&mut self) -> Option<Output> {
        self.queue.pop_front()
    }
}

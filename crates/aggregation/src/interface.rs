//! What a member is given and what it gives: inputs, outputs and counts.

use crate::groups::GroupLoad;
use crate::wire::{EndpointDigest, Entry, Totals};
use std::collections::{BTreeMap, VecDeque};

/// What this proxy has at present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Its sums.
    pub totals: Totals,
    /// Each endpoint where it has connections or evidence.
    pub entries: Vec<Entry>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A datagram arrived.
    Datagram {
        /// The ordinal of the member that has the sender's address; `None`: no member has it.
        from: Option<u32>,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// What this proxy has now, in place of what it had before.
    LocalLoad(LocalLoad),
    /// The listed endpoints' capacities, microseconds of work a second, for the time when this member is aggregator.
    Capacities(BTreeMap<EndpointDigest, f64>),
    /// What this proxy has of each group, in place of what it had before. Only where affinity subsets follow a group's load.
    GroupLoads(Vec<GroupLoad>),
    /// This proxy drains: what it had counts no more.
    Leave,
    /// [`crate::Member::next_timeout`] has come.
    Tick,
}

/// What is to be done, or to be known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram, 256 bytes at most.
    Send {
        /// The receiving member's ordinal.
        to: u32,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// There is a new [`crate::Member::snapshot`].
    Snapshot,
    /// Another member is aggregator, as far as this one knows; `None`: none answers.
    Aggregator(Option<u32>),
    /// [`crate::Member::affinity_subsets`] have changed.
    AffinitySubsets,
}

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were malformed, from no member, or answers to no report.
    pub dropped: u64,
    /// Reports that stayed without an answer, each retry counted.
    pub unanswered: u64,
    /// Answers that arrived after their time.
    pub late: u64,
    /// Datagrams with subset sizes that were accepted.
    pub subset_tables_received: u64,
    /// Times that a group found no room: in this proxy's report, in an answer of its own, or among those that it acts on.
    pub groups_cut: u64,
}

/// Outputs that wait for [`crate::Member::poll`], and the counts.
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

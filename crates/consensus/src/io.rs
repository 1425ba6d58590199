//! What goes into a member, and what comes out.

use crate::{ContentHash, DurableState, Message, Micros, ProposalOutcome, Topic};

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`crate::Member::next_timeout`] has come.
    Tick,
    /// A message came in; the embedder has made sure who sent it.
    Message {
        /// Who.
        from: u16,
        /// What.
        message: Message,
    },
    /// Put this in force. The content is here and compiled. ProposalResult by one [`Output::ProposalFinished`].
    Propose {
        /// Of what.
        topic: Topic,
        /// The content.
        hash: ContentHash,
        /// Bytes of it.
        size: u32,
    },
    /// Answer to [`Output::Check`].
    Checked {
        /// As asked.
        topic: Topic,
        /// As asked.
        hash: ContentHash,
        /// What came out.
        verdict: Verdict,
    },
    /// The content is here and compiled; also unasked, as for what is still on the disk.
    ContentReady {
        /// Which.
        hash: ContentHash,
    },
    /// The content is here, and this process can't run it. Stands until the process ends or says [`Input::ContentReady`].
    ContentUnsupported {
        /// Which.
        hash: ContentHash,
    },
    /// Discovery told of this revision of the list of members.
    ListReceived {
        /// Which.
        revision: u64,
    },
}

/// What the embedder of the leader says of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It agrees with all versions it was to be checked against from this number on.
    Compatible {
        /// The least such number.
        from: u64,
    },
    /// It contradicts the one in force.
    Incompatible,
    /// It is not to be put in force.
    Rejected,
}

/// What is to be done, or to be known; in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(clippy::large_enum_variant)] // Queued a few at a time; a box each would cost more than it saves.
pub enum Output {
    /// Send this; it may be lost.
    Send {
        /// To whom.
        to: u16,
        /// What.
        message: Message,
    },
    /// Make this durable before anything after it is carried out. If that fails, the process must end.
    Save(DurableState),
    /// May this be put in force? Answer with [`Input::Checked`].
    Check {
        /// Of what.
        topic: Topic,
        /// The content; it is here.
        hash: ContentHash,
        /// Versions somebody may act on, by number, least first; the last one is in force. Their content may not be here;
        /// what can't be had is to be taken for contradicting.
        against: Vec<(u64, ContentHash)>,
    },
    /// Get the content, compile it, answer with [`Input::ContentReady`] or [`Input::ContentUnsupported`]. Asked again while it is needed.
    Fetch {
        /// Of what.
        topic: Topic,
        /// The content.
        hash: ContentHash,
        /// Bytes of it.
        size: u32,
        /// Who has it, the likeliest first.
        from: Vec<u16>,
    },
    /// What this process may act on changed.
    LeaseChanged(Lease),
    /// A proposal of this process is over.
    ProposalFinished {
        /// Of what.
        topic: Topic,
        /// The content.
        hash: ContentHash,
        /// How it ended.
        outcome: ProposalOutcome,
    },
    /// Others were told of a newer list of members.
    ListOutdated {
        /// Its revision.
        revision: u64,
    },
}

/// What this process may act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Of what.
    pub topic: Topic,
    /// Number and content; `None`: nothing, the process is in doubt.
    pub version: Option<(u64, ContentHash)>,
    /// Own clock; acting at this time or after is forbidden.
    pub until: Micros,
}

//! A member's inputs and outputs.

use crate::message::Message;
use crate::state::{DurableState, ProposalOutcome, Topic};
use crate::{ContentHash, Micros};

/// An event that the embedder hands to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`crate::Member::next_timeout`] has passed.
    Tick,
    /// A message arrived. The embedder has authenticated its sender.
    Message {
        /// The sender's ordinal.
        from: u16,
        /// The message.
        message: Message,
    },
    /// Put this content in force. It is here and compiled, as after [`Input::ContentReady`]. Answered by one
    /// [`Output::ProposalFinished`].
    Propose {
        /// The topic.
        topic: Topic,
        /// The content's hash.
        hash: ContentHash,
        /// The content's size in bytes.
        size: u32,
    },
    /// Answer to [`Output::Check`].
    Checked {
        /// As in the request.
        topic: Topic,
        /// As in the request.
        hash: ContentHash,
        /// The embedder's answer.
        verdict: Verdict,
    },
    /// The content is here and compiled. Also unasked, as for contents that are on disk at the start.
    ContentReady {
        /// The content's hash.
        hash: ContentHash,
    },
    /// The content is here, and this process can't run it. Holds until the process ends or a [`Input::ContentReady`] follows.
    ContentUnsupported {
        /// The content's hash.
        hash: ContentHash,
    },
    /// Discovery sent a list of endpoints.
    ListReceived {
        /// The list's revision.
        revision: u64,
    },
}

/// The answer of the leader's embedder to a compatibility check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Compatible with all versions it was compared with, from this number on.
    Compatible {
        /// The least such number.
        from: u64,
    },
    /// Incompatible with the version in force.
    Incompatible,
    /// Not to be put in force.
    Rejected,
}

/// What the embedder must carry out, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(clippy::large_enum_variant)] // Queued a few at a time; a box each would cost more than it saves.
pub enum Output {
    /// Send this message. It may be lost.
    Send {
        /// The receiver's ordinal.
        to: u16,
        /// The message.
        message: Message,
    },
    /// Make this durable before any later output is carried out. If that fails, the process must end.
    Save(DurableState),
    /// Compare this content with these versions. Answer with [`Input::Checked`].
    Check {
        /// The topic.
        topic: Topic,
        /// The content's hash; the content is here.
        hash: ContentHash,
        /// Versions that some member may act on, in the order of their numbers; the last one is in force. Their contents may
        /// not be here; one that can't be had counts as incompatible.
        against: Vec<(u64, ContentHash)>,
    },
    /// Get the content, compile it, answer with [`Input::ContentReady`] or [`Input::ContentUnsupported`]. Requested again
    /// for as long as it is needed.
    Fetch {
        /// The topic.
        topic: Topic,
        /// The content's hash.
        hash: ContentHash,
        /// The content's size in bytes.
        size: u32,
        /// Members that may have it, the likeliest first.
        from: Vec<u16>,
    },
    /// The version that this process may act on changed, or its lease was extended.
    LeaseChanged(Lease),
    /// A proposal of this process is finished.
    ProposalFinished {
        /// The topic.
        topic: Topic,
        /// The content's hash.
        hash: ContentHash,
        /// How the proposal ended.
        outcome: ProposalOutcome,
    },
    /// Discovery sent a newer endpoint list to other members.
    ListOutdated {
        /// That list's revision.
        revision: u64,
    },
}

/// The version that this process may act on, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The topic.
    pub topic: Topic,
    /// Number and content; `None`: the process may act on nothing.
    pub version: Option<(u64, ContentHash)>,
    /// By the process's own clock: acting at this time or later is forbidden.
    pub until: Micros,
}

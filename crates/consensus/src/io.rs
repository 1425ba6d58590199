//! The inputs and outputs of a member.

use crate::message::Message;
use crate::state::{DurableState, ProposalOutcome, Topic};
use crate::{ContentHash, Micros};

/// An event that the embedder hands to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time that [`crate::Member::next_timeout`] returned has come.
    Tick,
    /// A message arrived. The embedder has authenticated the sender.
    Message {
        /// The ordinal of the sender.
        from: u16,
        /// The message.
        message: Message,
    },
    /// This process proposes to put a content in force. As with [`Input::ContentReady`], the content must be available
    /// locally and compiled. The member answers with one [`Output::ProposalFinished`].
    Propose {
        /// The topic.
        topic: Topic,
        /// The content's hash.
        hash: ContentHash,
        /// The content's size in bytes.
        size: u32,
    },
    /// The answer to [`Output::Check`].
    Checked {
        /// The topic of the request.
        topic: Topic,
        /// The content hash of the request.
        hash: ContentHash,
        /// The result of the compatibility check.
        verdict: Verdict,
    },
    /// The content is available locally and compiled. The embedder also sends this without a request, for example for
    /// contents that are on disk at the start.
    ContentReady {
        /// The content's hash.
        hash: ContentHash,
    },
    /// The content is available locally, but this process can't run it. This remains valid until the process ends or an
    /// [`Input::ContentReady`] for the same content follows.
    ContentUnsupported {
        /// The content's hash.
        hash: ContentHash,
    },
    /// Discovery sent an endpoint list.
    ListReceived {
        /// The revision of the list.
        revision: u64,
    },
}

/// The result of a compatibility check by the leader's embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The content is compatible with every compared version whose number is at least `from`.
    Compatible {
        /// The smallest number of a compatible version.
        from: u64,
    },
    /// The content is incompatible with the version in force.
    Incompatible,
    /// The content must not be put in force.
    Rejected,
}

/// An action that the embedder must carry out. Outputs must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
// Few outputs are queued at a time; boxing the large variants would cost more than it saves.
#[allow(clippy::large_enum_variant)]
pub enum Output {
    /// Send this message. The message may be lost.
    Send {
        /// The ordinal of the receiver.
        to: u16,
        /// The message.
        message: Message,
    },
    /// Make this state durable before carrying out any later output. If saving fails, the process must end.
    Save(DurableState),
    /// Check whether this content is compatible with these versions, and answer with [`Input::Checked`].
    Check {
        /// The topic.
        topic: Topic,
        /// The hash of the content, which is available locally.
        hash: ContentHash,
        /// The versions that some member may act on, in ascending order of their numbers. The last one is in force.
        /// Some of their contents may not be available locally; a version whose content can't be fetched counts as
        /// incompatible.
        against: Vec<(u64, ContentHash)>,
    },
    /// Fetch the content, compile it, and answer with [`Input::ContentReady`] or [`Input::ContentUnsupported`]. The
    /// member repeats this request for as long as it needs the content.
    Fetch {
        /// The topic.
        topic: Topic,
        /// The content's hash.
        hash: ContentHash,
        /// The content's size in bytes.
        size: u32,
        /// The members that may have the content, the most likely one first.
        from: Vec<u16>,
    },
    /// The version that this process may act on has changed, or its lease was extended.
    LeaseChanged(Lease),
    /// A proposal of this process has finished.
    ProposalFinished {
        /// The topic.
        topic: Topic,
        /// The content's hash.
        hash: ContentHash,
        /// How the proposal ended.
        outcome: ProposalOutcome,
    },
    /// Discovery has sent a newer endpoint list to other members than to this one.
    ListOutdated {
        /// The revision of the newer list.
        revision: u64,
    },
}

/// The version that this process may act on, and the time at which this permission ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The topic.
    pub topic: Topic,
    /// The number and the content hash of the version. `None` means that the process may not act on any version.
    pub version: Option<(u64, ContentHash)>,
    /// The end of the lease by the clock of this process. At this time or later, the process must not act on the
    /// version.
    pub until: Micros,
}

//! The inputs and outputs of a member.

use crate::{Entry, Incarnation, Keys, State, To};

/// An event that the embedder passes to [`crate::Gossip::handle`].
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A datagram arrived.
    Datagram {
        /// The ordinal of the member with the sender's address, or `None` if the address belongs to no member.
        from: Option<u32>,
        /// The bytes of the datagram.
        bytes: &'a [u8],
    },
    /// The complete list of this proxy's entries, which replaces the previous list and is sent in the next digests. The
    /// embedder provides it about once a period. [`crate::Directory`] maps names to digests.
    LocalState(Vec<Entry>),
    /// This proxy leaves the fleet (SIGTERM). The other members are sent a farewell at once; see [`crate::Gossip::has_left`].
    Leave,
    /// A reload changed the keys. They must be of the same strength; changing the strength requires a restart.
    Keys(Keys),
    /// A reload changed the configured number of members. Ordinals must keep their meaning; if the list has another order,
    /// create a new [`crate::Gossip`].
    Members(u32),
    /// The time of [`crate::Gossip::next_timeout`] is reached.
    Tick,
}

/// An action for the embedder to carry out, or a change for it to note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram, which has at most 256 bytes.
    Send {
        /// The receiver.
        to: To,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The state of a member changed, or a new process took the place of the member's old one.
    Member {
        /// The member's ordinal.
        ordinal: u32,
        /// The member's new state.
        state: State,
        /// The newest known incarnation of the member.
        incarnation: Incarnation,
    },
    /// A peer reported new entries. Each entry replaces the same peer's earlier entry for that endpoint; an empty entry removes
    /// it. [`crate::Gossip::digest_of`] returns all current entries. All entries of a member become void when it is dead, has
    /// left or has restarted.
    PeerReport {
        /// The ordinal of the peer.
        from: u32,
        /// The entries that are new.
        entries: Vec<Entry>,
    },
}

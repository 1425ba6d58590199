//! What a member is given and what it gives: inputs and outputs.

use crate::{Entry, Incarnation, Keys, State, To};

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
    /// All that this proxy has to report of its endpoints, in place of what it had before; about once a period. See
    /// [`crate::Directory`] for names. The next digests are of this.
    LocalState(Vec<Entry>),
    /// This proxy leaves (SIGTERM): the others are sent a farewell at once. See [`crate::Gossip::has_left`].
    Leave,
    /// Keys changed (reload). Of the same strength; another one takes a restart.
    Keys(Keys),
    /// How many members there are by configuration changed (reload). Ordinals keep their meaning; with a list in another
    /// order, begin anew.
    Members(u32),
    /// [`crate::Gossip::next_timeout`] has come.
    Tick,
}

/// What is to be done, or to be known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram; never more than 256 bytes.
    Send {
        /// To whom.
        to: To,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The state of a member has changed; also when a new process of it took the place of the old one.
    Member {
        /// Which one.
        ordinal: u32,
        /// Its state.
        state: State,
        /// Its incarnation, as known.
        incarnation: Incarnation,
    },
    /// A peer reported something new of its endpoints. Each entry takes the place of what the same peer reported of the same
    /// endpoint before; an empty one says that there is nothing any more. [`crate::Gossip::digest_of`] has all of them. When a
    /// member is dead, has left or restarted, all that it reported is void.
    PeerReport {
        /// Who.
        from: u32,
        /// What is new.
        entries: Vec<Entry>,
    },
}

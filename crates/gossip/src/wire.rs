//! Datagrams as bytes. By hand: a field has the size that its usual value needs, what a newer program adds is skipped by
//! length, and the bound of 256 bytes is checked while writing; a general codec gives the first of these three at most.
//!
//! A header, sections (kind, length, content), and what proves the sender (see [`crate::Keys`]). Numbers are LEB128 with
//! no byte more than needed unless a width is said; those are little-endian. `docs/design/gossip.md` has the tables.

mod read;
mod write;

pub use write::Draft;

use crate::{Entry, Incarnation, Strength};

/// The most bytes that a datagram may have: a longer one voids the run (`PROTOCOL-cottonnotch.md`, Between proxies).
pub const LONGEST: usize = 256;
/// The version of the protocol that is spoken here. A newer one is counted and ignored. What an old program can do
/// without comes as a new kind of section and needs no new version.
pub const VERSION: u8 = 1;

pub(crate) const STRENGTH_BITS: u8 = 0b11;
pub(crate) const TO_ALL_BIT: u8 = 0b100;

/// What a datagram begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// How its sender is proven.
    pub strength: Strength,
    /// Whether it was sent to all members.
    pub to_all: bool,
    /// The sender's ordinal.
    pub sender: u16,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Counts the sender's datagrams within a process, from 1.
    pub counter: u64,
}

/// What one member reports of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broadcast {
    /// Of whom.
    pub subject: u16,
    /// Of which incarnation: a report of an older one is void.
    pub incarnation: Incarnation,
    /// What it reports.
    pub state: ReportedState,
}

/// What can be reported of a member. "Dead" can't: no member's report is more than a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It is alive, and was heard to say so.
    Alive,
    /// The sender itself could not reach it, directly or through others. Members that only heard of it don't pass it on.
    Suspect,
    /// It announced that it leaves.
    Left,
}

/// A section of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Section {
    /// Asks for a [`Section::Ack`] of the same number.
    Ping {
        /// The sender's number.
        nonce: u16,
    },
    /// Answers a ping.
    Ack {
        /// That of the ping.
        nonce: u16,
    },
    /// Asks to ping another member, and for a [`Section::IndirectAck`] if it answers.
    IndirectPing {
        /// The sender's number.
        nonce: u16,
        /// Whom to ping.
        target: u16,
    },
    /// The target of an indirect ping has answered.
    IndirectAck {
        /// That of the indirect ping.
        nonce: u16,
    },
    /// The sender leaves.
    Leave,
    /// Reports of other members.
    Broadcasts(Vec<Broadcast>),
    /// Some of what the sender reports of its endpoints.
    Digest {
        /// How many entries it has in all: shows the receiver when it holds some that are no more.
        total: u32,
        /// The entries of this datagram.
        entries: Vec<Entry>,
    },
}

/// The kinds of sections on the wire.
pub(crate) mod kind {
    pub(crate) const PING: u8 = 1;
    pub(crate) const ACK: u8 = 2;
    pub(crate) const INDIRECT_PING: u8 = 3;
    pub(crate) const INDIRECT_ACK: u8 = 4;
    pub(crate) const LEAVE: u8 = 5;
    pub(crate) const BROADCASTS: u8 = 6;
    pub(crate) const DIGEST: u8 = 7;
}

/// Not a datagram of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed datagram")]
pub struct Malformed;

impl Header {
    /// Reads a header, and gives how many bytes it has. The version is the caller's to check first.
    pub fn read(bytes: &[u8]) -> Result<(Header, usize), Malformed> {
        read::header(bytes)
    }
}

/// Reads the sections: what follows the header, without the proof at the end.
pub fn read_sections(bytes: &[u8]) -> Result<Vec<Section>, Malformed> {
    read::sections(bytes)
}

#[cfg(test)]
mod tests;

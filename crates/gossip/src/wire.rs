//! The encoding of datagrams. The codec is hand-written because it must do three things: encode a field in the size that its
//! usual value needs, skip by length what a newer program adds, and check the limit of 256 bytes while writing. A general
//! codec provides at most the first.
//!
//! A datagram consists of a header, sections (kind, length, content), and the proof of its sender (see [`crate::Keys`]).
//! Numbers are minimal LEB128 unless a width is stated; numbers of a fixed width are little-endian.
//! `docs/design/gossip.md` has the tables.

mod read;
mod write;

pub use write::Draft;

use crate::{Entry, Incarnation, Strength};

/// Maximum bytes of a datagram. A longer one voids the run (`PROTOCOL-cottonnotch.md`, Between proxies).
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The protocol version of this program. Datagrams of a newer version are counted and dropped. An addition that older programs
/// can ignore is a new kind of section and needs no new version.
pub const VERSION: u8 = 1;

pub(crate) const STRENGTH_BITS: u8 = 0b11;
pub(crate) const TO_ALL_BIT: u8 = 0b100;

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// How the sender is authenticated.
    pub strength: Strength,
    /// Whether the datagram was sent to all members.
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
    /// The ordinal of the member that the report is about.
    pub subject: u16,
    /// The incarnation that the report is about. A report about an older incarnation than the known one is ignored.
    pub incarnation: Incarnation,
    /// The reported state.
    pub state: ReportedState,
}

/// The state that a report gives a member. There is no "dead", since another member's report is never more than a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The subject is alive in this incarnation, as its own datagrams showed.
    Alive,
    /// The sender itself could not reach the subject, directly or through others. Members don't forward suspicions of others.
    Suspect,
    /// The subject announced that it leaves.
    Left,
}

/// A section of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Section {
    /// Requests a [`Section::Ack`] with the same nonce.
    Ping {
        /// A number chosen by the sender.
        nonce: u16,
    },
    /// Answers a ping.
    Ack {
        /// The nonce of the ping.
        nonce: u16,
    },
    /// Requests a ping of another member, and a [`Section::IndirectAck`] if that member answers.
    IndirectPing {
        /// A number chosen by the sender.
        nonce: u16,
        /// The ordinal of the member to ping.
        target: u16,
    },
    /// The target of an indirect ping has answered.
    IndirectAck {
        /// The nonce of the indirect ping.
        nonce: u16,
    },
    /// The sender leaves the fleet.
    Leave,
    /// Reports about members.
    Broadcasts(Vec<Broadcast>),
    /// A part of the entries that the sender reports.
    Digest {
        /// Total number of the sender's entries. It shows the receiver when it holds entries that the sender has removed.
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

/// The error for bytes that are no datagram of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed datagram")]
pub struct Malformed;

impl Header {
    /// Reads a header and returns it with its length in bytes. The caller must check the version first.
    pub fn read(bytes: &[u8]) -> Result<(Header, usize), Malformed> {
        read::header(bytes)
    }
}

/// Reads the sections from the bytes between the header and the proof.
pub fn read_sections(bytes: &[u8]) -> Result<Vec<Section>, Malformed> {
    read::sections(bytes)
}

#[cfg(test)]
mod tests;

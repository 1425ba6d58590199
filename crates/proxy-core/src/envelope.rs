//! The envelope of consensus messages: a datagram that authenticates its sender, its receiver and its cluster. One that fails
//! to, or is of another format, is dropped unread.
//!
//! A datagram is the envelope in postcard's encoding, followed by a keyed BLAKE3 hash of it.

use cottonnotch_consensus::Message;
use serde::{Deserialize, Serialize};

/// The format of envelope and message. Another one is dropped: the bytes may mean something else.
const FORMAT: u16 = 1;
/// Context string of the key's derivation: keys of one use are not keys of another.
const KEY_CONTEXT: &str = "cottonnotch 2026 accord, shared key of datagrams, version 1";
/// Hexadecimal digits of a key file.
const KEY_DIGITS: usize = 64;
/// Bytes of the authentication tag at the end.
const TAG_BYTES: usize = 32;
/// No datagram is larger: it would be fragmented on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The key that the members of a cluster share, and this member's own identity.
#[derive(Clone)]
pub struct EnvelopeKey {
    key: [u8; 32],
    /// The first bytes of the cluster name's hash.
    cluster: u64,
    me: u16,
}

/// The authenticated part of a datagram. Fields are encoded in this order.
#[derive(Serialize, Deserialize)]
struct Envelope {
    format: u16,
    cluster: u64,
    from: u16,
    to: u16,
    message: Message,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// No key of the cluster made it, or it was changed on the way.
    #[error("it is not proven")]
    NotAuthentic,
    /// It can't be decoded, or is of another format.
    #[error("it is of another form")]
    UnknownFormat,
    /// It is for another member or cluster, or an echo of this member's own.
    #[error("it is for another member or cluster")]
    WrongReceiver,
    /// It would be larger than [`MAX_DATAGRAM_BYTES`].
    #[error("it is too large")]
    TooLarge,
}

impl std::fmt::Debug for EnvelopeKey {
    /// Never shows the key.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EnvelopeKey").field("me", &self.me).finish_non_exhaustive()
    }
}

impl EnvelopeKey {
    /// A key from the contents of its file; `None` if that is not 64 hexadecimal digits and nothing else.
    pub fn new(key_file: &[u8], cluster: &str, me: u16) -> Option<Self> {
        let digits = key_file.trim_ascii();
        if digits.len() != KEY_DIGITS || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let digest = blake3::hash(cluster.as_bytes());
        let cluster = digest.as_bytes().first_chunk().copied().unwrap_or_default();
        let key = blake3::derive_key(KEY_CONTEXT, &digits.to_ascii_lowercase());
        Some(EnvelopeKey { key, cluster: u64::from_le_bytes(cluster), me })
    }

    /// Seals a message to a member in a datagram.
    pub fn seal(&self, to: u16, message: Message) -> Result<Vec<u8>, EnvelopeError> {
        let envelope = Envelope { format: FORMAT, cluster: self.cluster, from: self.me, to, message };
        let mut bytes = postcard::to_allocvec(&envelope).map_err(|_| EnvelopeError::UnknownFormat)?;
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(tag.as_bytes());
        if bytes.len() > MAX_DATAGRAM_BYTES { Err(EnvelopeError::TooLarge) } else { Ok(bytes) }
    }

    /// Opens a datagram: its sender and message.
    pub fn open(&self, datagram: &[u8]) -> Result<(u16, Message), EnvelopeError> {
        let bytes = self.authenticate(datagram)?;
        let (format, _) =
            postcard::take_from_bytes::<u16>(bytes).map_err(|_| EnvelopeError::UnknownFormat)?;
        if format != FORMAT {
            return Err(EnvelopeError::UnknownFormat);
        }
        let envelope: Envelope = postcard::from_bytes(bytes).map_err(|_| EnvelopeError::UnknownFormat)?;
        if (envelope.cluster, envelope.to) != (self.cluster, self.me) || envelope.from == self.me {
            return Err(EnvelopeError::WrongReceiver);
        }
        if !envelope.message.bounded() {
            return Err(EnvelopeError::UnknownFormat);
        }
        Ok((envelope.from, envelope.message))
    }

    /// The bytes in front of the tag, if the tag is theirs.
    fn authenticate<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], EnvelopeError> {
        let (bytes, tag) = datagram.split_last_chunk::<TAG_BYTES>().ok_or(EnvelopeError::NotAuthentic)?;
        // Comparing two of these takes the same time wherever they differ.
        if blake3::keyed_hash(&self.key, bytes) != blake3::Hash::from_bytes(*tag) {
            return Err(EnvelopeError::NotAuthentic);
        }
        Ok(bytes)
    }
}

#[cfg(test)]
#[path = "envelope_tests.rs"]
mod tests;

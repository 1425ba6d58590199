//! The envelope of consensus messages, which authenticates the sender, the receiver and the cluster of a datagram. A datagram
//! that is not authentic or has another format is dropped without decoding its message.
//!
//! A datagram is the postcard encoding of the envelope, followed by a keyed BLAKE3 hash of that encoding.

use cottonnotch_consensus::Message;
use serde::{Deserialize, Serialize};

/// Format version of the envelope and its message. Datagrams of other versions are dropped, as their bytes may have another
/// meaning.
const FORMAT: u16 = 1;
/// Context string of the key derivation, which separates this key from keys derived for other purposes.
const KEY_CONTEXT: &str = "cottonnotch 2026 accord, shared key of datagrams, version 1";
/// Number of hexadecimal digits in a key file.
const KEY_DIGITS: usize = 64;
/// Length in bytes of the authentication tag at the end of a datagram.
const TAG_BYTES: usize = 32;
/// Maximum size of a datagram in bytes. A larger datagram could be fragmented on the network.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The key that the members of a cluster share, and this member's ordinal.
#[derive(Clone)]
pub struct EnvelopeKey {
    key: [u8; 32],
    /// The first eight bytes of the hash of the cluster's name.
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

/// The reason why a datagram is dropped or cannot be sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// The tag does not match: the datagram was made with another key, or was modified in transit.
    #[error("the datagram is not authentic")]
    NotAuthentic,
    /// The datagram cannot be decoded, has another format version, or its message exceeds the message limits.
    #[error("the datagram has an unknown or invalid format")]
    UnknownFormat,
    /// The datagram is for another member or cluster, or was sent by this member.
    #[error("the datagram is for another member or cluster")]
    WrongReceiver,
    /// The datagram would be larger than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram is too large")]
    TooLarge,
}

impl std::fmt::Debug for EnvelopeKey {
    /// Formats the value without the key.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EnvelopeKey").field("me", &self.me).finish_non_exhaustive()
    }
}

impl EnvelopeKey {
    /// Creates a key from the contents of a key file. `None` if the contents are anything but 64 hexadecimal digits and surrounding
    /// whitespace.
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

    /// Encodes and authenticates a message to the member `to` as a datagram.
    pub fn seal(&self, to: u16, message: Message) -> Result<Vec<u8>, EnvelopeError> {
        let envelope = Envelope { format: FORMAT, cluster: self.cluster, from: self.me, to, message };
        let mut bytes = postcard::to_allocvec(&envelope).map_err(|_| EnvelopeError::UnknownFormat)?;
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(tag.as_bytes());
        if bytes.len() > MAX_DATAGRAM_BYTES { Err(EnvelopeError::TooLarge) } else { Ok(bytes) }
    }

    /// Authenticates and decodes a datagram. Returns its sender and message.
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

    /// Verifies the tag and returns the bytes before it.
    fn authenticate<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], EnvelopeError> {
        let (bytes, tag) = datagram.split_last_chunk::<TAG_BYTES>().ok_or(EnvelopeError::NotAuthentic)?;
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(&self.key, bytes) != blake3::Hash::from_bytes(*tag) {
            return Err(EnvelopeError::NotAuthentic);
        }
        Ok(bytes)
    }
}

#[cfg(test)]
#[path = "envelope_tests.rs"]
mod tests;

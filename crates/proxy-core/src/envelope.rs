//! What goes over the wire: a message in an envelope that proves its sender, its receiver and its cluster. Whatever does
//! not prove them, or is of another form, is dropped unread.

use cottonnotch_consensus::Message;
use serde::{Deserialize, Serialize};

/// The form of envelope and message. Another one is dropped: the bytes may mean something else.
const FORM: u16 = 1;
/// Keys of one use are not keys of another.
const CONTEXT: &str = "cottonnotch 2026 accord, shared key of datagrams, version 1";
/// Bytes of the proof at the end.
const PROOF: usize = 32;
/// No datagram is larger: it would be cut in pieces on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// What the members of a cluster share.
#[derive(Clone)]
pub struct EnvelopeKey {
    key: [u8; 32],
    cluster: u64,
    me: u16,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    form: u16,
    cluster: u64,
    from: u16,
    to: u16,
    message: Message,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// No key of ours made it, or it was changed on the way.
    #[error("it is not proven")]
    Unproven,
    /// It can't be read, or is of another form.
    #[error("it is of another form")]
    Form,
    /// It is for somebody else.
    #[error("it is for another member or cluster")]
    Stray,
    /// It would be larger than a datagram may be.
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
    /// From the text of the key's file; `None` if it does not hold 64 hexadecimal digits and nothing else.
    pub fn new(key_file: &[u8], cluster: &str, me: u16) -> Option<Self> {
        let digits = key_file.trim_ascii();
        if digits.len() != 64 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let digest = blake3::hash(cluster.as_bytes());
        let first = digest.as_bytes().first_chunk().copied().unwrap_or_default();
        let key = blake3::derive_key(CONTEXT, &digits.to_ascii_lowercase());
        Some(EnvelopeKey { key, cluster: u64::from_le_bytes(first), me })
    }

    /// The datagram of a message.
    pub fn seal(&self, to: u16, message: Message) -> Result<Vec<u8>, EnvelopeError> {
        let envelope = Envelope { form: FORM, cluster: self.cluster, from: self.me, to, message };
        let mut bytes = postcard::to_allocvec(&envelope).map_err(|_| EnvelopeError::Form)?;
        let proof = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(proof.as_bytes());
        if bytes.len() > MAX_DATAGRAM_BYTES { Err(EnvelopeError::TooLarge) } else { Ok(bytes) }
    }

    /// Who sent a datagram, and what.
    pub fn open(&self, datagram: &[u8]) -> Result<(u16, Message), EnvelopeError> {
        let at = datagram.len().checked_sub(PROOF).ok_or(EnvelopeError::Unproven)?;
        let (bytes, proof) = datagram.split_at(at);
        let proof: [u8; PROOF] = proof.try_into().map_err(|_| EnvelopeError::Unproven)?;
        // Comparing two of these takes the same time wherever they differ.
        if blake3::keyed_hash(&self.key, bytes) != blake3::Hash::from_bytes(proof) {
            return Err(EnvelopeError::Unproven);
        }
        let (form, _) = postcard::take_from_bytes::<u16>(bytes).map_err(|_| EnvelopeError::Form)?;
        if form != FORM {
            return Err(EnvelopeError::Form);
        }
        let envelope: Envelope = postcard::from_bytes(bytes).map_err(|_| EnvelopeError::Form)?;
        if (envelope.cluster, envelope.to) != (self.cluster, self.me) || envelope.from == self.me {
            return Err(EnvelopeError::Stray);
        }
        if !envelope.message.bounded() {
            return Err(EnvelopeError::Form);
        }
        Ok((envelope.from, envelope.message))
    }
}

#[cfg(test)]
#[path = "envelope_tests.rs"]
mod tests;

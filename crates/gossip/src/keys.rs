//! Keys, and the proofs that authenticate the sender and the receiver of a datagram.

use crate::recipient::To;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes of a shared or signing key. Files hold two hexadecimal digits for each byte.
const KEY_BYTES: usize = 32;
/// Bytes of a tag. 128 bits are as strong as the key, because an attacker can try only few datagrams per second.
const TAG_BYTES: usize = 16;
/// Context of the key derivation. It makes the derived key different from keys that other uses derive from the same secret.
const CONTEXT: &str = "cottonnotch 2026 gossip, shared key of datagrams, version 1";
/// Stands for the receiver's ordinal in the proof of a datagram to all members; no member has this ordinal.
const ALL_RECEIVERS: u16 = u16::MAX;

/// How senders are authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Strength {
    /// By its address alone, where no keys are handed out: whoever can send from a peer's address can forge its datagrams.
    Address,
    /// By a tag under a key that all members share: a member that can send from another's address can forge its datagrams.
    Shared,
    /// By a signature: a faulty peer can send in its own name only.
    Signed,
}

impl Strength {
    /// Returns the number of bytes that the proof takes at the end of each datagram.
    pub const fn proof_bytes(self) -> usize {
        match self {
            Strength::Address => 0,
            Strength::Shared => TAG_BYTES,
            Strength::Signed => Signature::BYTE_SIZE,
        }
    }
}

/// The keys that authenticate senders. Two keys can be valid at a time, so that a key change causes no interruption: add the
/// new key as the second one on all proxies, swap the two, then remove the old one, with a reload for each step.
#[derive(Clone)]
pub enum Keys {
    /// No keys.
    Address,
    /// One or two shared keys. The first one signs, and all of them verify.
    Shared(Vec<SharedKey>),
    /// This proxy's secret key, and the public keys of all members.
    Signed {
        /// This proxy's secret key.
        own: Box<SigningKey>,
        /// One or two public keys for each member, by ordinal.
        public: Vec<Vec<VerifyingKey>>,
    },
}

/// A key for datagrams, derived from the operator's secret.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey([u8; KEY_BYTES]);

impl fmt::Debug for Keys {
    /// Formats the keys without showing a secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Keys::Address => f.write_str("Address"),
            Keys::Shared(keys) => write!(f, "Shared({} keys)", keys.len()),
            Keys::Signed { public, .. } => write!(f, "Signed({} members)", public.len()),
        }
    }
}

/// An error in the keys. It never contains text of the key files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeysError {
    /// The file with this number does not hold 64 hexadecimal digits.
    #[error(
        "gossip.key_files: file {0} does not hold 64 hexadecimal digits and nothing else (`openssl rand -hex 32` makes a key)"
    )]
    Secret(usize),
    /// The number of key files does not match the strength.
    #[error("gossip.key_files: strength '{strength}' needs {needs}")]
    Files {
        /// The configured strength.
        strength: &'static str,
        /// The files that the strength needs.
        needs: &'static str,
    },
    /// Both files hold the same key.
    #[error("gossip.key_files: both files hold the same key")]
    Same,
    /// The file of public keys is missing, or is present although the strength does not use it.
    #[error("gossip.public_keys: needed for strength 'signed', and only for it")]
    Public,
    /// The line with this number in the file of public keys is invalid.
    #[error(
        "gossip.public_keys: line {0} does not hold one or two public keys of 64 hexadecimal digits each"
    )]
    Line(usize),
    /// The file of public keys does not have one line per member.
    #[error(
        "gossip.public_keys: {lines} lines for {members} members: one line a member, in the order of the list of peers"
    )]
    Lines {
        /// Number of lines in the file.
        lines: usize,
        /// Number of members.
        members: usize,
    },
    /// This proxy's line, with this number, does not hold its public key, so other members would drop its datagrams.
    #[error("gossip.public_keys: line {0}, this proxy's, does not hold the public key of gossip.key_files")]
    NotMine(usize),
}

/// Parses a key of 64 hexadecimal digits.
fn parse_hex(text: &[u8]) -> Option<[u8; KEY_BYTES]> {
    let digit = |c: u8| char::from(c).to_digit(16).map(|digit| digit as u8);
    let mut key = [0; KEY_BYTES];
    let pairs = text.chunks_exact(2);
    if text.len() != 2 * KEY_BYTES {
        return None;
    }
    for (byte, pair) in key.iter_mut().zip(pairs) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(key)
}

impl Keys {
    /// Loads the keys from the contents of their files. `me` and `members` are as for [`crate::Gossip::new`].
    pub fn load(
        strength: Strength,
        key_files: &[Vec<u8>],
        public_keys: Option<&[u8]>,
        me: u32,
        members: u32,
    ) -> Result<Keys, KeysError> {
        if public_keys.is_some() != (strength == Strength::Signed) {
            return Err(KeysError::Public);
        }
        let wrong = |strength, needs| Err(KeysError::Files { strength, needs });
        let secrets = key_files
            .iter()
            .enumerate()
            .map(|(n, text)| parse_hex(text.trim_ascii()).ok_or(KeysError::Secret(n + 1)))
            .collect::<Result<Vec<_>, _>>()?;
        match (strength, secrets.as_slice(), public_keys) {
            (Strength::Address, [], _) => Ok(Keys::Address),
            (Strength::Address, ..) => wrong("address", "none"),
            (Strength::Shared, [one, two], _) if one == two => Err(KeysError::Same),
            (Strength::Shared, [_] | [_, _], _) => Ok(Keys::Shared(
                secrets.iter().map(|key| SharedKey(blake3::derive_key(CONTEXT, key))).collect(),
            )),
            (Strength::Shared, ..) => {
                wrong("shared", "one file, or two while keys change: the first is used")
            }
            (Strength::Signed, [secret], Some(public)) => {
                let own = Box::new(SigningKey::from_bytes(secret));
                let public = parse_public_keys(public)?;
                if public.len() != members as usize {
                    return Err(KeysError::Lines { lines: public.len(), members: members as usize });
                }
                if !public.get(me as usize).is_some_and(|mine| mine.contains(&own.verifying_key())) {
                    return Err(KeysError::NotMine(me as usize + 1));
                }
                Ok(Keys::Signed { own, public })
            }
            (Strength::Signed, ..) => wrong("signed", "one file: this proxy's own secret key"),
        }
    }

    /// Returns the public key of a secret key in the format of `gossip.public_keys`, or `None` if the file holds no key.
    pub fn public_of(key_file: &[u8]) -> Option<String> {
        let public = SigningKey::from_bytes(&parse_hex(key_file.trim_ascii())?).verifying_key();
        Some(public.as_bytes().iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Returns the strength of these keys.
    pub fn strength(&self) -> Strength {
        match self {
            Keys::Address => Strength::Address,
            Keys::Shared(_) => Strength::Shared,
            Keys::Signed { .. } => Strength::Signed,
        }
    }

    /// Appends the proof to a datagram. The proof also covers the receiver, which is not in the datagram, so that a datagram
    /// replayed to another member is not authentic.
    pub(crate) fn seal(&self, datagram: &mut Vec<u8>, to: To) {
        let to = match to {
            To::One(ordinal) => ordinal as u16,
            To::All => ALL_RECEIVERS,
        };
        match self {
            Keys::Address => {}
            Keys::Shared(keys) => {
                if let Some(key) = keys.first() {
                    let tag = tag(key, to, datagram);
                    datagram.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
                }
            }
            Keys::Signed { own, .. } => {
                let signature = own.sign(&for_receiver(to, datagram));
                datagram.extend_from_slice(&signature.to_bytes());
            }
        }
    }

    /// Returns whether the proof at the end of a datagram is that of this sender for this receiver, where `None` stands for all
    /// members.
    pub(crate) fn proves(&self, sender: u16, to: Option<u16>, datagram: &[u8]) -> bool {
        let to = to.unwrap_or(ALL_RECEIVERS);
        let Some(length) = datagram.len().checked_sub(self.strength().proof_bytes()) else { return false };
        let (written, proof) = datagram.split_at(length);
        match self {
            Keys::Address => true,
            Keys::Shared(keys) => keys.iter().any(|key| {
                let tag = tag(key, to, written);
                // The bytes beyond the tag are copied from the expected hash, so that the constant-time comparison of
                // `blake3::Hash` can be used.
                let mut shown = *tag.as_bytes();
                shown[..TAG_BYTES].copy_from_slice(proof);
                tag == blake3::Hash::from_bytes(shown)
            }),
            Keys::Signed { public, .. } => {
                let Ok(signature) = Signature::from_slice(proof) else { return false };
                let written = for_receiver(to, written);
                let keys = public.get(usize::from(sender)).map_or(&[][..], Vec::as_slice);
                keys.iter().any(|key| key.verify_strict(&written, &signature).is_ok())
            }
        }
    }
}

/// Parses the public keys of all members, one line per member.
fn parse_public_keys(text: &[u8]) -> Result<Vec<Vec<VerifyingKey>>, KeysError> {
    let mut members = Vec::new();
    for (n, line) in text.trim_ascii().split(|byte| *byte == b'\n').enumerate() {
        let keys = line
            .split(u8::is_ascii_whitespace)
            .filter(|word| !word.is_empty())
            .map(|word| VerifyingKey::from_bytes(&parse_hex(word)?).ok().filter(|key| !key.is_weak()));
        match keys.collect::<Option<Vec<_>>>() {
            Some(keys) if (1..=2).contains(&keys.len()) => members.push(keys),
            _ => return Err(KeysError::Line(n + 1)),
        }
    }
    Ok(members)
}

fn tag(key: &SharedKey, to: u16, written: &[u8]) -> blake3::Hash {
    blake3::keyed_hash(&key.0, &for_receiver(to, written))
}

/// Returns the bytes that a proof covers: the receiver, then the datagram.
fn for_receiver(to: u16, written: &[u8]) -> Vec<u8> {
    [&to.to_le_bytes(), written].concat()
}

#[cfg(test)]
#[path = "keys_tests.rs"]
mod tests;

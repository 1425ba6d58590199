//! The section `[gossip]` of the operator's file.

use crate::keys::Strength;
use crate::wire::LONGEST;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Milliseconds between two digests by default: the embedder's view changes about as fast.
const PERIOD_MS: u32 = 1_000;
/// Below, heartbeats come closer than datagrams may be apart on a slow path (38 ms, three times); above, no report is fresh.
const PERIOD_WITHIN: (u32, u32) = (100, 60_000);
/// Receivers of a digest each period by default: with five proxies, all others.
const FAN_OUT: u32 = 4;
const FAN_OUT_WITHIN: (u32, u32) = (1, 64);
/// Datagrams of one digest by default: one holds about 18 endpoints.
const DIGEST_DATAGRAMS: u32 = 1;
const DIGEST_DATAGRAMS_WITHIN: (u32, u32) = (1, 16);
/// Datagrams a second by default: four times what an idle fleet of hundreds of members needs, for the times when many start or
/// leave.
const DATAGRAMS_PER_S: u32 = 32;
const DATAGRAMS_WITHIN: (u32, u32) = (2, 10_000);
/// Bytes a second by default: all those datagrams full.
const BYTES_PER_S: u32 = DATAGRAMS_PER_S * LONGEST as u32;
const BYTES_WITHIN: (u32, u32) = (2 * LONGEST as u32, 10_000 * LONGEST as u32);
/// A signature takes 64 and a header up to 25: below, too little of a datagram is left.
const DATAGRAM_BYTES_WITHIN: (u32, u32) = (128, LONGEST as u32);
/// Milliseconds until an answer is late by default: there and back at 38 ms each, three times over.
const PROBE_TIMEOUT_MS: u32 = 250;
const PROBE_TIMEOUT_WITHIN: (u32, u32) = (10, 10_000);
/// Periods without a datagram until a member is probed by default: at 30% loss 1 of 37 such spans has lost three heartbeats in
/// a row, so pings stay rare.
const SILENT_PERIODS: u32 = 3;
const SILENT_WITHIN: (u32, u32) = (1, 100);
/// Periods that a suspicion lasts at least for up to ten members by default. For more it grows with the logarithm, as the time
/// does in which a refutation reaches all.
const SUSPICION_PERIODS: u32 = 3;
const SUSPICION_WITHIN: (u32, u32) = (1, 100);
/// A period is longer or shorter by up to this fraction of it, one in twenty, so that proxies don't act in step.
pub(crate) const JITTER: i64 = 20;
/// Eighths of the bandwidth limit that digests may need: the configuration leaves a quarter to answers and probes.
const MAX_DIGEST_EIGHTHS: u64 = 6;

/// The section as it is written. Off unless `strength` is set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSection {
    /// How senders prove themselves: `address`, `shared` or `signed`. Gossip is off without it.
    pub strength: Option<Strength>,
    /// Secret keys, each file 64 hexadecimal digits. For `shared` one, or two while keys change; for `signed` this proxy's.
    pub key_files: Vec<PathBuf>,
    /// For `signed`: the public keys, one line a member in the order of the list of peers, one or two keys in it.
    pub public_keys: Option<PathBuf>,
    /// Milliseconds between two digests.
    pub period_ms: u32,
    /// Members that get a digest each period; if there are no more, all do.
    pub fan_out: u32,
    /// Datagrams of one digest to one member each period at most.
    pub digest_datagrams: u32,
    /// Datagrams sent in any second at most, counted as delivered; as many are processed from each peer.
    pub datagrams_per_s: u32,
    /// Bytes sent in any second at most, counted as delivered.
    pub bytes_per_s: u32,
    /// Bytes of a datagram at most.
    pub datagram_bytes: u32,
    /// Milliseconds until an answer is late.
    pub probe_timeout_ms: u32,
    /// Periods without a datagram until a member is probed.
    pub silent_periods: u32,
    /// Periods that a suspicion lasts at least, for up to ten members.
    pub suspicion_periods: u32,
}

impl Default for GossipSection {
    fn default() -> Self {
        GossipSection {
            strength: None,
            key_files: Vec::new(),
            public_keys: None,
            period_ms: PERIOD_MS,
            fan_out: FAN_OUT,
            digest_datagrams: DIGEST_DATAGRAMS,
            datagrams_per_s: DATAGRAMS_PER_S,
            bytes_per_s: BYTES_PER_S,
            datagram_bytes: LONGEST as u32,
            probe_timeout_ms: PROBE_TIMEOUT_MS,
            silent_periods: SILENT_PERIODS,
            suspicion_periods: SUSPICION_PERIODS,
        }
    }
}

/// A checked section that is on. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How senders prove themselves; the keys must fit.
    pub strength: Strength,
    /// Between two digests.
    pub period: i64,
    /// Members that get a digest each period.
    pub fan_out: usize,
    /// Datagrams of one digest at most.
    pub digest_datagrams: u32,
    /// Datagrams sent in any second at most.
    pub datagrams_per_s: u32,
    /// Bytes sent in any second at most.
    pub bytes_per_s: u32,
    /// Bytes of a datagram at most.
    pub datagram_bytes: usize,
    /// Until an answer is late.
    pub probe_timeout: i64,
    /// Without a datagram until a member is probed.
    pub silence: i64,
    /// The least suspicion for up to ten members.
    pub suspicion: i64,
    /// The network copies one datagram to all others (`peers_all`). Not in the file: the embedder knows.
    pub multicast: bool,
}

/// What is wrong with the section; the message names the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GossipSectionError {
    /// Out of bounds.
    #[error("gossip.{key} is not within {least} to {most}: '{value}'")]
    OutOfBounds {
        /// The key.
        key: &'static str,
        /// The least allowed.
        least: u32,
        /// The most allowed.
        most: u32,
        /// What was given.
        value: u32,
    },
    /// Digests alone would use up the bandwidth.
    #[error(
        "gossip.{key} is too low: digests alone (fan_out times digest_datagrams each period_ms) may need {needed}, and get \
         three quarters of it; raise it or lower one of those"
    )]
    BandwidthTooLow {
        /// The key.
        key: &'static str,
        /// What digests need a second.
        needed: u64,
    },
    /// Files of keys that don't go with the strength.
    #[error("gossip.{key}: {why}")]
    KeyFiles {
        /// The key.
        key: &'static str,
        /// What does not go.
        why: &'static str,
    },
}

/// In any second: periods are up to a twentieth shorter, and one more may begin within it.
fn digests_per_s(fan_out: u32, datagrams_per_digest: u32, period: i64) -> u64 {
    let shortest = period - period / JITTER;
    u64::from(fan_out) * u64::from(datagrams_per_digest) * (1_000_000 / shortest + 1) as u64
}

impl Settings {
    /// Datagrams that digests may need in a second.
    pub(crate) fn digests_per_s(&self) -> u64 {
        digests_per_s(self.fan_out as u32, self.digest_datagrams, self.period)
    }
}

impl GossipSection {
    /// The section but for the files of keys, which may change while it is in use.
    pub fn without_files(&self) -> GossipSection {
        GossipSection { key_files: Vec::new(), public_keys: None, ..self.clone() }
    }

    /// The settings, if the section is sound; `None` if it is off. Bounds are checked even then.
    pub fn check(&self) -> Result<Option<Settings>, GossipSectionError> {
        let within = |key, value: u32, (least, most): (u32, u32)| match value {
            _ if (least..=most).contains(&value) => Ok(value),
            _ => Err(GossipSectionError::OutOfBounds { key, least, most, value }),
        };
        let micros = |ms: u32| i64::from(ms) * 1_000;
        let period = within("period_ms", self.period_ms, PERIOD_WITHIN)?;
        let fan_out = within("fan_out", self.fan_out, FAN_OUT_WITHIN)?;
        let datagrams_per_digest =
            within("digest_datagrams", self.digest_datagrams, DIGEST_DATAGRAMS_WITHIN)?;
        let datagrams = within("datagrams_per_s", self.datagrams_per_s, DATAGRAMS_WITHIN)?;
        let bytes = within("bytes_per_s", self.bytes_per_s, BYTES_WITHIN)?;
        let longest = within("datagram_bytes", self.datagram_bytes, DATAGRAM_BYTES_WITHIN)?;
        let probe = within("probe_timeout_ms", self.probe_timeout_ms, PROBE_TIMEOUT_WITHIN)?;
        let silent = within("silent_periods", self.silent_periods, SILENT_WITHIN)?;
        let suspicion = within("suspicion_periods", self.suspicion_periods, SUSPICION_WITHIN)?;
        let needed = digests_per_s(fan_out, datagrams_per_digest, micros(period));
        for (key, limit, needed) in
            [("datagrams_per_s", datagrams, needed), ("bytes_per_s", bytes, needed * u64::from(longest))]
        {
            if needed * 8 > u64::from(limit) * MAX_DIGEST_EIGHTHS {
                return Err(GossipSectionError::BandwidthTooLow { key, needed });
            }
        }
        self.check_files()?;
        Ok(self.strength.map(|strength| Settings {
            strength,
            period: micros(period),
            fan_out: fan_out as usize,
            digest_datagrams: datagrams_per_digest,
            datagrams_per_s: datagrams,
            bytes_per_s: bytes,
            datagram_bytes: longest as usize,
            probe_timeout: micros(probe),
            silence: micros(period) * i64::from(silent),
            suspicion: micros(period) * i64::from(suspicion),
            multicast: false,
        }))
    }

    fn check_files(&self) -> Result<(), GossipSectionError> {
        let wrong = |key, why| Err(GossipSectionError::KeyFiles { key, why });
        match (self.strength, self.key_files.len(), &self.public_keys) {
            (None | Some(Strength::Address), 1.., _) => {
                wrong("key_files", "unused without strength 'shared' or 'signed'")
            }
            (Some(Strength::Shared), 1..=2, None) | (Some(Strength::Signed), 1, Some(_)) => Ok(()),
            (Some(Strength::Shared), 0 | 3.., _) => {
                wrong("key_files", "strength 'shared' needs one file, or two")
            }
            (Some(Strength::Signed), 0 | 2.., _) => wrong("key_files", "strength 'signed' needs one file"),
            (Some(Strength::Signed), _, None) => wrong("public_keys", "strength 'signed' needs it"),
            (_, _, Some(_)) => wrong("public_keys", "unused without strength 'signed'"),
            (None | Some(Strength::Address), 0, None) => Ok(()),
        }
    }
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;

//! The `[gossip]` section of the operator's configuration file.

use crate::keys::Strength;
use crate::wire::MAX_DATAGRAM_BYTES;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Default milliseconds between two digests: the embedder's view of its endpoints changes about once a second.
const PERIOD_MS: u32 = 1_000;
/// Below the minimum, heartbeats are sent closer together than datagrams may arrive apart on a slow path (three times
/// 38 ms). Above the maximum, no report is fresh.
const PERIOD_WITHIN: (u32, u32) = (100, 60_000);
/// Default number of receivers of a digest in each period: with five proxies, all others.
const FAN_OUT: u32 = 4;
const FAN_OUT_WITHIN: (u32, u32) = (1, 64);
/// Default number of datagrams in one digest; a datagram holds about 18 endpoints.
const DIGEST_DATAGRAMS: u32 = 1;
const DIGEST_DATAGRAMS_WITHIN: (u32, u32) = (1, 16);
/// Default limit on datagrams per second: four times what a member of an idle fleet of hundreds needs, so that there is
/// enough when many members start or leave at once.
const DATAGRAMS_PER_S: u32 = 32;
const DATAGRAMS_WITHIN: (u32, u32) = (2, 10_000);
/// Default limit on bytes per second: enough for [`DATAGRAMS_PER_S`] datagrams of the greatest length.
const BYTES_PER_S: u32 = DATAGRAMS_PER_S * MAX_DATAGRAM_BYTES as u32;
const BYTES_WITHIN: (u32, u32) = (2 * MAX_DATAGRAM_BYTES as u32, 10_000 * MAX_DATAGRAM_BYTES as u32);
/// A signature takes 64 bytes and a header up to 25, so a datagram below the minimum has too little space for content.
const DATAGRAM_BYTES_WITHIN: (u32, u32) = (128, MAX_DATAGRAM_BYTES as u32);
/// Default milliseconds until an answer is late: three round trips at 38 ms each way.
const PROBE_TIMEOUT_MS: u32 = 250;
const PROBE_TIMEOUT_WITHIN: (u32, u32) = (10, 10_000);
/// Default number of periods without a datagram after which a member is probed. At 30% loss, three heartbeats in a row are
/// lost in 1 of 37 cases, so pings stay rare.
const SILENT_PERIODS: u32 = 3;
const SILENT_WITHIN: (u32, u32) = (1, 100);
/// Default minimum duration of a suspicion, in periods, with up to ten members. With more members it grows with their
/// logarithm, as does the time that a refutation takes to reach all of them.
const SUSPICION_PERIODS: u32 = 3;
const SUSPICION_WITHIN: (u32, u32) = (1, 100);
/// Divisor of the period: each period is longer or shorter by up to 1/20, so that proxies don't synchronize.
pub(crate) const JITTER: i64 = 20;
/// Eighths of the bandwidth limit that digests may use. A quarter of the limit stays for answers and probes.
const MAX_DIGEST_EIGHTHS: u64 = 6;

/// The section as written in the file. Gossip is off unless `strength` is set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSection {
    /// How senders are authenticated: `address`, `shared` or `signed`. Gossip is off if this is not set.
    pub strength: Option<Strength>,
    /// Files of secret keys, each with 64 hexadecimal digits: for `shared` one file, or two during a key change; for `signed`
    /// the file of this proxy's key.
    pub key_files: Vec<PathBuf>,
    /// For `signed`: the file of public keys, with one line per member in the order of the list of peers. A line holds one or
    /// two keys.
    pub public_keys: Option<PathBuf>,
    /// Milliseconds from one digest to the next.
    pub period_ms: u32,
    /// Number of members that receive a digest in each period; all of them if there are no more than this.
    pub fan_out: u32,
    /// Maximum datagrams of one digest to one member in each period.
    pub digest_datagrams: u32,
    /// Maximum datagrams sent in any second, where a multicast counts once per receiver. The same number is processed from
    /// each peer.
    pub datagrams_per_s: u32,
    /// Maximum bytes sent in any second, where a multicast counts once per receiver.
    pub bytes_per_s: u32,
    /// Maximum bytes of a datagram.
    pub datagram_bytes: u32,
    /// Milliseconds until an answer is late.
    pub probe_timeout_ms: u32,
    /// Periods without a datagram after which a member is probed.
    pub silent_periods: u32,
    /// Minimum duration of a suspicion, in periods, with up to ten members.
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
            datagram_bytes: MAX_DATAGRAM_BYTES as u32,
            probe_timeout_ms: PROBE_TIMEOUT_MS,
            silent_periods: SILENT_PERIODS,
            suspicion_periods: SUSPICION_PERIODS,
        }
    }
}

/// The validated settings of a section that turns gossip on. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How senders are authenticated; the keys must be of this strength.
    pub strength: Strength,
    /// Time from one digest to the next.
    pub period: i64,
    /// Number of members that receive a digest in each period.
    pub fan_out: usize,
    /// Maximum datagrams of one digest.
    pub digest_datagrams: u32,
    /// Maximum datagrams sent in any second.
    pub datagrams_per_s: u32,
    /// Maximum bytes sent in any second.
    pub bytes_per_s: u32,
    /// Maximum bytes of a datagram.
    pub datagram_bytes: usize,
    /// Time until an answer is late.
    pub probe_timeout: i64,
    /// Time without a datagram after which a member is probed.
    pub silence: i64,
    /// Minimum duration of a suspicion with up to ten members.
    pub suspicion: i64,
    /// Whether the network copies one datagram to all other members (`peers_all`). The embedder sets this; it is not in the
    /// file.
    pub multicast: bool,
}

/// An error in the section. Its message names the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GossipSectionError {
    /// A value is out of bounds.
    #[error("gossip.{key} is not within {least} to {most}: '{value}'")]
    OutOfBounds {
        /// The key.
        key: &'static str,
        /// The lowest allowed value.
        least: u32,
        /// The highest allowed value.
        most: u32,
        /// The configured value.
        value: u32,
    },
    /// Digests would use more than their share of the bandwidth limit.
    #[error(
        "gossip.{key} is too low: digests alone (fan_out times digest_datagrams each period_ms) may need {needed}, and get \
         three quarters of it; raise it or lower one of those"
    )]
    BandwidthTooLow {
        /// The key.
        key: &'static str,
        /// Datagrams or bytes that digests need per second.
        needed: u64,
    },
    /// The configured key files don't match the strength.
    #[error("gossip.{key}: {why}")]
    KeyFiles {
        /// The key.
        key: &'static str,
        /// Why they don't match.
        why: &'static str,
    },
}

/// Maximum datagrams of digests in any second. Jitter shortens a period by up to 1/20, and one more period may begin within
/// the second.
fn digests_per_s(fan_out: u32, datagrams_per_digest: u32, period: i64) -> u64 {
    let shortest = period - period / JITTER;
    u64::from(fan_out) * u64::from(datagrams_per_digest) * (1_000_000 / shortest + 1) as u64
}

impl Settings {
    /// Maximum datagrams of digests in any second.
    pub(crate) fn digests_per_s(&self) -> u64 {
        digests_per_s(self.fan_out as u32, self.digest_datagrams, self.period)
    }
}

impl GossipSection {
    /// Copies the section without the key files, the only settings that may change in a running process.
    pub fn without_files(&self) -> GossipSection {
        GossipSection { key_files: Vec::new(), public_keys: None, ..self.clone() }
    }

    /// Validates the section. Returns `None` if gossip is off; bounds are checked even then.
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

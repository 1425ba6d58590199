//! What events say of the process itself and of the other proxies.

use crate::names::Reason;
use serde::{Deserialize, Serialize};

/// What came of reading the configuration again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Reload {
    /// The new one counts.
    #[serde(rename = "taken")]
    Applied,
    /// The new one is faulty, the old one goes on whole.
    #[serde(rename = "kept")]
    Rejected {
        /// The fault.
        #[serde(rename = "why")]
        reason: Reason,
    },
}

/// What a proxy is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// It lives.
    Alive,
    /// It may be gone; counts as alive.
    Suspect,
    /// It does not answer, directly or through others.
    Dead,
    /// It said that it leaves.
    Left,
}

//! What events say of the process itself and of the other proxies.

use crate::names::Reason;
use serde::{Deserialize, Serialize};

/// The result of reading the configuration again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Reload {
    /// The new one is in force.
    #[serde(rename = "taken")]
    Applied,
    /// The new one is faulty; the old one stays in force whole.
    #[serde(rename = "kept")]
    Rejected {
        /// The fault.
        #[serde(rename = "why")]
        reason: Reason,
    },
}

/// The believed state of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// It is alive.
    Alive,
    /// It may be dead; counts as alive.
    Suspect,
    /// It does not answer, directly or through others.
    Dead,
    /// It announced that it leaves.
    Left,
}

//! What events say of endpoints.

use crate::names::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An endpoint's entry in discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// The endpoint's name.
    #[serde(rename = "subchannel")]
    pub endpoint: Name,
    /// Its phase.
    pub phase: Phase,
    /// Where it is, if that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
}

/// An endpoint's phase on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes new connections.
    Up,
    /// Completes the requests that it has.
    Draining,
    /// No longer there.
    #[serde(rename = "gone")]
    Removed,
}

/// An endpoint's state as the proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EndpointState {
    /// It may be used.
    Up,
    /// It failed repeatedly and is not used for a while (PIP-385).
    Paused {
        /// Until then, Unix time in microseconds.
        until_us: u64,
    },
    /// After a pause, one attempt tries it (half-open).
    Trial,
    /// It gets nothing new.
    Draining,
    /// It is not there.
    #[serde(rename = "gone")]
    Removed,
}

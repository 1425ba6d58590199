//! What events say of endpoints.

use crate::names::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the list says of a subchannel.
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

/// A subchannel's phase on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes new connections.
    Up,
    /// Completes what it holds.
    Draining,
    /// No longer there.
    #[serde(rename = "gone")]
    Removed,
}

/// What the proxy believes of a subchannel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EndpointState {
    /// It may be used.
    Up,
    /// It kept failing and is left alone for a while.
    Paused {
        /// Until then, Unix time in microseconds.
        until_us: u64,
    },
    /// After a pause, one attempt tries it.
    Trial,
    /// It gets nothing new.
    Draining,
    /// It is not there.
    #[serde(rename = "gone")]
    Removed,
}

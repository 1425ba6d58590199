//! What events say of requests, attempts and connections.

use crate::names::{Name, Reason};
use serde::{Deserialize, Serialize};

/// How an attempt, or the connection that came of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Served to its end.
    Served,
    /// The render node answered with an error.
    Error,
    /// The unavailable status; never ran.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn by the proxy or the render node, or the client left.
    Cancelled,
    /// Not sent at all; never ran.
    NotSent,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// Served.
    Up,
    /// The unavailable status: it never ran, and a retry is harmless.
    #[serde(rename = "refused")]
    Rejected {
        /// The client may retry after this; 0: nothing was said.
        retry_after_ms: u32,
        /// The rules that were applied last, where there are rules.
        #[serde(rename = "ruled", default, skip_serializing_if = "Option::is_none")]
        applied_rules: Option<Box<AppliedRules>>,
    },
    /// Any other answer.
    Failed {
        /// The error text that the client got.
        #[serde(rename = "why")]
        reason: Reason,
    },
}

/// The routing rules that were applied to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRules {
    /// The rules' version; left out where none was known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The requirements that applied to it, as `namespace:name`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Name>,
    /// It was uncertain whether the version is in force. A rejection was for that, unless the rules stay in force then.
    #[serde(rename = "in_doubt")]
    pub version_uncertain: bool,
}

/// Reason a client was moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The decision module asked for it.
    #[serde(rename = "asked")]
    PolicyRequest,
    /// The render node drains.
    Draining,
    /// The render node returned nothing any more.
    #[serde(rename = "silent")]
    Unresponsive,
    /// The proxy itself shuts down.
    #[serde(rename = "leaving")]
    ProxyShutdown,
}

//! The schema: what a line says. Units are in the names: `_us` microseconds, `_ms` milliseconds.
//!
//! Names are shared (`Arc<str>`), since the same few are in nearly every record: the loop pays one addition for a
//! copy. Reasons are fixed texts of the proxy's (`Cow::Borrowed`) and cost nothing.

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The version of the schema, in `v` on each line. Raised when something known changes its meaning; a new field or
/// event does not raise it.
pub const SCHEMA: u32 = 1;

/// Bytes of a line, its end included. Room for a list of some 2,500 subchannels; a reader need not hold more. What
/// would be longer is not written, and counted as dropped.
pub const LONGEST_LINE: usize = 256 * 1024;

/// A name that many records share.
pub type Name = Arc<str>;
/// A reason in words, usually a fixed text.
pub type Reason = Cow<'static, str>;

/// One line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The schema's version, [`SCHEMA`] when written.
    pub v: u32,
    /// Counts what was produced since the start, from 0 and without a gap: one in the file shows a loss.
    pub seq: u64,
    /// Unix time in microseconds. May step when the system's clock is set.
    pub wall_us: u64,
    /// Microseconds since the recorder was opened. Never goes back within an incarnation.
    pub mono_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

impl Record {
    /// Appends the record as a line with its end. On an error (none is known) the buffer is as it was.
    pub fn write_line(&self, buffer: &mut Vec<u8>) -> Result<(), simd_json::Error> {
        let begin = buffer.len();
        let written = simd_json::to_writer(&mut *buffer, self);
        match written {
            Ok(()) => buffer.push(b'\n'),
            Err(_) => buffer.truncate(begin),
        }
        written
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The proxy has started; always `seq` 0.
    Start {
        /// The proxy's name, the same after a restart.
        name: Name,
        /// Tells this run of the process from any other under its name.
        incarnation: u64,
        /// Its process.
        pid: u32,
        /// The program's version.
        version: Reason,
    },
    /// The resolver's list, or a change of it, was taken.
    List {
        /// The list's version.
        revision: u64,
        /// All of the list: subchannels that it does not name are gone.
        complete: bool,
        /// The subchannels of which it tells.
        changes: Vec<EndpointChange>,
    },
    /// The proxy's own view of an endpoint has changed.
    #[serde(rename = "subchannel")]
    Endpoint {
        /// The endpoint's name on discovery's list.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// The state from now on.
        #[serde(flatten)]
        state: EndpointState,
    },
    /// A request was taken: one final answer is owed.
    Request {
        /// The proxy's own number of it, never given twice in an incarnation.
        request: u64,
        /// The id that the client gave.
        wire_id: Hex,
        /// Its class.
        class: Name,
        /// Its tenant, if one was told.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<Name>,
        /// How long the client waits, if that was told.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        deadline_ms: Option<u32>,
        /// The group that it shares work with, if one was told.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        group: Option<Hex>,
        /// The client came again, or marked a repeat.
        #[serde(rename = "again")]
        is_retry: bool,
    },
    /// A call attempt began.
    Attempt {
        /// Whose.
        request: u64,
        /// From 0, in the order sent.
        attempt: u32,
        /// The endpoint that it goes to.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// It ends as timed out after this; 0: when the client gives up.
        timeout_ms: u32,
        /// By which rules it may go there, where there are rules.
        #[serde(rename = "ruled", default, skip_serializing_if = "Option::is_none")]
        applied_rules: Option<Box<AppliedRules>>,
    },
    /// A call attempt ended without `UP`.
    AttemptEnded {
        /// Whose.
        request: u64,
        /// Which.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// Since it began.
        took_us: u64,
    },
    /// A call attempt brought `UP`: the connection stands.
    Up {
        /// Whose.
        request: u64,
        /// Which.
        attempt: u32,
        /// The endpoint that it goes to.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// Since the attempt began.
        took_us: u64,
    },
    /// The final answer was given.
    Answer {
        /// Whose.
        request: u64,
        /// Which.
        #[serde(flatten)]
        answer: Answer,
    },
    /// A client was rejected before it had a request.
    #[serde(rename = "turned_away")]
    ClientRejected {
        /// What was wrong.
        #[serde(rename = "why")]
        reason: Reason,
    },
    /// A client was sent `MOVE`.
    Moved {
        /// Whose connection.
        request: u64,
        /// The endpoint that served it.
        #[serde(rename = "subchannel")]
        endpoint: Name,
        /// The reason.
        #[serde(rename = "why")]
        reason: MoveReason,
    },
    /// A connection that was up is over.
    Ended {
        /// Whose.
        request: u64,
        /// How.
        outcome: Outcome,
    },
    /// The client left before its final answer.
    ClientLeft {
        /// Whose.
        request: u64,
    },
    /// The configuration was read again.
    Reload {
        /// With what result.
        #[serde(flatten)]
        reload: Reload,
    },
    /// What is believed of another proxy has changed.
    Peer {
        /// Its number in the list of peers.
        peer: u32,
        /// What is believed.
        state: PeerState,
        /// Tells this run of its process from any other, as it says; 0: not heard yet.
        incarnation: u64,
    },
    /// A shutdown began.
    Shutdown {},
    /// The last record of an incarnation that ended in order; written by [`Recorder::close`](crate::Recorder::close).
    Stop {},
    /// Written by the writer alone, in place of records that were lost to a full queue or a failed write. Its `seq`
    /// is the last lost one's: it stands for `since_seq` up to `seq`.
    Dropped {
        /// How many were lost.
        count: u64,
        /// The first of them.
        since_seq: u64,
    },
}

impl Event {
    /// Every event's name, as lines have it.
    pub const NAMES: [&str; 17] = [
        "start",
        "list",
        "subchannel",
        "request",
        "attempt",
        "attempt_ended",
        "up",
        "answer",
        "turned_away",
        "moved",
        "ended",
        "client_left",
        "reload",
        "peer",
        "shutdown",
        "stop",
        "dropped",
    ];
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
        /// The client may come again after this; 0: nothing was said.
        retry_after_ms: u32,
        /// By which rules it was looked at last, where there are rules.
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

/// What a request was ruled by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRules {
    /// The rules' version; left out where none was known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The rules that had to hold for it, as `namespace:name`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Name>,
    /// It was in doubt whether the version is in force. A refusal was for that, unless the rules go on in doubt.
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

/// A number of 64 bits as 16 hexadecimal digits: many readers of JSON keep only 53 bits of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Hex(pub u64);

impl fmt::Display for Hex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for Hex {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // By hand: through `Display` it would be put together in a string of its own first.
        let mut digits = [0; 16];
        for (i, digit) in digits.iter_mut().enumerate() {
            *digit = b"0123456789abcdef"[(self.0 >> (60 - 4 * i)) as usize & 15];
        }
        serializer.serialize_str(std::str::from_utf8(&digits).map_err(serde::ser::Error::custom)?)
    }
}

impl<'de> Deserialize<'de> for Hex {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Digits;
        impl Visitor<'_> for Digits {
            type Value = Hex;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("1 to 16 hexadecimal digits")
            }
            fn visit_str<E: de::Error>(self, text: &str) -> Result<Hex, E> {
                let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
                let number = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
                number.map(Hex).ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        deserializer.deserialize_str(Digits)
    }
}

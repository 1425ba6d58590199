//! The limits that a run is judged by, and the figures that it must reach.

use crate::time::Micros;

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this long after the client's time is up.
    pub answer_slack: Micros,
    /// A proxy stops sending new requests to a draining or removed render node within this time of its notification.
    pub stop_within: Micros,
    /// A proxy without a watch is presumed notified after this (four times this after a failed poll).
    pub ask_within: Micros,
    /// While discovery is reachable, a change is presumed known after this, whether it was delivered or not.
    pub told_within: Micros,
    /// A render node in slow start takes this multiple of its capacity at that moment ...
    pub fall_multiple: f64,
    /// ... within any window of this length.
    pub fall_window: Micros,
    /// Slow start as advertised to proxies: a render node starts at this share of its capacity or more ...
    pub cold_from: f64,
    /// ... and is warm within this.
    pub warm_up: Micros,
    /// The longest delay of a line in a proxy.
    pub line_held: Micros,
    /// A connection that its render node has ended is ended or moved within this.
    pub ended_within: Micros,
    /// One that returns nothing from a running render node, within this.
    pub silent_within: Micros,
    /// Most attempts for a request.
    pub attempts: u32,
    /// A call attempt that is not connected by then could not connect.
    pub connect_timeout: Micros,
    /// The longest wait that a `BUSY` may ask for.
    pub retry_after_max: Micros,
    /// On the sockets each time limit is this much longer.
    pub grace: Micros,
    /// Time from SIGTERM to SIGKILL of a proxy.
    pub term_to_kill: Micros,
}

/// What the run must reach, beside keeping every rule. Parts of 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demands {
    /// Service of the complete run.
    pub service: f64,
    /// Service of the worst 10 s.
    pub worst_window: f64,
    /// Bytes of datagrams that a proxy may send in any second, as delivered; 0: nothing is demanded.
    pub datagram_bytes_per_s: u64,
}

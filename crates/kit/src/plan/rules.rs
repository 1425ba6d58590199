//! The limits that a run is judged by, and the figures that it must reach.

use crate::time::Micros;

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this long after the client's time is up.
    pub answer_slack: Micros,
    /// New work to a render node that drains or is gone ends within this time of being told.
    pub stop_within: Micros,
    /// A proxy without a watch counts as told after this (four times this after a failed call).
    pub ask_within: Micros,
    /// What discovery has to tell counts as told after this while it can be reached, whether it arrived or not.
    pub told_within: Micros,
    /// A cold render node bears this multiple of what it can do at that moment ...
    pub fall_multiple: f64,
    /// ... within any window of this length.
    pub fall_window: Micros,
    /// What proxies are told of cold render nodes: each begins at this part of its capacity or more ...
    pub cold_from: f64,
    /// ... and is warm within this.
    pub warm_up: Micros,
    /// No line may be held back for longer.
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
    /// A proxy told to stop is killed this long afterwards.
    pub term_to_kill: Micros,
}

/// What the run must reach, beside keeping every rule. Parts of 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demands {
    /// Service of the whole run.
    pub service: f64,
    /// Service of the worst 10 s.
    pub worst_window: f64,
    /// Bytes of datagrams that a proxy may send in any second, as delivered; 0: nothing is demanded.
    pub datagram_bytes_per_s: u64,
}

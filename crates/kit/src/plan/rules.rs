//! The limits by which a run is judged, and the values that it must reach.

use crate::time::Micros;

/// Limits of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may arrive this long after the client's deadline.
    pub answer_slack: Micros,
    /// A proxy stops sending new requests to a draining or removed render node within this time of its notification.
    pub stop_within: Micros,
    /// A proxy without a watch is presumed to know a change after this time, or after four times as long if a poll
    /// failed.
    pub ask_within: Micros,
    /// While discovery is reachable, a proxy is presumed to know a change after this time even if it was not delivered.
    pub told_within: Micros,
    /// A render node in slow start bears new connections up to this multiple of its current capacity for them.
    pub fall_multiple: f64,
    /// Length of the window over which the new connections are counted for `fall_multiple`.
    pub fall_window: Micros,
    /// Minimum share of the capacity at which a render node begins slow start, as advertised to proxies.
    pub cold_from: f64,
    /// Maximum duration of slow start, as advertised to proxies.
    pub warm_up: Micros,
    /// Maximum delay of a line in a proxy.
    pub line_held: Micros,
    /// Time within which the proxy ends or moves a connection that its render node has ended.
    pub ended_within: Micros,
    /// Time within which the proxy ends or moves a connection whose render node runs but returns nothing.
    pub silent_within: Micros,
    /// Maximum number of attempts for a request.
    pub attempts: u32,
    /// An attempt whose connection is not established within this time has failed to connect.
    pub connect_timeout: Micros,
    /// Maximum wait in a `BUSY` answer.
    pub retry_after_max: Micros,
    /// The judge extends each time limit by this, since it observes the events at the sockets.
    pub grace: Micros,
    /// Time from SIGTERM to SIGKILL of a proxy.
    pub term_to_kill: Micros,
}

/// Values that a run must reach, besides following every rule. Service is a ratio from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demands {
    /// Minimum service ratio of the whole run; 0 means no demand.
    pub service: f64,
    /// Minimum service ratio of the worst 10 s; 0 means no demand.
    pub worst_window: f64,
    /// Maximum datagram bytes that a proxy may send in any second, as delivered; 0 means no limit.
    pub datagram_bytes_per_s: u64,
}

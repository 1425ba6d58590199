//! The actions that an instance returns to its embedder.

use super::{Micros, RequestId, ServerId};

/// An occurrence to be logged. The embedder chooses the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A server was paused after failures, or paused again after a failed trial.
    PausedFailing,
    /// A paused server's trial succeeded.
    Recovered,
    /// No server can be used at the moment, so requests are queued.
    Queueing,
    /// Several calls in a row for the server list have failed.
    ListUnreachable,
}

/// The health of a server from the point of view of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerHealth {
    /// The server may be used.
    Up,
    /// The server gets no connections.
    Paused {
        /// End of the pause.
        until: Micros,
    },
    /// The pause is over, and a single attempt tests the server.
    Trial,
    /// The server gets no new connections.
    Draining,
    /// The server was removed from the list, or was never listed.
    #[default]
    Unlisted,
}

/// Why a request is answered without having been served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The node is shutting down.
    ShuttingDown,
    /// All attempts that the class or a rule allows were made.
    AttemptsExhausted,
    /// Too little time is left before the deadline for another attempt.
    DeadlineTooClose,
    /// The window in which servers drop repeats of the request is over.
    IdempotencyWindowOver,
    /// A rule rejects the request.
    RejectedByRule,
    /// No server may take the request within the time that it can wait.
    NoServer,
}

/// An instruction to the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of each request are numbered from 0 in the order in which they are sent.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time after which the attempt ends as timed out; 0: the attempt ends when the client gives up.
        timeout: Micros,
        /// The first line of the attempt must be written before this time or not at all, because servers stop
        /// dropping repeats of the request then. `None` if there is no such limit.
        before: Option<Micros>,
    },
    /// Answer the request as rejected. The client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry (Retry-After); 0 if none is stated.
        retry_after: Micros,
        /// Why the request is not served.
        reason: RejectionReason,
    },
    /// Answer the request as failed. The answer does not say whether a retry is safe.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request is not served.
        reason: RejectionReason,
    },
    /// Migrate an established connection: end it cleanly, so that its client connects again.
    Migrate(RequestId),
    /// Call for the server list and subscribe to its changes.
    WatchList,
    /// Send a health check to a server.
    Probe(ServerId),
    /// Deliver an [`Event::Timer`](crate::Event::Timer) after a delay.
    Timer {
        /// The delay, from now.
        after: Micros,
        /// The token that the event carries.
        token: u32,
    },
    /// Write a line to the log.
    Log {
        /// What to log.
        notification: Notification,
        /// The server concerned, if any.
        server: Option<ServerId>,
    },
    /// Informs the embedder that the health of a server has changed; no action is needed. The end of a pause
    /// is reported when the server is next considered for a request.
    HealthChanged {
        /// The server.
        server: ServerId,
        /// The new health.
        health: ServerHealth,
    },
}

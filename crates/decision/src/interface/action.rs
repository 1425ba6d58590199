//! What an instance wants done.

use super::{Micros, RequestId, ServerId};

/// What is to be logged; the embedder words it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A server has been paused after failures, or again after a failed trial.
    PausedFailing,
    /// A paused server's trial succeeded.
    Recovered,
    /// No server may be used now; requests are queued.
    Queueing,
    /// The server list cannot be had.
    ListUnreachable,
}

/// The health of a server, as an instance sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerHealth {
    /// It may be used.
    Up,
    /// It gets no connections.
    Paused {
        /// Until then.
        until: Micros,
    },
    /// After a pause, one attempt tries it.
    Trial,
    /// It gets nothing new.
    Draining,
    /// It is not there, or was never listed.
    #[default]
    Unlisted,
}

/// Why a request gets a final answer without having been served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The node shuts down.
    ShuttingDown,
    /// It has had all attempts that its class or a rule allows.
    AttemptsExhausted,
    /// Too little of its time is left for an attempt.
    DeadlineTooClose,
    /// The time in which its repeats have no effect is over.
    IdempotencyWindowOver,
    /// A rule rejects it.
    RejectedByRule,
    /// No server may take it within the time that it can wait.
    NoServer,
}

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt (numbered 0, 1, 2 ... for each request in the order sent).
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// End it as timed out after this; 0: when the client gives up.
        timeout: Micros,
        /// Its first line is written before then or not at all: repeats have no effect only up to there.
        before: Option<Micros>,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The client is to retry after this time (Retry-After); 0: none is stated.
        retry_after: Micros,
        /// Why it is not served.
        reason: RejectionReason,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// The request.
        request: RequestId,
        /// Why it is not served.
        reason: RejectionReason,
    },
    /// Migrate an established connection: end it cleanly, and the client comes back.
    Migrate(RequestId),
    /// Ask for changes of the server list.
    WatchList,
    /// Send a health check to a server.
    Probe(ServerId),
    /// Send an [`Event::Timer`](crate::Event::Timer) after this time.
    Timer {
        /// From now.
        after: Micros,
        /// The token of that event.
        token: u32,
    },
    /// Write a line in the log.
    Log {
        /// What to log.
        notification: Notification,
        /// About which server.
        server: Option<ServerId>,
    },
    /// Nothing is to be done: a server's health, as the instance sees it, has changed. That a pause has lapsed shows when
    /// the server is next considered.
    HealthChanged {
        /// The server.
        server: ServerId,
        /// Its health from now on.
        health: ServerHealth,
    },
}

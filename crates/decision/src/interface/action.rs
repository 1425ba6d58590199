//! What an instance wants done.

use super::{Micros, RequestId, ServerId};

/// What the log should say; the embedder words it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A server has been paused after failures, or again after a failed trial.
    PausedFailing,
    /// A paused server's trial went well.
    Recovered,
    /// No server may be used now; requests are held.
    Queueing,
    /// The server list cannot be had.
    ListUnreachable,
}

/// What an instance believes of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerHealth {
    /// It may be used.
    Up,
    /// It is left alone.
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
    /// The node ends.
    ShuttingDown,
    /// It has had all attempts that its class or a rule allows.
    AttemptsExhausted,
    /// Too little of its time is left for an attempt.
    DeadlineTooClose,
    /// Its repeats have no effect only up to now.
    IdempotencyWindowOver,
    /// A rule says so.
    RejectedByRule,
    /// No server may take it within the time that it can wait.
    NoServer,
}

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt (numbered 0, 1, 2 ... for each request in the order sent).
    Send {
        /// Whose.
        request: RequestId,
        /// Where.
        server: ServerId,
        /// End it as timed out after this; 0: when the client gives up.
        timeout: Micros,
        /// Its first line is written before then or not at all: repeats have no effect only up to there.
        before: Option<Micros>,
    },
    /// Final answer: turned away, trying again is harmless.
    Reject {
        /// Whose.
        request: RequestId,
        /// Not before this; 0: nothing said.
        retry_after: Micros,
        /// Why it is not served.
        reason: RejectionReason,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// Whose.
        request: RequestId,
        /// Why it is not served.
        reason: RejectionReason,
    },
    /// End an established connection politely; the client comes again.
    Migrate(RequestId),
    /// Ask for changes of the server list.
    WatchList,
    /// Probe a server.
    Probe(ServerId),
    /// Call back with [`Event::Timer`] after this time.
    Timer {
        /// From now.
        after: Micros,
        /// Given back.
        token: u32,
    },
    /// Write a line in the log.
    Log {
        /// What.
        notification: Notification,
        /// About which server.
        server: Option<ServerId>,
    },
    /// Nothing is to be done: the instance believes this of a server from now on. Told when it changes. That a pause
    /// has lapsed shows when the server is next looked at.
    HealthChanged {
        /// Which server.
        server: ServerId,
        /// What.
        health: ServerHealth,
    },
}

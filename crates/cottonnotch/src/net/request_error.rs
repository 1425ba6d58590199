//! The errors for which a client is rejected before its first line reaches an endpoint. The message is sent to the
//! client.

use super::open_line::OpenLineError;
use cottonnotch_reactor::line::TooLong;

/// Why a client's request is rejected. The error is formatted only when its message is needed, because a flood of
/// invalid clients causes one error each.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    #[error(transparent)]
    InvalidLine(#[from] OpenLineError),
    #[error(transparent)]
    TooLong(#[from] TooLong),
    #[error("no first line came")]
    NoFirstLine,
    #[error("too many PINGs")]
    TooManyPings,
    #[error("more than one line before the answer")]
    DataBeforeAnswer,
    #[error("the class is unknown")]
    UnknownClass,
    #[error("the tenant is unknown")]
    UnknownTenant,
    /// The id belongs to another client's open connection. Every endpoint would answer such a request with an
    /// error, so that one client could cause all endpoints to be paused.
    #[error("the id is open already")]
    DuplicateId,
    /// The id belongs to a request that has ended and may have run, and that must not run again.
    #[error("the id was used already")]
    UsedId,
}

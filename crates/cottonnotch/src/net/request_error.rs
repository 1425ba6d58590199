//! Why a client gets an error before any endpoint sees its line; the text is what the client is answered.

use super::open_line::OpenLineError;
use cottonnotch_reactor::line::TooLong;

/// What is wrong with a client's request. It is kept as a value until somebody needs its text: a flood of such
/// clients comes with one each.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    #[error(transparent)]
    InvalidLine(#[from] OpenLineError),
    #[error(transparent)]
    TooLong(#[from] TooLong),
    #[error("no first line came")]
    NoFirstLine,
    #[error("more than one line before the answer")]
    DataBeforeAnswer,
    #[error("the class is unknown")]
    UnknownClass,
    #[error("the tenant is unknown")]
    UnknownTenant,
    /// Guards against the id of another client's open connection: every endpoint answers it with an error, and one
    /// such client would have them all paused.
    #[error("the id is open already")]
    IdOpen,
}

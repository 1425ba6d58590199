//! Why a client gets an error before any subchannel sees its line; the text is what it is answered.

use super::open_line::BadLine;
use cottonnotch_reactor::line::TooLong;

/// What is wrong with a client. Kept as it is until somebody wants its words: a flood of such clients comes with
/// one each.
#[derive(Debug, thiserror::Error)]
pub enum Objection {
    #[error(transparent)]
    BadLine(#[from] BadLine),
    #[error(transparent)]
    TooLong(#[from] TooLong),
    #[error("no first line came")]
    Silent,
    #[error("more than one line before the answer")]
    TooMuch,
    #[error("the class is unknown")]
    UnknownClass,
    #[error("the tenant is unknown")]
    UnknownTenant,
    /// Guards against the id of another client's open connection: every subchannel answers it with an error,
    /// and one such client would have them all paused.
    #[error("the id is open already")]
    IdOpen,
}

//! The revisions of endpoint lists that a member knows.

use crate::ListRevision;

/// The revision of the member's own endpoint list, and of the newer list that the embedder was notified of.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownLists {
    /// The newest list that discovery sent to this member.
    pub own: ListRevision,
    /// The newest list of other members that the embedder was notified of.
    pub notified: ListRevision,
}

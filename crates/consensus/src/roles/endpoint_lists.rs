//! A member's progress with the endpoint list.

use crate::ListRevision;

/// Which endpoint list a member has, and which newer one it reported to the embedder.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListProgress {
    /// The newest list that discovery sent to this member.
    pub own: ListRevision,
    /// The newest list of other members that the embedder was notified of.
    pub notified: ListRevision,
}

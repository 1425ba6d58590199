//! How far members are with the list of members that discovery tells them. A member that is told less than others hears so.

use crate::ListRevision;

/// A member's own.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lists {
    /// What discovery told last, as this member tells it.
    pub mine: ListRevision,
    /// The last mark this member was said to be behind of.
    pub behind: ListRevision,
}

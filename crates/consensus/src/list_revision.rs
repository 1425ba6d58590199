//! The revision of the endpoint list that discovery has sent to a member.

use serde::{Deserialize, Serialize};

/// A revision of the endpoint list. Ordered by epoch, then by revision: discovery's revisions may start anew, which begins
/// another epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListRevision {
    /// Counts how often revisions started anew.
    pub epoch: u64,
    /// The revision within the epoch.
    pub revision: u64,
}

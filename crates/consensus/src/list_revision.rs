//! The revision of the endpoint list that discovery has sent to a member.

use serde::{Deserialize, Serialize};

/// A revision of the endpoint list, ordered by epoch and then by revision. Discovery may restart its revisions from a
/// lower number, which begins a new epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListRevision {
    /// The number of times that the revisions restarted.
    pub epoch: u64,
    /// The revision within the epoch.
    pub revision: u64,
}

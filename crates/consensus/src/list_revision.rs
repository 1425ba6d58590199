//! Which list of members a member was told of.

use serde::{Deserialize, Serialize};

/// A revision of the list. Epochs count the times revisions began anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListRevision {
    /// Greater ones are newer, whatever their revision.
    pub epoch: u64,
    /// Within the epoch.
    pub revision: u64,
}

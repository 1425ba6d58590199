//! The jobs that other threads send to the compile worker.

use cottonnotch_consensus::{ContentHash, ProposalOutcome};
use cottonnotch_routing_rules::{Inventory, RuleFile};
use cottonnotch_rule_compiler::Profiles;

/// A task for the compile worker, or a change after which the worker may have to propose a new version.
#[derive(Debug)]
pub enum CompileJob {
    /// Fetch the content with this hash from one of the members `from`.
    Fetch { hash: ContentHash, size: u32, from: Vec<u16> },
    /// Compare a content with the versions in `against`, the last of which is in force.
    Check { hash: ContentHash, against: Vec<(u64, ContentHash)> },
    /// A proposal of this process has ended with this outcome.
    ProposalFinished { hash: ContentHash, outcome: ProposalOutcome },
    /// The version that this process acts on has changed. `cluster_has_no_version` is true if the cluster never had a version.
    ActiveVersion { hash: Option<ContentHash>, cluster_has_no_version: bool },
    /// This proxy's rule files, and the profile of each hardware class.
    LocalFiles { files: Vec<RuleFile>, profiles: Profiles },
    /// The tenants, classes and render nodes that rules can refer to.
    Inventory(Inventory),
}

//! The jobs of the compile worker.

use cottonnotch_consensus::{ContentHash, ProposalOutcome};
use cottonnotch_routing_rules::{Inventory, RuleFile};
use cottonnotch_rule_compiler::Profiles;

/// A job, or news that may lead to a proposal.
#[derive(Debug)]
pub enum CompileJob {
    /// Fetch a content from one of these members.
    Fetch { hash: ContentHash, size: u32, from: Vec<u16> },
    /// Compare a content with these versions; the last one is in force.
    Check { hash: ContentHash, against: Vec<(u64, ContentHash)> },
    /// A proposal of this process is finished.
    ProposalFinished { hash: ContentHash, outcome: ProposalOutcome },
    /// The version this process acts on, and whether none has ever been in force.
    ActiveVersion { hash: Option<ContentHash>, nothing_in_force: bool },
    /// This proxy's rule files, and what each hardware class can run.
    LocalFiles { files: Vec<RuleFile>, profiles: Profiles },
    /// What rules can refer to.
    Inventory(Inventory),
}

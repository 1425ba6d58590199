//! What the compile worker is asked for.

use cottonnotch_consensus::{ContentHash, ProposalOutcome};
use cottonnotch_routing_rules::{Inventory, RuleFile};
use cottonnotch_rule_compiler::Profiles;

/// What there is to do.
#[derive(Debug)]
pub enum Job {
    /// Get a content from one of these members.
    Fetch { hash: ContentHash, size: u32, from: Vec<u16> },
    /// May this be put in force, on top of the last of these?
    Check { hash: ContentHash, against: Vec<(u64, ContentHash)> },
    /// A proposal of this process is over.
    Over { hash: ContentHash, outcome: ProposalOutcome },
    /// What this process holds, and whether nothing ever was in force.
    Held { version: Option<ContentHash>, is_first: bool },
    /// This proxy's own files, and what each hardware class can run.
    Own { files: Vec<RuleFile>, profiles: Profiles },
    /// What there is to be ruled.
    Inventory(Inventory),
}

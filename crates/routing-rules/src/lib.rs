//! Merges the routing rules of many owners and their teams into one book. The merge is sans-io: a pure function of a set of
//! files, a history and an inventory, without file access, sockets, clocks or random numbers.
//!
//! Invariants:
//! - The book does not depend on the order of the files.
//! - A requirement of a namespace holds for every namespace below it.
//! - A rejected file holds back its own namespace and changes nothing else.
//! - Conflicting rules are found by the merge, each with a witness, so that a request never encounters a conflict at run time.
//!
//! `docs/design/rulebook.md` has the reasons.

mod book;
mod cache;
mod candidate;
mod chain_conflicts;
mod compilation;
mod compiled;
mod conflict;
mod effective;
mod evaluation_round;
mod file;
mod file_checks;
mod file_schema;
mod groups;
mod history;
mod ineffective;
mod inventory;
mod merge;
mod newest_first;
mod node_kind_set;
mod outcome;
mod parsing;
mod scope;
mod source_text;
mod state;

pub use book::{
    Book, GroupRange, MoveCondition, Node, Owner, PlacementMode, Request, Rule, RuleKind, Selector, Strength,
    UncertaintyPolicy, selects_node,
};
pub use conflict::{Conflict, RuleLocation, Witness};
pub use effective::{Effective, effective, stricter};
pub use file::{
    DeclaredRule, Delegate, MAX_DEPTH, MAX_FILE_BYTES, MAX_ITEMS, MAX_NAME_BYTES, NamespaceFile, RuleFile,
    RuleFileError,
};
pub use history::{Entry, GoodRevision, History};
pub use inventory::Inventory;
pub use merge::{Merged, Merger, check, merge};
pub use parsing::read;
pub use state::{State, StateEvent, StateName};

//! What each hardware class of render node can run of merged routing rules, sans-io: no sockets, no clocks, no chance, no
//! threads. Its invariants:
//!
//! - *Never looser.* Whatever [`compile`] makes of a book, its [`Plan`] allows no node that a requirement of the book
//!   forbids, and no number of it is above the book's. Where a class can't run a requirement, that class gets none of its requests.
//! - *The same everywhere.* One book and the same profiles give the same bytes, and so the same hash, on every machine.
//! - *Any bytes.* [`Plan::from_bytes`] takes whatever comes: it never panics, bounds what it builds, and what it takes is
//!   the one encoding of that plan.
//! - *A lookup is cheap.* [`Plan::lookup`] allocates nothing and takes some probes of hash tables, however many rules there
//!   are.
//!
//! `docs/design/lowering.md` says which kind of rule becomes what on which class, and what is lost.

mod bits;
mod bounded_list;
mod canonical;
mod compile;
mod contradiction;
mod effects;
mod forms;
mod groups;
mod index;
mod lookup;
mod plan;
mod plan_body;
mod profile;
mod table;

pub use compile::{Compiled, compile};
pub use contradiction::{Witness, contradiction};
pub use lookup::{LimitId, Lookup, NodeKey};
pub use plan::Plan;
pub use plan_body::{FORMAT, LEVEL, MAX_BYTES, NodeSet, PlanError};
pub use profile::{Budgets, Features, Profile, Profiles, effective_profiles};
pub use table::{Execution, Row, UNKNOWN};

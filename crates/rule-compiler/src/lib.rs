//! Compiles merged routing rules into a plan for the hardware classes of render nodes. The crate is sans-io: it uses no
//! sockets, clocks, randomness or threads. Its invariants:
//!
//! - *A plan is never looser than its book.* A [`Plan`] made by [`compile`] allows no node that a requirement of the book
//!   forbids, and none of its limits is above the book's. A class that can't run a requirement gets none of the requests
//!   that the requirement matches.
//! - *Compilation is deterministic.* The same book and profiles give the same bytes, and so the same hash, on every
//!   machine.
//! - *Decoding is safe on untrusted bytes.* [`Plan::from_bytes`] never panics, bounds the memory that it allocates, and
//!   accepts only the canonical encoding of a plan.
//! - *A lookup is cheap.* [`Plan::lookup`] allocates nothing and probes a few hash tables, regardless of the number of
//!   rules.
//!
//! `docs/design/lowering.md` describes the compiled form of each kind of rule on each class, and what is lost.

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

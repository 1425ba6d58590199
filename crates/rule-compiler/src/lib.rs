//! What each hardware class of render node can run of a merged rulebook, sans-io: no sockets, no clocks, no chance, no
//! threads. Its invariants:
//!
//! - *Never looser.* Whatever [`lower`] makes of a book, its [`Plan`] allows no node that a must of the book forbids, and no
//!   number of it is above the book's. Where a class can't run a must, that class gets none of its requests.
//! - *The same everywhere.* One book and the same profiles give the same bytes, and so the same hash, on every machine.
//! - *Any bytes.* [`Plan::from_bytes`] takes whatever comes: it never panics, bounds what it builds, and what it takes is
//!   the one encoding of that plan.
//! - *A look is cheap.* [`Plan::look`] allocates nothing and takes some look-ups in hash tables, however many rules there
//!   are.
//!
//! `docs/design/lowering.md` says which kind of rule becomes what on which class, and what is lost.

mod bits;
mod canonical;
mod contradiction;
mod effects;
mod forms;
mod groups;
mod index;
mod look;
mod lower;
mod plan;
mod profile;
mod table;

pub use contradiction::{Witness, contradiction};
pub use look::{LimitId, Look, NodeKey};
pub use lower::{Lowered, lower};
pub use plan::{BadPlan, FORMAT, LEVEL, MAX_BYTES, NodeSet, Plan};
pub use profile::{Budgets, Features, Profile, Profiles, in_use};
pub use table::{Row, Runs, UNKNOWN};

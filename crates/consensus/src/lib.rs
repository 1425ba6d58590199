//! Agreement among a few voters on the version of the rules that each member may act on. The crate is sans-io and
//! deterministic: it uses no sockets, clocks or threads, and all random numbers come from one seed. [`Member`] has
//! `handle(now, input)`, `poll() -> output` and `next_timeout()`.
//!
//! A few members, the voters, replicate one small [`State`], which holds the version in force and the pending version
//! of each [`Topic`]. All members, including the voters, act on a version only under a [`Lease`] that the leader of the
//! voters granted. The embedder stores the contents; in this crate, a version consists of a hash, a number, and the
//! smallest number that the version is compatible with. The following invariants are checked in tests by an oracle that
//! sees all clocks. Violations that a single member can detect are counted in [`Status::invariant_violations`]:
//!
//! - at no instant may two members act on incompatible versions; a member may act while its own clock is before
//!   [`Lease::until`];
//! - a number always identifies the same version, and numbers never decrease, neither at a member nor in the state;
//! - a version that a majority committed as in force is only followed by versions with greater numbers;
//! - a process that was stopped for any length of time finds its lease expired by its own clock.
//!
//! The embedder must guarantee the following. The rates of clocks err by at most [`Timing::drift_ppm`], and clocks
//! continue while the process is stopped or the machine sleeps. Each start uses a new [`Config::incarnation`].
//! [`Output`]s are carried out in their order: [`Output::Save`] is durable and [`Output::LeaseChanged`] has taken
//! effect before any later output. Only one process at a time uses a [`DurableState`] (by a lock on its file). Contents
//! that are in force or pending are stored on disk. Messages are authenticated, and [`Message::bounded`] is checked on
//! each decoded message. `docs/design/consensus.md` explains the design.

mod clock_drift;
mod config;
mod io;
mod list_revision;
mod member;
mod message;
mod mutant;
mod roles;
mod state;
mod status;

pub use config::{Config, ConfigError, Timing};
pub use io::{Input, Lease, Output, Verdict};
pub use list_revision::ListRevision;
pub use member::Member;
pub use message::{LeaseGrant, LeaseRequest, Message};
#[cfg(feature = "mutants")]
#[doc(hidden)]
pub use mutant::Mutant;
pub use state::{
    DurableState, Pending, Phase, ProposalId, ProposalOutcome, ProposalResult, State, StateRevision, Topic,
    TopicState, Version,
};
pub use status::{Role, Status, TopicStatus};

/// A point in time or a duration, in microseconds of the monotonic clock of the process. Points in time of different
/// machines are never compared.
pub type Micros = i64;

/// The digest of a version's content, computed by the embedder.
pub type ContentHash = [u8; 32];

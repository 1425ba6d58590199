//! Agreement among a few voters on which version of the rules each member may act on. Sans-io and deterministic: no sockets,
//! no clocks, no threads, and no random numbers but those from one seed. [`Member`] has `handle(now, input)`,
//! `poll() -> output` and `next_timeout()`.
//!
//! A few members, the voters, replicate one small [`State`]: per [`Topic`] the version in force and the pending one. All
//! members, voters included, act on a version only under a [`Lease`] that the voters' leader granted. Contents stay with the
//! embedder; here a version is a hash, a number, and the least number it is compatible with. Invariants, checked in tests by
//! an oracle that sees all clocks, and as far as one member can see them counted in [`Status::invariant_violations`]:
//!
//! - at no instant may two members act (own clock before [`Lease::until`]) on incompatible versions;
//! - a number names one version for ever; numbers never go back, neither at a member nor in the state;
//! - a version that was in force, committed by a majority, is followed by greater numbers only;
//! - a process that was stopped, for however long, finds its lease expired by its own clock.
//!
//! The embedder guarantees: clocks whose rates err by at most [`Timing::drift_ppm`] and that go on while the process is
//! stopped or the machine sleeps; a new [`Config::incarnation`] at each start; [`Output`]s carried out in their order, with
//! [`Output::Save`] durable and [`Output::LeaseChanged`] in effect before any later one; one process at a time with one
//! [`DurableState`] (a lock on its file); contents stored on disk while they are in force or pending; authenticated messages;
//! [`Message::bounded`] checked on each decoded message. `docs/design/consensus.md` has the reasons for the design.

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

/// A point in time or a span, in microseconds of the process's own monotonic clock. Never compared between machines.
pub type Micros = i64;

/// The embedder's digest of a version's content.
pub type ContentHash = [u8; 32];

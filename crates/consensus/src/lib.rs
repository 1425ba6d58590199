//! Which version of the rules each member may act on, agreed among a few voters, sans-io: no sockets, no clocks, no
//! threads, no chance but that from one seed. [`Member`] is `handle(now, input)`, `poll() -> output` and `next_timeout()`.
//!
//! A few members, the voters, replicate one small [`State`]: per [`Topic`] the version in force and the one pending. All
//! members, voters too, act on a version only under a lease that the voters' leader granted. Contents stay with the
//! embedder; here a version is a hash, a number and the least number it agrees with. Invariants, checked in tests by an
//! oracle that sees all clocks, and as far as one member can see them counted in [`Status::broken`]:
//!
//! - at no instant may two members act (own clock before [`Lease::until`]) on versions that contradict each other;
//! - a number names one version, ever; numbers never go back at a member, nor in the state;
//! - what was once in force by a majority is followed only by greater numbers;
//! - whoever was stopped, for however long, finds its right over by its own clock.
//!
//! What the embedder owes: clocks whose rates err by at most [`Timing::drift_ppm`] and that go on while the process is
//! stopped or the machine sleeps; a new [`Config::incarnation`] at each start; [`Output`]s carried out in their order, with
//! [`Output::Save`] durable and [`Output::LeaseChanged`] in effect before any later one; one process at a time with one
//! [`DurableState`] (a lock on its file); contents kept on disk while they are in force or pending; messages that can't be forged.
//! `docs/design/accord.md` says why it is built so.
//!
//! Of the interface: [`Member::lease`] takes the topic; [`Output::Fetch`] says topic and size; [`Input::Propose`] says the content is here and compiled (as [`Input::ContentReady`] would); [`Message::bounded`] is to be asked
//! of each message that was decoded; a proposal of what is pending already is over when that one is.

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

/// What names a version's content; the embedder's digest of it.
pub type ContentHash = [u8; 32];

//! The whole contract between the decision module and its embedder.
//!
//! An embedder turns what its node sees into [`Event`]s, hands each to
//! [`Balancer::handle`](crate::Balancer::handle) with the present time, and carries out the
//! [`Action`]s it gets back, in order. Times are microseconds of one clock that never goes back.

mod action;
mod event;
mod settings;

pub use action::{Action, Notification, RejectionReason, ServerHealth};
pub use event::{Entry, Event, FleetStatus, Outcome, PeerVerdict, Request, ServerState};
pub use settings::{Class, Idempotency, Scope, Settings, Tenant};

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// A second, in [`Micros`].
pub(crate) const SECOND: Micros = 1_000_000;

/// A server, as the embedder numbers it: small numbers, the same for the life of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A request (a client's wish for one connection); never repeated within an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u16);

/// A zone, as the embedder numbers them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u16);

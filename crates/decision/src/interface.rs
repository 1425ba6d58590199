//! The complete interface between the decision module and its embedder.
//!
//! An embedder translates what its node observes into [`Event`]s, passes each of them to
//! [`Balancer::handle`](crate::Balancer::handle) together with the current time, and executes the
//! returned [`Action`]s in order. All times are microseconds of one monotonic clock.

mod action;
mod event;
mod settings;

pub use action::{Action, Notification, RejectionReason, ServerHealth};
pub use event::{Entry, Event, FleetStatus, Outcome, PeerVerdict, Request, ServerState};
pub(crate) use settings::usable_weight;
pub use settings::{Class, Idempotency, Scope, Settings, Tenant, WeightMeaning};

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// One second, in [`Micros`].
pub(crate) const SECOND: Micros = 1_000_000;

/// Number of a server. The embedder assigns small numbers, which don't change during the life of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Id of a request, which is a client's request for one connection. An id is never reused during the life of
/// an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u16);

/// Number of a zone, assigned by the embedder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u16);

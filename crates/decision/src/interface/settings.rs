//! The settings of an instance: classes of requests, tenants, limits.

use super::{Micros, ZoneId};

/// Which servers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// Those of the zone of the server that may have run it.
    Zone,
    /// Those of its cell.
    Cell,
}

impl Scope {
    /// Whether a server at one locality (zone and cell) may run again what one at the other may have run.
    pub fn separates(self, one: (ZoneId, u32), other: (ZoneId, u32)) -> bool {
        match self {
            Scope::All => false,
            Scope::Zone => one.0 != other.0,
            Scope::Cell => one.1 != other.1,
        }
    }
}

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are dropped by the servers in `scope`, for `window` after the first send that may have run.
    Keyed {
        /// Who drops repeats.
        scope: Scope,
        /// For how long.
        window: Micros,
    },
    /// A repeat is allowed only while no earlier attempt may have run.
    NotIdempotent,
}

impl Idempotency {
    /// Until when a repeat may be sent, if the first send that may have run was then; `None`: without end.
    pub fn repeat_until(self, first_sent: Micros) -> Option<Micros> {
        match self {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { window, .. } => Some(first_sent.saturating_add(window)),
            Idempotency::NotIdempotent => Some(first_sent),
        }
    }

    /// Whether a rejection, which invites a retry, is allowed though an attempt may have run.
    pub fn may_reject(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: connections set up within this time earn their weight; 0 if not stated.
    pub target: Micros,
    /// How long a client waits in all; 0 if not stated.
    pub deadline: Micros,
    /// Latency objective of one message on an established connection; 0 if not stated.
    pub message_latency_objective: Micros,
    /// Most attempts for one request.
    pub attempts: u32,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Priority weight of a request (or of a second, or of a unit of work).
    pub priority_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// New connections a second within its quota, over all nodes; 0 if not stated.
    pub allowance_per_s: f64,
    /// Open connections within its quota, over all nodes; 0 if not stated.
    pub allowance_open: f64,
}

/// The settings with which an instance starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this node among its peers, from 0.
    pub ordinal: u32,
    /// How many nodes there are.
    pub nodes: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Connections of one group share work on a server.
    pub groups: bool,
    /// The priority weight counts for each unit of work, not for each request or second.
    pub weight_by_work: bool,
    /// Priority weight of a request beyond its tenant's quota, as a part of the usual.
    pub over_quota_weight: f64,
    /// Events arrive in batches, at most this often.
    pub step: Micros,
    /// The server list must be polled.
    pub list_on_request: bool,
    /// Its changes count as notified from the start, whether or not it was polled: the first poll is not put off.
    pub list_pushed: bool,
    /// The list's `weight` says how servers compare in size.
    pub weighted: bool,
    /// Rejections carry a time after which the client may retry (Retry-After).
    pub retry_after: bool,
    /// The longest such time that clients honour.
    pub max_retry_after: Micros,
    /// A server starts at this share of its capacity or more ...
    pub slow_start_from: f64,
    /// ... and has warmed up after this time.
    pub slow_start_window: Micros,
    /// A warming server falls over if all nodes send it more than this multiple of what it can do.
    pub overload_multiple: f64,
    /// How long it bears that; 0 if not stated.
    pub overload_window: Micros,
    /// Health checks are allowed.
    pub probes: bool,
    /// Place of "load over capacity" in a load report, if reports have it.
    pub report_load: Option<usize>,
    /// Price of one health check for each request, as a part of the result.
    pub probe_price: f64,
    /// Price of one migration for each request, as a part of the result.
    pub migration_price: f64,
}

impl Settings {
    /// What a repeat does in a class; an unknown one is treated as what allows least.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NotIdempotent, |c| c.idempotency)
    }

    /// Most attempts for one request of a class.
    pub fn attempts(&self, class: usize) -> u32 {
        self.classes.get(class).map_or(1, |c| c.attempts)
    }

    /// Within this time a connection of a class is to be set up; `None`: not stated.
    pub fn target(&self, class: usize) -> Option<Micros> {
        self.classes.get(class).map(|c| c.target).filter(|target| *target > 0)
    }

    /// The shortest latency objective of a message, if any class states one.
    pub fn shortest_message_objective(&self) -> Option<Micros> {
        self.classes.iter().map(|c| c.message_latency_objective).filter(|aim| *aim > 0).min()
    }

    /// New connections a second that all tenants are allowed together, over all nodes; `None` if not stated.
    pub fn allowance_per_s(&self) -> Option<f64> {
        let allowed = self.tenants.iter().map(|tenant| tenant.allowance_per_s).sum();
        (allowed > 0.0).then_some(allowed)
    }

    /// Connections that all tenants may hold open together, over all nodes and servers; 0 if not stated.
    pub fn allowance_open(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.allowance_open).sum()
    }

    /// A set-up that takes no longer shows that what all set-ups share has capacity left: a quarter of the shortest target.
    pub fn quick(&self) -> Micros {
        (0..self.classes.len()).filter_map(|class| self.target(class)).min().unwrap_or(0) / 4
    }

    /// The part of its capacity that a server has for certain, this long after its start.
    pub fn share_at(&self, age: Micros) -> f64 {
        let from = self.slow_start_from.clamp(0.05, 1.0);
        let warmth = age.max(0) as f64 / self.slow_start_window.max(1) as f64;
        from + (1.0 - from) * warmth.min(1.0)
    }
}

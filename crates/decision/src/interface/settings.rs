//! The settings of an instance: request classes, tenants and limits.

use super::{Micros, ZoneId};

/// Which servers drop repeats of a keyed request after one of them may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers in the zone of the server that may have run the request.
    Zone,
    /// The servers in the cell of the server that may have run the request.
    Cell,
}

impl Scope {
    /// Whether a server at one locality (zone and cell) may run a request again that a server at the other
    /// locality may already have run.
    pub fn separates(self, one: (ZoneId, u32), other: (ZoneId, u32)) -> bool {
        match self {
            Scope::All => false,
            Scope::Zone => one.0 != other.0,
            Scope::Cell => one.1 != other.1,
        }
    }
}

/// Effect of sending a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// The servers in `scope` drop repeats, for `window` after the first attempt that may have run was sent.
    Keyed {
        /// The servers that drop repeats.
        scope: Scope,
        /// How long they drop repeats.
        window: Micros,
    },
    /// A request may be sent again only if no earlier attempt may have run.
    NotIdempotent,
}

impl Idempotency {
    /// Returns the time until which a request may be sent again, where `first_sent` is when the first attempt
    /// that may have run was sent; `None` if there is no limit.
    pub fn repeat_until(self, first_sent: Micros) -> Option<Micros> {
        match self {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { window, .. } => Some(first_sent.saturating_add(window)),
            Idempotency::NotIdempotent => Some(first_sent),
        }
    }

    /// Whether a request may be rejected, which invites a retry, even though an attempt may have run.
    pub fn may_reject(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective for set-ups: a connection that is up within this time counts with its priority
    /// weight; 0 if not stated.
    pub target: Micros,
    /// How long a client waits in total; 0 if not stated.
    pub deadline: Micros,
    /// Latency objective of one message on an established connection; 0 if not stated.
    pub message_latency_objective: Micros,
    /// Maximum number of attempts for one request.
    pub attempts: u32,
    /// Effect of a repeat.
    pub idempotency: Idempotency,
    /// Priority weight of a request, or of a unit of its work (see [`Settings::weight_by_work`]).
    pub priority_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's quota of new connections per second, over all nodes; 0 if not stated.
    pub allowance_per_s: f64,
    /// The tenant's quota of open connections, over all nodes; 0 if not stated.
    pub allowance_open: f64,
}

/// What the weight of a server in the list states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing.
    #[default]
    Nothing,
    /// The size of the server relative to other servers.
    Size,
    /// The size divided by the load of a moment ago. It differs from list to list, and says nothing about the
    /// size: a server that has just started has a far higher weight than a loaded one of the same size.
    Live,
}

impl WeightMeaning {
    /// Returns the size of a server relative to other servers; 1 if its listed weight does not state it.
    pub fn size(self, listed_weight: f64) -> f64 {
        if self == WeightMeaning::Size { usable_weight(listed_weight) } else { 1.0 }
    }

    /// Returns the part of the turns that a server gets, relative to other servers.
    pub fn turn_weight(self, listed_weight: f64) -> f64 {
        if self == WeightMeaning::Nothing { 1.0 } else { usable_weight(listed_weight) }
    }
}

/// Returns the weight, or 1 if it is no positive number.
pub(crate) fn usable_weight(listed_weight: f64) -> f64 {
    if listed_weight.is_finite() && listed_weight > 0.0 { listed_weight } else { 1.0 }
}

/// The settings of an instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this node among its peers, from 0.
    pub ordinal: u32,
    /// Number of nodes.
    pub nodes: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Connections of one group share work on a server.
    pub groups: bool,
    /// The priority weight counts per unit of work, not per request or second.
    pub weight_by_work: bool,
    /// Priority weight of a request beyond its tenant's quota, as a fraction of the class's priority weight.
    pub over_quota_weight: f64,
    /// Minimum time between two batches of events.
    pub step: Micros,
    /// The server list must be polled; it is not sent unasked.
    pub list_on_request: bool,
    /// Changes of the server list count as notified from the start, even if the list was not polled yet. The
    /// first poll is therefore not delayed.
    pub list_pushed: bool,
    /// What the `weight` of list entries states.
    pub weights: WeightMeaning,
    /// Rejections state a time after which the client may retry (Retry-After).
    pub retry_after: bool,
    /// The longest retry time that clients honour.
    pub max_retry_after: Micros,
    /// Minimum share of its capacity that a server has right after its start.
    pub slow_start_from: f64,
    /// Time after its start at which a server has its full capacity.
    pub slow_start_window: Micros,
    /// A warming server fails if all nodes together send it more than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// How long a warming server withstands such an overload; 0 if not stated.
    pub overload_window: Micros,
    /// Health checks are allowed.
    pub probes: bool,
    /// Index of "load over capacity" in a load report; `None` if reports don't contain it.
    pub report_load: Option<usize>,
    /// Price of one health check per request, as a fraction of the result.
    pub probe_price: f64,
    /// Price of one migration per request, as a fraction of the result.
    pub migration_price: f64,
}

impl Settings {
    /// Returns the effect of a repeat in a class. An unknown class is treated as not idempotent.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.classes.get(class).map_or(Idempotency::NotIdempotent, |c| c.idempotency)
    }

    /// Returns the maximum number of attempts for one request of a class; 1 for an unknown class.
    pub fn attempts(&self, class: usize) -> u32 {
        self.classes.get(class).map_or(1, |c| c.attempts)
    }

    /// Returns the time within which a connection of a class should be set up; `None` if not stated.
    pub fn target(&self, class: usize) -> Option<Micros> {
        self.classes.get(class).map(|c| c.target).filter(|target| *target > 0)
    }

    /// Returns the shortest latency objective of a message; `None` if no class states one.
    pub fn shortest_message_objective(&self) -> Option<Micros> {
        self.classes.iter().map(|c| c.message_latency_objective).filter(|objective| *objective > 0).min()
    }

    /// Returns the sum of all tenants' quotas of new connections per second; `None` if no quota is stated.
    pub fn allowance_per_s(&self) -> Option<f64> {
        let total = self.tenants.iter().map(|tenant| tenant.allowance_per_s).sum();
        (total > 0.0).then_some(total)
    }

    /// Returns the sum of all tenants' quotas of open connections; 0 if no quota is stated.
    pub fn allowance_open(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.allowance_open).sum()
    }

    /// Returns the longest duration of a set-up that counts as quick: a quarter of the shortest target. A
    /// quick set-up shows that the resource that all set-ups share has capacity left.
    pub fn quick_setup_time(&self) -> Micros {
        (0..self.classes.len()).filter_map(|class| self.target(class)).min().unwrap_or(0) / 4
    }

    /// Returns the share of its capacity that a server is certain to have at this time after its start.
    pub fn share_at(&self, age: Micros) -> f64 {
        let initial = self.slow_start_from.clamp(0.05, 1.0);
        let progress = age.max(0) as f64 / self.slow_start_window.max(1) as f64;
        initial + (1.0 - initial) * progress.min(1.0)
    }
}

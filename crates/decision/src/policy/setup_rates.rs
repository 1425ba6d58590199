//! How many connections this node sets up: what is usual, what a server's slow start bears, what the fleet
//! allows.

use super::balancer::Balancer;
use super::server::Server;
use crate::budget::{SetupLimit, UsualRates};
use crate::interface::*;
use crate::pending_request::DedupGroup;
use crate::rules::RoutingVerdict;

/// All nodes together set up at most this multiple of what tenants are allowed a second, but for nodes whose
/// last set-up was quick: the store that all share goes down under all that come back after a break.
const SETUPS: f64 = 3.0;

impl Server {
    /// The bound on new connections that this node gives the server, if there is one.
    pub(super) fn setup_limit(
        &self,
        settings: &Settings,
        now: Micros,
        usual: UsualRates,
    ) -> Option<SetupLimit> {
        let (weight, started) = (self.listing.weight, self.listing.started);
        SetupLimit::of(settings, now, usual, weight, started, self.breaker.overloaded_at)
    }
}

impl Balancer {
    /// New connections a second that a server of weight 1 usually gets from this node, and that would fill it
    /// to the others' level, or to what tenants may hold, within its warm-up: a fleet a third full has room.
    pub(super) fn usual_rates(&self, now: Micros) -> UsualRates {
        let rate = self.arrivals.per_s(now);
        // What waits shows no room, and servers that are out leave the rest no more.
        let allowed = self.settings.allowance_open();
        let open: usize = self.servers.iter().map(|s| s.connections.open.len()).sum();
        let own = if allowed > 0.0 { open } else { self.requests.pending.len() } as f64;
        let full = self.quota.conservative_share_of(now, allowed, own) * self.quota.idle_factor(now);
        let fill = full * SECOND as f64 / self.settings.slow_start_window.max(SECOND) as f64;
        let fill = if allowed > 0.0 { fill } else { fill.max(rate) };
        UsualRates {
            per_weight: rate / self.servers.ready_weight.max(1e-9),
            fill: fill / self.servers.fleet_total.weight(now).max(1e-9),
        }
    }

    /// The fleet's status has changed. What has passed by now brought to budgets what the old share was.
    pub(super) fn fleet_status_changed(&mut self, now: Micros, status: FleetStatus) {
        let usual = self.usual_rates(now);
        for s in self.servers.iter_mut() {
            let limit = s.setup_limit(&self.settings, now, usual);
            s.budget.refill(limit, now);
        }
        self.quota.update(now, status);
    }

    /// Set-ups a second that this node may send. In a large fleet, whose status is known, its own last one
    /// says little.
    pub(super) fn setups_per_s(&self, now: Micros) -> f64 {
        let is_quick = self.quota.fleet(now).is_none() && self.setups.is_quick(now);
        let allowed = self.settings.allowance_per_s().filter(|_| !is_quick);
        allowed.map_or(f64::INFINITY, |allowed| self.quota.share_of(now, SETUPS * allowed))
    }

    /// When some server may next be tried: its pause has lapsed and its budget is there.
    pub(super) fn next_chance(
        &self,
        now: Micros,
        verdict: &RoutingVerdict,
        dedup_group: Option<DedupGroup>,
    ) -> Micros {
        let usual = self.usual_rates(now);
        let chance = |s: &Server| {
            let limit = s.setup_limit(&self.settings, now, usual);
            s.breaker.paused_until.unwrap_or(now).max(s.budget.next_token_at(limit))
        };
        let is_within = |s: &&Server| dedup_group.is_none_or(|group| group.contains(s.listing.locality));
        let soonest = self.allowed(verdict).filter(is_within).map(chance).min();
        let setups = self.setups.tokens.next_token_at(self.setups_per_s(now));
        soonest.unwrap_or(now + SECOND).max(setups).clamp(now + SECOND / 20, now + SECOND)
    }
}

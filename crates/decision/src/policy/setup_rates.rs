//! Rates at which this node sets up connections: the usual rate, the limit during a server's slow start,
//! and this node's share of the limit on the fleet.

use super::balancer::Balancer;
use super::server::Server;
use crate::budget::{SetupLimit, UsualRates};
use crate::interface::*;
use crate::pending_request::DedupGroup;
use crate::rules::RoutingVerdict;

/// Limit on the set-ups of all nodes together, as a multiple of the tenants' allowance per second. A node
/// whose last set-up was quick is exempt. Without the limit, the clients that reconnect after an outage
/// would bring down the store that all servers share.
const SETUPS: f64 = 3.0;

impl Server {
    /// Returns the limit on this node's new connections to the server; `None` if there is no limit.
    pub(super) fn setup_limit(
        &self,
        settings: &Settings,
        now: Micros,
        usual: UsualRates,
    ) -> Option<SetupLimit> {
        let (size, started) = (self.listing.size(), self.listing.started);
        SetupLimit::of(settings, now, usual, size, started, self.breaker.last_tripped_at)
    }
}

impl Balancer {
    /// Returns this node's rates of new connections to a server of size 1, per second: the usual rate,
    /// and the rate that fills the server within its warm-up. Without an allowance, a server is full at the
    /// level of the other servers. With one, it is full at the level that tenants may hold, because a fleet
    /// that is a third full has room for more.
    pub(super) fn usual_rates(&self, now: Micros) -> UsualRates {
        let rate = self.arrivals.per_s(now);
        // Queued requests do not show that there is room, so with an allowance only open connections count.
        // The remaining servers get no larger share when others leave the list, since the total size
        // still includes those.
        let allowed = self.settings.allowance_open();
        let open: usize = self.servers.iter().map(|s| s.connections.open.len()).sum();
        let own_count = if allowed > 0.0 { open } else { self.requests.pending.len() } as f64;
        let full_level =
            self.quota.conservative_share_of(now, allowed, own_count) * self.quota.idle_factor(now);
        let fill = full_level * SECOND as f64 / self.settings.slow_start_window.max(SECOND) as f64;
        let fill = if allowed > 0.0 { fill } else { fill.max(rate) };
        UsualRates {
            per_size: rate / self.servers.ready_size.max(1e-9),
            fill: fill / self.servers.fleet_total.size(now).max(1e-9),
        }
    }

    /// Handles a new status of the fleet. The time that has passed by now still refills the budgets at the
    /// rate of the old share.
    pub(super) fn fleet_status_changed(&mut self, now: Micros, status: FleetStatus) {
        self.refill_budgets(now);
        self.quota.update(now, status);
    }

    /// Handles a change of the number of processes that are this node together, like a new status of the
    /// fleet.
    pub(super) fn processes_changed(&mut self, now: Micros, count: u32) {
        self.refill_budgets(now);
        self.quota.set_processes(count);
    }

    fn refill_budgets(&mut self, now: Micros) {
        let usual = self.usual_rates(now);
        for s in self.servers.iter_mut() {
            let limit = s.setup_limit(&self.settings, now, usual);
            s.budget.refill(limit, now);
        }
    }

    /// Returns how many set-ups per second this node may send; infinite if they are not limited. In a large
    /// fleet, whose status is known, the speed of this node's last set-up says little.
    pub(super) fn setups_per_s(&self, now: Micros) -> f64 {
        let is_quick = self.quota.fleet_status(now).is_none() && self.setups.was_recently_quick(now);
        let allowed = self.settings.allowance_per_s().filter(|_| !is_quick);
        allowed.map_or(f64::INFINITY, |allowed| self.quota.share_of(now, SETUPS * allowed))
    }

    /// Returns when a server may next be tried, which is when its pause has ended and its budget has a
    /// token.
    pub(super) fn next_attempt_at(
        &self,
        now: Micros,
        verdict: &RoutingVerdict,
        dedup_group: Option<DedupGroup>,
    ) -> Micros {
        let usual = self.usual_rates(now);
        let next_try = |s: &Server| {
            let limit = s.setup_limit(&self.settings, now, usual);
            s.breaker.paused_until.unwrap_or(now).max(s.budget.next_token_at(limit))
        };
        let is_in_dedup_group =
            |s: &&Server| dedup_group.is_none_or(|group| group.contains(s.listing.locality));
        let soonest = self.allowed(verdict).filter(is_in_dedup_group).map(next_try).min();
        let setups = self.setups.tokens.next_token_at(self.setups_per_s(now));
        soonest.unwrap_or(now + SECOND).max(setups).clamp(now + SECOND / 20, now + SECOND)
    }
}

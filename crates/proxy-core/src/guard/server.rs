//! The guard's state of one server: its locality, whether it may get attempts, and the attempts sent to it in slow start.

use super::request::Locality;
use cottonnotch_decision::{Entry, Micros, ServerState, Settings};
use std::collections::VecDeque;

/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Time within which attempts to a draining or removed server must stop, in microseconds: `rules.stopSendingWithin` plus the
/// 50 ms by which every limit is longer when measured on sockets.
const STOP_WITHIN: Micros = 1_050_000;
/// Number of attempts per window below which the margin for random variation is wider, as in the platform's standing test.
const SMALL_COUNT: f64 = 30.0;

/// The tracked state of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct TrackedServer {
    pub locality: Locality,
    pub is_ready: bool,
    /// When the server stopped accepting new attempts.
    stopped_at: Micros,
    /// The server's weight as listed; 0 until a list has named the server.
    pub weight: f64,
    /// When the server's process started, according to the list.
    started: Option<Micros>,
    /// The latest time at which the server's current process was certainly not running yet, which bounds its age. `None` if
    /// unknown.
    not_running_at: Option<Micros>,
    /// Send times of the attempts in the current window, oldest first. Recorded only while the server is in slow start, so that
    /// the length is bounded by the attempts of one window.
    sent: VecDeque<Micros>,
}

impl TrackedServer {
    /// Applies the server's entry in a list; `previous_list` is when the list before that was applied, if there was one.
    pub fn listed(&mut self, now: Micros, entry: &Entry, previous_list: Option<Micros>) {
        let is_new = self.weight == 0.0;
        if is_new || self.started != entry.started {
            // A server in the first list may have started at any time before that list.
            self.not_running_at = previous_list.filter(|_| entry.started.is_some());
            self.sent.clear();
        }
        self.started = entry.started;
        if entry.state == ServerState::Ready {
            self.is_ready = true;
        } else {
            self.stop(now);
        }
        self.locality = (entry.zone, entry.cell);
        self.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// Marks the server as not accepting new attempts.
    pub fn stop(&mut self, now: Micros) {
        if std::mem::take(&mut self.is_ready) || self.weight == 0.0 {
            self.stopped_at = now;
        }
    }

    /// Whether an attempt may still reach the server. After the server has stopped, this holds for a short time, for attempts that
    /// were already being sent.
    pub fn may_be_reached(&self, now: Micros) -> bool {
        self.is_ready || now - self.stopped_at <= STOP_WITHIN
    }

    /// Counts an attempt to the server. Returns false if this proxy alone has sent more than all proxies together may send to a
    /// server of this age. The age is bounded by monotonic time only.
    pub fn count_attempt(&mut self, now: Micros, settings: &Settings, total_size: f64) -> bool {
        let Some(capacity_share) = self.slow_start_share(now, settings) else {
            self.sent.clear();
            return true;
        };
        let window = settings.overload_window;
        while self.sent.front().is_some_and(|at| now - at >= window) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        let fleet_share = settings.weights.size(self.weight) / total_size.max(1e-9);
        let filled_per_s =
            settings.allowance_open() * MICROS_PER_SECOND / settings.slow_start_window.max(1) as f64;
        let allowed =
            capacity_share * settings.overload_multiple * filled_per_s * fleet_share * window as f64
                / MICROS_PER_SECOND;
        self.sent.len() as f64 <= with_margin(allowed)
    }

    /// Returns the share of its capacity that the server has in slow start, for the highest age it can have. `None` if the server
    /// has finished slow start, its age is unknown, or the settings have no overload limit.
    fn slow_start_share(&self, now: Micros, settings: &Settings) -> Option<f64> {
        let age = now - self.not_running_at?;
        let is_configured = settings.overload_window > 0 && settings.allowance_open() > 0.0;
        let share = settings.share_at(age);
        (is_configured && share < 1.0).then_some(share)
    }
}

/// Returns the bound of the platform's standing test: N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 for N under 30.
fn with_margin(allowed: f64) -> f64 {
    let deviations = if allowed < SMALL_COUNT { 3.0 } else { 2.0 };
    allowed + deviations * allowed.sqrt() + deviations
}

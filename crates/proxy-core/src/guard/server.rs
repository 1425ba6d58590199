//! What the guard tracks of one server: its locality, whether it may get new work, and what it was sent in slow start.

use super::request::Locality;
use cottonnotch_decision::{Entry, Micros, ServerState, Settings};
use std::collections::VecDeque;

/// Microseconds of a second.
const SECOND: f64 = 1_000_000.0;
/// New work to a server that is draining or removed ends within this time, in microseconds (`rules.stopSendingWithin`; every
/// limit on sockets is 50 ms longer).
const STOP_WITHIN: Micros = 1_050_000;
/// Under so many connections a window, chance is given a wider margin, as in the platform's standing test.
const SMALL_COUNT: f64 = 30.0;

/// One server.
#[derive(Clone, Debug, Default)]
pub(super) struct TrackedServer {
    pub locality: Locality,
    pub is_ready: bool,
    /// Since when it may get no new work.
    stopped_at: Micros,
    /// Its size; 0 until a list has named it.
    pub weight: f64,
    /// When its process started, as the list says.
    started: Option<Micros>,
    /// The latest time at which this process of it was certainly not running: it can't be older than that. `None`: unknown.
    not_running_at: Option<Micros>,
    /// When it was sent attempts lately, oldest first. Bounded by what a window allows, as long as it is in slow start.
    sent: VecDeque<Micros>,
}

impl TrackedServer {
    /// A list names it; `previous_list` is when the list before that was taken, if there was one.
    pub fn listed(&mut self, now: Micros, entry: &Entry, previous_list: Option<Micros>) {
        let is_new = self.weight == 0.0;
        if is_new || self.started != entry.started {
            // What the first list names may have started at any time before it.
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

    /// It may get no new work from now on.
    pub fn stop(&mut self, now: Micros) {
        if std::mem::take(&mut self.is_ready) || self.weight == 0.0 {
            self.stopped_at = now;
        }
    }

    /// Whether an attempt may still reach it: one that was on its way when it stopped may.
    pub fn may_be_reached(&self, now: Micros) -> bool {
        self.is_ready || now - self.stopped_at <= STOP_WITHIN
    }

    /// Counts an attempt that is sent to it. False if that is more than all proxies together may send, by what is known of its
    /// age from monotonic time alone.
    pub fn count_attempt(&mut self, now: Micros, settings: &Settings, total_weight: f64) -> bool {
        let Some(capacity_share) = self.slow_start_share(now, settings) else {
            self.sent.clear();
            return true;
        };
        let window = settings.overload_window;
        while self.sent.front().is_some_and(|at| now - at >= window) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        let weight = if settings.weighted { self.weight } else { 1.0 };
        let fleet_share = weight / total_weight.max(1e-9);
        let filled_per_s = settings.allowance_open() * SECOND / settings.slow_start_window.max(1) as f64;
        let allowed =
            capacity_share * settings.overload_multiple * filled_per_s * fleet_share * window as f64 / SECOND;
        self.sent.len() as f64 <= with_margin(allowed)
    }

    /// The share of its capacity that it has for certain in slow start; `None`: it is warm, its age is unknown, or the settings
    /// don't say what it bears.
    fn slow_start_share(&self, now: Micros, settings: &Settings) -> Option<f64> {
        let age = now - self.not_running_at?;
        let is_configured = settings.overload_window > 0 && settings.allowance_open() > 0.0;
        let share = settings.share_at(age);
        (is_configured && share < 1.0).then_some(share)
    }
}

/// The bound of the platform's standing test: N + 2 x root of N + 2, and for N under 30 N + 3 x root of N + 3.
fn with_margin(allowed: f64) -> f64 {
    let deviations = if allowed < SMALL_COUNT { 3.0 } else { 2.0 };
    allowed + deviations * allowed.sqrt() + deviations
}

//! What the guard keeps of one server: its place, whether it may get anything new, and what it got while cold.

use super::request::Spot;
use cottonnotch_decision::{Entry, Micros, ServerState, Settings};
use std::collections::VecDeque;

const SECOND: f64 = 1_000_000.0;
/// New work to a server that drains or is gone ends within this time (`rules.stopSendingWithin`; every limit on sockets is 50 ms longer).
const STOP_WITHIN: Micros = 1_050_000;
/// Under so many connections a window, chance is given more room (standing test).
const FEW: f64 = 30.0;

/// One server.
#[derive(Clone, Debug, Default)]
pub(super) struct Watched {
    pub spot: Spot,
    pub is_ready: bool,
    /// Since when it may get nothing new.
    stopped: Micros,
    pub weight: f64,
    started: Option<Micros>,
    /// The latest moment at which it was certainly not running in its present life: it can't be older than that. `None`: unknown.
    born_after: Option<Micros>,
    /// When it was sent something lately, oldest first. Bounded by what a window allows, as long as it is cold.
    sent: VecDeque<Micros>,
}

impl Watched {
    /// A list names it; `heard` is when the list before that was taken, if there was one.
    pub fn listed(&mut self, now: Micros, entry: &Entry, heard: Option<Micros>) {
        let is_new = self.weight == 0.0;
        if is_new || self.started != entry.started {
            // What the first list names may have started at any time before it.
            self.born_after = heard.filter(|_| entry.started.is_some());
            self.sent.clear();
        }
        self.started = entry.started;
        if entry.state == ServerState::Ready {
            self.is_ready = true;
        } else {
            self.stop(now);
        }
        self.spot = (entry.zone, entry.cell);
        self.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// It may get nothing new from now on.
    pub fn stop(&mut self, now: Micros) {
        if std::mem::take(&mut self.is_ready) || self.weight == 0.0 {
            self.stopped = now;
        }
    }

    /// What was on its way when it was told to stop may still reach it.
    pub fn may_be_reached(&self, now: Micros) -> bool {
        self.is_ready || now - self.stopped <= STOP_WITHIN
    }

    /// Notes that something was sent; false if that is more than all proxies together may send, by what is known of its age from
    /// monotonic time alone.
    pub fn sent(&mut self, now: Micros, settings: &Settings, total_weight: f64) -> bool {
        let Some(share) = self.cold_share(now, settings) else {
            self.sent.clear();
            return true;
        };
        let window = settings.overload_window;
        while self.sent.front().is_some_and(|at| now - at >= window) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        let part = if settings.weighted { self.weight } else { 1.0 } / total_weight.max(1e-9);
        let filled_per_s = settings.allowance_open() * SECOND / settings.slow_start_window.max(1) as f64;
        let allowed = share * settings.overload_multiple * filled_per_s * part * window as f64 / SECOND;
        self.sent.len() as f64 <= with_chance(allowed)
    }

    /// The part of its capacity that it has for certain; `None`: it is warm, nobody knows, or the settings don't say what it bears.
    fn cold_share(&self, now: Micros, settings: &Settings) -> Option<f64> {
        let age = now - self.born_after?;
        let is_told = settings.overload_window > 0 && settings.allowance_open() > 0.0;
        let share = settings.share_at(age);
        (is_told && share < 1.0).then_some(share)
    }
}

/// The standing test's bound: N + 2 x root of N + 2, and for N under 30 N + 3 x root of N + 3.
fn with_chance(allowed: f64) -> f64 {
    let room = if allowed < FEW { 3.0 } else { 2.0 };
    allowed + room * allowed.sqrt() + room
}

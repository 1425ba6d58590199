//! The attempts of a client: when an attempt is due, its proxy, and its first line.

use super::lines::{Draw, FirstLineValues, first_line, random_draw, request_id};
use super::{Attempt, NextAttempt, Output, Outputs, Session, State, record};
use crate::observation::Seen;
use crate::plan::{ProxyId, Session as Planned};
use crate::time::{MS, Micros};
use rand::RngExt;

/// Maximum number of times that the backoff between series doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// A client with less time left makes no attempt, because no proxy could be held responsible for the outcome.
pub(super) const MIN_WAIT: Micros = 10 * MS;

impl Session {
    pub(super) fn start_attempt(
        &mut self,
        next: NextAttempt,
        admitted: &dyn Fn(ProxyId) -> bool,
        out: Outputs,
    ) {
        let due = next.due;
        if !self.arrived {
            self.arrived = true;
            let Planned { class, tenant, .. } = *self.planned();
            record(out, due, Seen::Wanted { session: self.id, class, tenant, until: self.until });
        }
        if next.starts_series {
            self.series_attempts = 0;
            self.series_deadline = (due + self.class().deadline).min(self.until);
        }
        self.series_attempts += 1;
        let request = request_id(self.plan.seed, self.id.0, self.attempts);
        self.attempts += 1;
        let patience = (self.class().deadline as f64 * self.planned().patience) as Micros;
        let gives_up_at = (due + patience).min(self.series_deadline);
        match self.choose_proxy(admitted) {
            Some(proxy) => {
                out.push(Output::Connect(proxy));
                self.state = State::Connecting(Attempt { due, proxy, request, gives_up_at });
            }
            None => self.state = State::Waiting(self.schedule_after_failure(due, 0)),
        }
    }

    /// Chooses a proxy as the front does: an admitted proxy of the client's zone, or any admitted proxy if the zone
    /// has none.
    pub(super) fn choose_proxy(&self, admitted: &dyn Fn(ProxyId) -> bool) -> Option<ProxyId> {
        let zone = self.planned().zone;
        let proxies = || (0..self.plan.proxies.len() as u16).map(ProxyId).filter(|p| admitted(*p));
        let same_zone = proxies().filter(|p| self.plan.proxies[usize::from(p.0)].zone == zone);
        let mut candidates: Vec<ProxyId> = same_zone.collect();
        if candidates.is_empty() {
            candidates = proxies().collect();
        }
        let last_index = candidates.len().checked_sub(1)?;
        let index = random_draw(self.planned().seed, Draw::Proxy, u64::from(self.attempts))
            .random_range(0..=last_index);
        candidates.get(index).copied()
    }

    /// The time of the next attempt after a failed one. `retry_after` is the time in its `BUSY MS`.
    pub(super) fn schedule_after_failure(&mut self, now: Micros, retry_after: Micros) -> NextAttempt {
        self.is_retry = true;
        let habits = &self.plan.habits;
        let honours = retry_after > 0
            && random_draw(self.planned().seed, Draw::Honour, 0).random::<f64>() < habits.honour;
        let retry_after = if honours { retry_after } else { 0 };
        let due = now + if honours { retry_after } else { habits.backoff };
        if self.series_attempts < habits.tries && due + MIN_WAIT <= self.series_deadline {
            return NextAttempt { due, starts_series: false };
        }
        let series_backoff = (habits.sulk << self.failed_series.min(MAX_BACKOFF_DOUBLINGS)).max(MIN_WAIT);
        self.failed_series += 1;
        NextAttempt { due: now + series_backoff.max(retry_after), starts_series: true }
    }

    /// The time of the next attempt after a break or a move.
    pub(super) fn schedule_after_break(&mut self, now: Micros) -> NextAttempt {
        self.lost_connection = true;
        let (least, most) = self.plan.habits.rejoin;
        let number = u64::from(self.attempts);
        let wait =
            random_draw(self.planned().seed, Draw::Rejoin, number).random_range(least..=most.max(least));
        NextAttempt { due: now + wait, starts_series: true }
    }

    pub(super) fn handle_connected(&mut self, now: Micros, out: Outputs) {
        let State::Connecting(attempt) = self.state else { return };
        let wait_ms = (attempt.gives_up_at - now) / MS;
        if wait_ms < 1 {
            // `d` is in whole milliseconds and must not be 0. The proxy was reached, but received no request.
            out.push(Output::Close);
            self.state = State::Waiting(self.schedule_after_failure(now, 0));
            return;
        }
        let repeat = self.is_retry && self.plan.habits.marks_retry;
        let values =
            FirstLineValues { request: attempt.request, wait_ms, repeat, again: self.lost_connection };
        out.push(Output::Send(first_line(&self.plan, self.planned(), values)));
        self.state = State::SendingFirstLine(attempt, wait_ms * MS);
    }

    pub(super) fn handle_written(&mut self, now: Micros, out: Outputs) {
        let State::SendingFirstLine(attempt, wait) = self.state else { return };
        let deadline = now + wait;
        let (request, proxy) = (attempt.request, attempt.proxy);
        record(out, now, Seen::Asked { request, session: self.id, proxy, deadline });
        self.state = State::Asked { attempt, deadline };
    }

    pub(super) fn handle_unreached(&mut self, now: Micros, out: Outputs) {
        let (State::Connecting(attempt) | State::SendingFirstLine(attempt, _)) = self.state else {
            return;
        };
        record(out, now, Seen::Unreached { session: self.id, proxy: attempt.proxy });
        self.state = State::Waiting(self.schedule_after_failure(now, 0));
    }
}

//! The tries of a client: when a try is due, its proxy, and its first line.

use super::words::{Draw, Opening, draw, first_line, request_id};
use super::{Next, Out, Output, Session, State, Try, note};
use crate::observation::Seen;
use crate::plan::{ProxyId, Session as Planned};
use crate::time::{MS, Micros};
use rand::RngExt;

/// Maximum number of times that the backoff between series doubles.
const SULK_DOUBLINGS: u32 = 4;
/// A client with less time left makes no try, because no proxy could be held responsible for the outcome.
pub(super) const LEAST_WAIT: Micros = 10 * MS;

impl Session {
    pub(super) fn begin_try(&mut self, next: Next, admitted: &dyn Fn(ProxyId) -> bool, out: Out) {
        let due = next.due;
        if !self.arrived {
            self.arrived = true;
            let Planned { class, tenant, .. } = *self.planned();
            note(out, due, Seen::Wanted { session: self.id, class, tenant, until: self.until });
        }
        if next.fresh {
            self.wish_tries = 0;
            self.wish_ends = (due + self.class().deadline).min(self.until);
        }
        self.wish_tries += 1;
        let request = request_id(self.plan.seed, self.id.0, self.tries);
        self.tries += 1;
        let patience = (self.class().deadline as f64 * self.planned().patience) as Micros;
        let gives_up = (due + patience).min(self.wish_ends);
        match self.pick(admitted) {
            Some(proxy) => {
                out.push(Output::Connect(proxy));
                self.state = State::Connecting(Try { due, proxy, request, gives_up });
            }
            None => self.state = State::Waiting(self.after_failure(due, 0)),
        }
    }

    /// Chooses a proxy as the front does: an admitted proxy of the client's zone, or any admitted proxy if the zone
    /// has none.
    pub(super) fn pick(&self, admitted: &dyn Fn(ProxyId) -> bool) -> Option<ProxyId> {
        let zone = self.planned().zone;
        let proxies = || (0..self.plan.proxies.len() as u16).map(ProxyId).filter(|p| admitted(*p));
        let near = proxies().filter(|p| self.plan.proxies[usize::from(p.0)].zone == zone);
        let mut choice: Vec<ProxyId> = near.collect();
        if choice.is_empty() {
            choice = proxies().collect();
        }
        let last = choice.len().checked_sub(1)?;
        let place = draw(self.planned().seed, Draw::Proxy, u64::from(self.tries)).random_range(0..=last);
        choice.get(place).copied()
    }

    /// The time of the next try after a failed one. `told` is the time of its `BUSY MS`.
    pub(super) fn after_failure(&mut self, now: Micros, told: Micros) -> Next {
        self.repeat = true;
        let habits = &self.plan.habits;
        let honours = told > 0 && draw(self.planned().seed, Draw::Honour, 0).random::<f64>() < habits.honour;
        let told = if honours { told } else { 0 };
        let due = now + if honours { told } else { habits.backoff };
        if self.wish_tries < habits.tries && due + LEAST_WAIT <= self.wish_ends {
            return Next { due, fresh: false };
        }
        let sulk = (habits.sulk << self.failed.min(SULK_DOUBLINGS)).max(LEAST_WAIT);
        self.failed += 1;
        Next { due: now + sulk.max(told), fresh: true }
    }

    /// The time of the next try after a break or a move.
    pub(super) fn after_break(&mut self, now: Micros) -> Next {
        self.again = true;
        let (least, most) = self.plan.habits.rejoin;
        let number = u64::from(self.tries);
        let wait = draw(self.planned().seed, Draw::Rejoin, number).random_range(least..=most.max(least));
        Next { due: now + wait, fresh: true }
    }

    pub(super) fn connected(&mut self, now: Micros, out: Out) {
        let State::Connecting(of) = self.state else { return };
        let wait_ms = (of.gives_up - now) / MS;
        if wait_ms < 1 {
            // `d` is in whole milliseconds and must not be 0. The proxy was reached, but received no request.
            out.push(Output::Close);
            self.state = State::Waiting(self.after_failure(now, 0));
            return;
        }
        let repeat = self.repeat && self.plan.habits.marks_retry;
        let opening = Opening { request: of.request, wait_ms, repeat, again: self.again };
        out.push(Output::Send(first_line(&self.plan, self.planned(), opening)));
        self.state = State::Opening(of, wait_ms * MS);
    }

    pub(super) fn written(&mut self, now: Micros, out: Out) {
        let State::Opening(of, wait) = self.state else { return };
        let deadline = now + wait;
        let (request, proxy) = (of.request, of.proxy);
        note(out, now, Seen::Asked { request, session: self.id, proxy, deadline });
        self.state = State::Asked { of, deadline };
    }

    pub(super) fn unreached(&mut self, now: Micros, out: Out) {
        let (State::Connecting(of) | State::Opening(of, _)) = self.state else { return };
        note(out, now, Seen::Unreached { session: self.id, proxy: of.proxy });
        self.state = State::Waiting(self.after_failure(now, 0));
    }
}

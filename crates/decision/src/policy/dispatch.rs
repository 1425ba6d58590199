//! What becomes of a request: an attempt on the next server, a place in the queue, a retry, or a final
//! answer.

use super::balancer::{Balancer, WAKE_UP};
use crate::interface::*;
use crate::pending_request::{DedupGroup, PendingRequest};
use crate::rules::RoutingVerdict;

/// What bounds the next attempt of a request, as its class, its client and the rules have it.
struct AttemptLimits {
    /// Time until the client gives up; `None`: not stated.
    left: Option<Micros>,
    /// Less time than this is too little for an attempt.
    shortest_attempt: Micros,
    /// Until when it may be queued.
    queue_until: Micros,
    /// Until when a repeat has no effect; `None`: without end, or nothing has run.
    repeat_until: Option<Micros>,
    /// The servers that drop its repeats, if an attempt may have run.
    dedup_group: Option<DedupGroup>,
    max_attempts: u32,
}

impl AttemptLimits {
    fn of(pending: &PendingRequest, verdict: &RoutingVerdict, settings: &Settings, now: Micros) -> Self {
        AttemptLimits {
            left: pending.deadline.map(|at| at.saturating_sub(now)),
            shortest_attempt: pending.shortest_attempt(settings),
            queue_until: pending.queue_until(settings),
            repeat_until: pending.repeat_until(settings),
            dedup_group: pending.dedup_group(settings),
            max_attempts: settings.attempts(pending.class()).min(verdict.attempts),
        }
    }

    /// Why no further attempt is made, wherever it went.
    fn rejection(&self, pending: &PendingRequest, now: Micros) -> Option<RejectionReason> {
        if pending.attempts_sent >= self.max_attempts {
            Some(RejectionReason::AttemptsExhausted)
        } else if self.left.is_some_and(|left| left < self.shortest_attempt) {
            Some(RejectionReason::DeadlineTooClose)
        } else {
            // No effect twice: also what was queued meanwhile is repeated only within its window.
            let is_over = self.repeat_until.is_some_and(|end| end <= now);
            is_over.then_some(RejectionReason::IdempotencyWindowOver)
        }
    }

    /// After this the attempt is ended as timed out; 0: when the client gives up. A silent server never
    /// rejects: the time-out leaves room for a retry.
    fn timeout(&self, pending: &PendingRequest, settings: &Settings) -> Micros {
        let target = settings.target(pending.class());
        match self.left {
            Some(left) if pending.attempts_sent + 1 < self.max_attempts => {
                target.unwrap_or(left).min(left / 2)
            }
            Some(_) => 0,
            None => target.unwrap_or(SECOND),
        }
    }
}

impl Balancer {
    /// Sends the request to the next server, queues it, or gives the final answer.
    pub(super) fn dispatch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.pending.get(&id).filter(|pending| pending.server.is_none()) else {
            return;
        };
        let evaluated = self.rules.as_mut().map(|rules| rules.evaluate(now, &pending.request));
        let verdict = evaluated.unwrap_or_default();
        let limits = AttemptLimits::of(pending, &verdict, &self.settings, now);
        let rejection = if self.shutting_down {
            Some(RejectionReason::ShuttingDown)
        } else {
            limits.rejection(pending, now)
        };
        if let Some(reason) = rejection {
            let retry_at = self.next_chance(now, &verdict, limits.dedup_group);
            return self.answer(now, id, retry_at, reason, out);
        }
        if let Some(after) = verdict.refuse {
            return self.answer(now, id, now.saturating_add(after), RejectionReason::RejectedByRule, out);
        }
        let not_before = verdict.not_before.unwrap_or(now);
        let server = if not_before <= now { self.pick(now, id, &verdict) } else { None };
        match server {
            Some(server) => self.send(now, id, server, &limits, out),
            None => {
                // What waits for its dedup group is answered as its window ends.
                let window_end = limits.repeat_until.unwrap_or(Micros::MAX);
                let next_chance = self.next_chance(now, &verdict, limits.dedup_group);
                let until = next_chance.max(not_before).min(window_end);
                self.queue(now, id, until, &limits, out);
            }
        }
    }

    /// Sends an attempt to the server that was picked.
    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        limits: &AttemptLimits,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.pending.get_mut(&id) else { return };
        let timeout = limits.timeout(pending, &self.settings);
        pending.attempt_sent(now, server, self.servers.get(server).map(|s| s.listing.locality));
        if let Some(rules) = &mut self.rules {
            rules.record_attempt(now, &pending.request, server);
        }
        if let Some(s) = self.servers.get_mut(server) {
            s.report_health(now, server, out);
        }
        // What comes up late is not written after its window.
        out.push(Action::Send { request: id, server, timeout, before: limits.repeat_until });
    }

    /// Queues a request until a server may take it; one that cannot wait so long is rejected at once, as the
    /// paper's send time-outs shorter than the pause left.
    fn queue(
        &mut self,
        now: Micros,
        id: RequestId,
        until: Micros,
        limits: &AttemptLimits,
        out: &mut Vec<Action>,
    ) {
        if until > limits.queue_until {
            return self.answer(now, id, until, RejectionReason::NoServer, out);
        }
        if self.requests.queued.is_empty() {
            out.push(Action::Log { notification: Notification::Queueing, server: None });
        }
        self.requests.queued.push(id);
        if self.requests.wake_up.is_none_or(|set| until < set) {
            self.requests.wake_up = Some(until);
            out.push(Action::Timer { after: until - now, token: WAKE_UP });
        }
    }

    /// The final answer to what cannot be placed: a rejection where that may be said, else a failure.
    fn answer(
        &mut self,
        now: Micros,
        id: RequestId,
        retry_at: Micros,
        reason: RejectionReason,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.pending.get(&id) else { return };
        let may_reject =
            pending.may_have_run.is_none() || self.settings.idempotency(pending.class()).may_reject();
        let longest = if self.settings.retry_after { self.settings.max_retry_after } else { 0 };
        let retry_after = (retry_at - now).min(longest);
        out.push(if may_reject {
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, reason }
        });
        self.finish(id);
    }

    /// An attempt has ended and the request is still owed an answer.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        id: RequestId,
        at: ServerId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let pending = self.requests.pending.get_mut(&id);
        let Some(pending) = pending.filter(|pending| pending.server == Some(at)) else { return };
        pending.attempt_ended(outcome);
        self.dispatch(now, id, out);
    }

    /// Dispatches anew all that is queued; what still finds no server is queued again.
    pub(super) fn dispatch_queued(&mut self, now: Micros, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.requests.queued) {
            self.dispatch(now, id, out);
        }
    }

    /// Nothing more is owed: forgets the request, in the queue and among its server's connections.
    pub(super) fn finish(&mut self, id: RequestId) {
        let server = self.requests.pending.remove(&id).and_then(|pending| pending.server);
        if let Some(s) = server.and_then(|server| self.servers.get_mut(server)) {
            s.connections.open.retain(|open| *open != id);
        }
        self.requests.queued.retain(|queued| *queued != id);
    }
}

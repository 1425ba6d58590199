//! Dispatch of requests: an attempt on the next server, a place in the queue, a retry, or the final answer.

use super::balancer::{Balancer, WAKE_UP};
use crate::interface::*;
use crate::pending_request::{DedupGroup, PendingRequest};
use crate::rules::RoutingVerdict;

/// Limits on the next attempt of a request, which follow from its class, its client and the routing rules.
struct AttemptLimits {
    /// Time until the client gives up; `None` if the client does not state any.
    time_left: Option<Micros>,
    /// The least time with which an attempt is made.
    shortest_attempt: Micros,
    /// Until when the request may be queued.
    queue_until: Micros,
    /// Until when a repeat has no effect; `None` if there is no such limit or no attempt may have run.
    repeat_until: Option<Micros>,
    /// The servers that drop repeats of the request; `None` if any server may get it.
    dedup_group: Option<DedupGroup>,
    max_attempts: u32,
}

impl AttemptLimits {
    fn of(pending: &PendingRequest, verdict: &RoutingVerdict, settings: &Settings, now: Micros) -> Self {
        AttemptLimits {
            time_left: pending.deadline.map(|at| at.saturating_sub(now)),
            shortest_attempt: pending.shortest_attempt(settings),
            queue_until: pending.queue_until(settings),
            repeat_until: pending.repeat_until(settings),
            dedup_group: pending.dedup_group(settings),
            max_attempts: settings.attempts(pending.class_index()).min(verdict.attempts),
        }
    }

    /// Returns the reason why no server may get a further attempt; `None` if one may.
    fn rejection(&self, pending: &PendingRequest, now: Micros) -> Option<RejectionReason> {
        if pending.attempts_sent >= self.max_attempts {
            Some(RejectionReason::AttemptsExhausted)
        } else if self.time_left.is_some_and(|left| left < self.shortest_attempt) {
            Some(RejectionReason::DeadlineTooClose)
        } else {
            // A request must not take effect twice, so a repeat that was queued is also sent only within
            // the idempotency window.
            let is_over = self.repeat_until.is_some_and(|end| end <= now);
            is_over.then_some(RejectionReason::IdempotencyWindowOver)
        }
    }

    /// Returns the time after which the attempt is ended as timed out; 0 means when the client gives up. A
    /// server that does not answer never rejects an attempt, so the time-out leaves time for a retry.
    fn timeout(&self, pending: &PendingRequest, settings: &Settings) -> Micros {
        let target = settings.target(pending.class_index());
        match self.time_left {
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
            let retry_at = self.next_attempt_at(now, &verdict, limits.dedup_group);
            return self.answer(now, id, retry_at, reason, out);
        }
        if let Some(after) = verdict.reject_with_retry_after {
            return self.answer(now, id, now.saturating_add(after), RejectionReason::RejectedByRule, out);
        }
        let not_before = verdict.not_before.unwrap_or(now);
        let server = if not_before <= now { self.pick(now, id, &verdict) } else { None };
        match server {
            Some(server) => self.send(now, id, server, &limits, out),
            None => {
                // A request that only its dedup group may repeat is answered when its idempotency window
                // ends.
                let window_end = limits.repeat_until.unwrap_or(Micros::MAX);
                let next_attempt_at = self.next_attempt_at(now, &verdict, limits.dedup_group);
                let until = next_attempt_at.max(not_before).min(window_end);
                self.queue(now, id, until, &limits, out);
            }
        }
    }

    /// Sends an attempt to the selected server.
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
        // The embedder writes nothing on a connection that is established after the idempotency window
        // ends.
        out.push(Action::Send { request: id, server, timeout, before: limits.repeat_until });
    }

    /// Queues a request until `until`, when a server may take it. A request that cannot wait until then is
    /// rejected at once, as PIP-385 does with send time-outs that are shorter than the rest of the pause.
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
        if self.requests.wake_up_at.is_none_or(|set| until < set) {
            self.requests.wake_up_at = Some(until);
            out.push(Action::Timer { after: until - now, token: WAKE_UP });
        }
    }

    /// Gives the final answer to a request that no server gets: a rejection if a retry by the client is
    /// safe, else a failure.
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
            pending.may_have_run.is_none() || self.settings.idempotency(pending.class_index()).may_reject();
        let max_retry_after = if self.settings.retry_after { self.settings.max_retry_after } else { 0 };
        let retry_after = (retry_at - now).min(max_retry_after);
        out.push(if may_reject {
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, reason }
        });
        self.finish(id);
    }

    /// Dispatches a request again after an attempt that ended without an answer for the client.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let pending = self.requests.pending.get_mut(&id);
        let Some(pending) = pending.filter(|pending| pending.server == Some(server)) else { return };
        pending.attempt_ended(outcome);
        self.dispatch(now, id, out);
    }

    /// Dispatches all queued requests again. Requests that still find no server return to the queue.
    pub(super) fn dispatch_queued(&mut self, now: Micros, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.requests.queued) {
            self.dispatch(now, id, out);
        }
    }

    /// Forgets a request whose client is owed nothing more. Removes it from the queue and from its server's
    /// connections.
    pub(super) fn finish(&mut self, id: RequestId) {
        let server = self.requests.pending.remove(&id).and_then(|pending| pending.server);
        if let Some(s) = server.and_then(|server| self.servers.get_mut(server)) {
            s.connections.open.retain(|open| *open != id);
        }
        self.requests.queued.retain(|queued| *queued != id);
    }
}

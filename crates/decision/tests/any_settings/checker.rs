//! Checks the invariants of a node from outside: from its requests, attempts, written lines, notifications
//! and answers. The checker does not see the internal state of the module.

use crate::routing_verdicts::RandomVerdicts;
use cottonnotch_decision::*;
use std::collections::BTreeMap;

/// The invariants. Each of them is broken by at least one mutant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each accepted request gets one final answer, in time.
    Answered,
    /// No request has two attempts in flight.
    OneAttemptInFlight,
    /// No request gets more attempts than its class allows.
    Attempts,
    /// No request is retried or rejected if a repeat could take effect twice.
    AtMostOneEffect,
    /// No attempt is sent to a server after the grace period that follows its notification as draining or
    /// removed.
    Draining,
    /// No attempt is sent for a request whose client has left.
    ClientClosed,
    /// Each attempt complies with the verdict of the rules at the time when it is sent.
    CompliesWithRules,
    /// No attempt is sent after the start of the shutdown, and all queued requests are answered.
    ShuttingDown,
}

/// A broken invariant, with a description. Tests show it if a simulation should have kept all invariants.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub struct Violation {
    pub invariant: Invariant,
    pub detail: String,
}

/// The parameters of the checks.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// How late an answer may be.
    pub slack: Micros,
    /// How long after its notification as draining a server may still get attempts.
    pub grace: Micros,
    /// The rules; `None` if the node has none.
    pub verdicts: Option<RandomVerdicts>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    locality: (ZoneId, u32),
    sent: Micros,
    /// When the first line of the attempt was written; `None` if it was not written.
    written: Option<Micros>,
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

#[derive(Clone, Debug)]
struct RequestState {
    idempotency: Idempotency,
    max_attempts: u32,
    deadline: Option<Micros>,
    attempts: Vec<Attempt>,
    /// Why the request needs no answer any more: it was answered, is up, or its client left. `None` if it
    /// still needs one.
    settled: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerRecord {
    locality: (ZoneId, u32),
    /// When the server was notified as draining or removed; `None` if it may be used.
    withdrawn_at: Option<Micros>,
}

#[derive(Debug)]
pub struct Checker {
    parameters: Parameters,
    requests: BTreeMap<RequestId, RequestState>,
    servers: BTreeMap<ServerId, ServerRecord>,
    shutdown: Option<Micros>,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn new(parameters: Parameters) -> Self {
        let (requests, servers) = (BTreeMap::new(), BTreeMap::new());
        Checker { parameters, requests, servers, shutdown: None, violations: Vec::new() }
    }

    fn report(&mut self, invariant: Invariant, detail: String) {
        self.violations.push(Violation { invariant, detail });
    }

    // ---- events that the node is notified of ----

    pub fn list(&mut self, now: Micros, full: bool, entries: &[Entry]) {
        if full {
            self.servers.values_mut().for_each(|known| known.withdrawn_at = known.withdrawn_at.or(Some(now)));
        }
        for entry in entries {
            let known = self.servers.entry(entry.server).or_default();
            known.locality = (entry.zone, entry.cell);
            known.withdrawn_at =
                if entry.state == ServerState::Ready { None } else { known.withdrawn_at.or(Some(now)) };
        }
    }

    pub fn request(&mut self, now: Micros, request: &Request, class: &Class) {
        let deadline = request.left.map(|left| now.saturating_add(left));
        let (idempotency, max_attempts) = (class.idempotency, class.attempts);
        let state = RequestState { idempotency, max_attempts, deadline, attempts: Vec::new(), settled: None };
        self.requests.insert(request.id, state);
    }

    /// Records that the connection was already up when the node started. It counts as the first attempt.
    pub fn open(&mut self, now: Micros, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.attempts.push(Attempt {
                locality: Default::default(),
                sent: now,
                written: Some(now),
                outcome: None,
            });
            state.settled = Some("it is up");
        }
    }

    pub fn client_closed(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.settled = state.settled.or(Some("its client left"));
        }
    }

    pub fn shutdown(&mut self, now: Micros) {
        self.shutdown = Some(now);
    }

    // ---- progress of attempts ----

    pub fn written(&mut self, now: Micros, id: RequestId, number: usize) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.attempts[number].written = Some(now);
        let (attempts, idempotency) = (state.attempts.clone(), state.idempotency);
        let Idempotency::Keyed { window, .. } = idempotency else { return };
        for earlier in attempts[..number].iter().filter(|earlier| earlier.may_have_run()) {
            if now >= earlier.sent + window {
                let after = now - earlier.sent;
                let detail =
                    format!("{id:?}: written {after} us after an attempt that may have run, window {window}");
                return self.report(Invariant::AtMostOneEffect, detail);
            }
        }
    }

    pub fn established(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.settled = state.settled.or(Some("it is up"));
        }
    }

    pub fn ended(&mut self, id: RequestId, number: usize, outcome: Outcome) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.attempts[number].outcome = Some(outcome);
        }
    }

    // ---- actions of the node ----

    pub fn action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Send { request, server, .. } => self.send(now, *request, *server),
            Action::Reject { request, .. } => self.answer(now, *request, true),
            Action::Fail { request, .. } => self.answer(now, *request, false),
            _ => {}
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId) {
        let known = self.servers.get(&server).copied();
        if self.shutdown.is_some() {
            self.report(Invariant::ShuttingDown, format!("{id:?} is sent at {now}, during the shutdown"));
        }
        let grace = self.parameters.grace;
        let late = known.is_none_or(|known| known.withdrawn_at.is_some_and(|at| now > at + grace));
        if late {
            let detail = format!("{id:?} is sent to {server:?} at {now}, grace {grace}: {known:?}");
            self.report(Invariant::Draining, detail);
        }
        let sent = self.requests.get(&id).map_or(0, |state| state.attempts.len());
        if let Some(verdict) = self.parameters.verdicts.map(|verdicts| verdicts.verdict(now, id)) {
            let early = verdict.not_before.is_some_and(|at| now < at);
            let exhausted = sent >= verdict.attempts as usize;
            if early || exhausted || verdict.reject_with_retry_after.is_some() || !verdict.allows(server) {
                let detail =
                    format!("{id:?} is sent to {server:?} at {now} after {sent} others: {verdict:?}");
                self.report(Invariant::CompliesWithRules, detail);
            }
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return self.report(Invariant::Answered, format!("{id:?} is sent, but was never requested"));
        };
        let locality = known.unwrap_or_default().locality;
        let earlier = state.attempts.clone();
        state.attempts.push(Attempt { locality, sent: now, written: None, outcome: None });
        let (idempotency, max_attempts, settled) = (state.idempotency, state.max_attempts, state.settled);
        if let Some(why) = settled {
            let invariant =
                if why == "its client left" { Invariant::ClientClosed } else { Invariant::Answered };
            self.report(invariant, format!("{id:?} is sent at {now}, but {why}"));
        }
        if earlier.len() >= max_attempts as usize {
            self.report(
                Invariant::Attempts,
                format!("{id:?}: attempt {} of {max_attempts}", earlier.len() + 1),
            );
        }
        if earlier.iter().any(|attempt| attempt.outcome.is_none()) {
            self.report(
                Invariant::OneAttemptInFlight,
                format!("{id:?}: two attempts in flight at {now}: {earlier:?}"),
            );
        }
        for first in earlier.iter().filter(|attempt| attempt.may_have_run()) {
            let harmless = match idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NotIdempotent => false,
                Idempotency::Keyed { scope, window } => {
                    let counts = match scope {
                        Scope::All => true,
                        Scope::Zone => first.locality.0 == locality.0,
                        Scope::Cell => first.locality.1 == locality.1,
                    };
                    counts && now < first.sent + window
                }
            };
            if !harmless {
                let detail =
                    format!("{id:?}, {idempotency:?}: sent to {locality:?} at {now} after {first:?}");
                return self.report(Invariant::AtMostOneEffect, detail);
            }
        }
    }

    fn answer(&mut self, now: Micros, id: RequestId, is_rejection: bool) {
        let Some(state) = self.requests.get_mut(&id) else {
            return self.report(Invariant::Answered, format!("{id:?} is answered, but was never requested"));
        };
        let settled = state.settled.replace("it is answered");
        let (idempotency, deadline, attempts) = (state.idempotency, state.deadline, state.attempts.clone());
        if let Some(why) = settled {
            self.report(Invariant::Answered, format!("{id:?} is answered at {now}, but {why}"));
        }
        if let Some(late) = deadline.map(|at| now - at).filter(|late| *late > self.parameters.slack) {
            self.report(Invariant::Answered, format!("{id:?} is answered {late} us after its deadline"));
        }
        let may_have_run = attempts.iter().any(Attempt::may_have_run);
        let may_reject =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Keyed { scope: Scope::All, .. });
        if is_rejection && may_have_run && !may_reject {
            self.report(
                Invariant::AtMostOneEffect,
                format!("{id:?}, {idempotency:?}: rejected after {attempts:?}"),
            );
        }
    }

    // ---- time ----

    /// Records that time has advanced to `now`, and checks for answers that are overdue.
    pub fn advance_to(&mut self, now: Micros) {
        let slack = self.parameters.slack;
        let mut broken = Vec::new();
        for (id, state) in self.requests.iter_mut().filter(|(_, state)| state.settled.is_none()) {
            let in_flight = state.attempts.iter().any(|attempt| attempt.outcome.is_none());
            if let Some(at) = state.deadline.filter(|at| now > at.saturating_add(slack)) {
                broken.push((
                    Invariant::Answered,
                    format!("{id:?} has no answer at {now}, its deadline was {at}"),
                ));
                state.settled = Some("it is lost");
            } else if self.shutdown.is_some_and(|at| now > at) && !in_flight {
                broken.push((
                    Invariant::ShuttingDown,
                    format!("{id:?} is still queued at {now}, during the shutdown"),
                ));
                state.settled = Some("it is lost");
            }
        }
        broken.into_iter().for_each(|(invariant, detail)| self.report(invariant, detail));
        // Finished requests are kept, so that a second answer to one of them is detected.
    }

    /// Checks at the end of the simulation that each request was answered. The simulation leaves enough time
    /// for all answers.
    pub fn finish(&mut self) {
        let unanswered: Vec<RequestId> =
            self.requests.iter().filter(|(_, state)| state.settled.is_none()).map(|(id, _)| *id).collect();
        for id in unanswered {
            self.report(Invariant::Answered, format!("{id:?} was never answered"));
        }
    }
}

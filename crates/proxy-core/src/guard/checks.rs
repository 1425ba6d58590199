//! The guard itself: each step, and the rules that it may violate.

use super::request::{ClassRules, PendingAttempt, PendingRequest};
use super::server::TrackedServer;
use super::violation::{Violation, Violations};
use cottonnotch_decision::{Entry, Micros, Outcome, Request, RequestId, ServerId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// A final answer that the proxy itself gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Rejected; a retry is harmless.
    Rejected,
    /// Failed, no promise.
    Failed,
}

/// What a list of servers stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All servers: one that it doesn't name has been removed.
    Complete,
    /// Changes to the previous list.
    Changes,
}

/// The guard of one proxy.
#[derive(Debug, Default)]
pub struct Guard {
    settings: Settings,
    servers: Vec<TrackedServer>,
    /// Summed weight of the servers that are ready.
    total_weight: f64,
    /// When the latest list was taken.
    latest_list: Option<Micros>,
    /// Requests that await their final answer.
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Requests whose connections are established.
    established: BTreeSet<RequestId>,
    violations: Violations,
}

/// Whether a step violates a rule, and which.
pub type GuardResult = Result<(), Violation>;

impl Guard {
    /// A guard under these settings.
    pub fn new(settings: Settings) -> Self {
        Guard { settings, ..Guard::default() }
    }

    /// Applies changed settings. Classes keep their numbers.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// How often each kind was seen.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    // ---- servers ----

    /// A list counts from now on.
    pub fn listed(&mut self, now: Micros, scope: ListScope, entries: &[Entry]) {
        if scope == ListScope::Complete {
            self.servers.iter_mut().for_each(|server| server.stop(now));
        }
        for entry in entries {
            let index = entry.server.0 as usize;
            if index >= self.servers.len() {
                self.servers.resize_with(index + 1, TrackedServer::default);
            }
            self.servers[index].listed(now, entry, self.latest_list);
        }
        let ready = self.servers.iter().filter(|server| server.is_ready);
        let weighted = self.settings.weighted;
        self.total_weight = ready.map(|server| if weighted { server.weight } else { 1.0 }).sum();
        self.latest_list = Some(now);
    }

    // ---- requests ----

    /// A client's request was taken: one final answer is due.
    pub fn requested(&mut self, now: Micros, request: &Request) {
        let deadline = request.left.map(|left| now.saturating_add(left));
        self.pending.insert(request.id, PendingRequest::new(usize::from(request.class.0), deadline));
    }

    /// A connection from before the start is established again.
    pub fn reestablished(&mut self, request: &Request) {
        self.established.insert(request.id);
    }

    /// Checks an attempt that is about to be sent. It must not be sent if this fails; a slow start's budget is counted all the
    /// same.
    pub fn check_attempt(&mut self, now: Micros, id: RequestId, server: ServerId) -> GuardResult {
        let checked = self.start_attempt(now, id, server);
        self.counted(checked)
    }

    fn start_attempt(&mut self, now: Micros, id: RequestId, server: ServerId) -> GuardResult {
        let request = self.pending.get_mut(&id).ok_or(Violation::AttemptWithoutRequest)?;
        if request.attempt.is_some() {
            return Err(Violation::ConcurrentAttempt);
        }
        let rules = class_rules(&self.settings, request.class);
        if request.attempts >= rules.attempts {
            return Err(Violation::TooManyAttempts);
        }
        let tracked = self.servers.get_mut(server.0 as usize).filter(|tracked| tracked.is_ready);
        let tracked = tracked.ok_or(Violation::AttemptToStoppedServer)?;
        request.check_retry(rules, tracked.locality, now)?;
        request.attempts += 1;
        request.attempt = Some(PendingAttempt { server, locality: tracked.locality, sent: now });
        if tracked.count_attempt(now, &self.settings, self.total_weight) {
            Ok(())
        } else {
            Err(Violation::SlowStartOverBudget)
        }
    }

    /// The last byte of the attempt's line was written: from now on it may run.
    pub fn attempt_written(&mut self, now: Micros, id: RequestId) -> GuardResult {
        let Some(request) = self.pending.get(&id) else { return Ok(()) };
        let Some(attempt) = request.attempt else { return Ok(()) };
        let server = self.servers.get(attempt.server.0 as usize);
        let may_be_reached = server.is_some_and(|server| server.may_be_reached(now));
        let rules = class_rules(&self.settings, request.class);
        let retry = request.check_retry(rules, attempt.locality, now);
        let checked = if may_be_reached { retry } else { Err(Violation::AttemptToStoppedServer) };
        self.counted(checked)
    }

    /// The attempt under way ended without an established connection.
    pub fn attempt_ended(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(request) = self.pending.get_mut(&id) {
            request.attempt_ended(outcome);
        }
    }

    /// The attempt under way established the connection, which is the final answer.
    pub fn established(&mut self, now: Micros, id: RequestId) -> GuardResult {
        let checked = match self.pending.remove(&id) {
            Some(request) => {
                self.established.insert(id);
                check_in_time(&request, now)
            }
            None => Err(Violation::AnswerWithoutRequest),
        };
        self.counted(checked)
    }

    /// The proxy gives a final answer now.
    pub fn answered(&mut self, now: Micros, id: RequestId, answer: FinalAnswer) -> GuardResult {
        let checked = self.check_answer(now, id, answer);
        self.pending.remove(&id);
        self.counted(checked)
    }

    fn check_answer(&self, now: Micros, id: RequestId, answer: FinalAnswer) -> GuardResult {
        let request = self.pending.get(&id).ok_or(Violation::AnswerWithoutRequest)?;
        if request.attempt.is_some() {
            return Err(Violation::AnsweredDuringAttempt);
        }
        if answer == FinalAnswer::Rejected {
            request.check_rejection(class_rules(&self.settings, request.class))?;
        }
        check_in_time(request, now)
    }

    /// The client has left before its answer: none is due any more.
    pub fn client_left(&mut self, id: RequestId) {
        self.pending.remove(&id);
    }

    /// An established connection has ended, or is ended with `MOVE`.
    pub fn closed(&mut self, id: RequestId) -> GuardResult {
        let was_established = self.established.remove(&id);
        self.counted(was_established.then_some(()).ok_or(Violation::ClosedNotEstablished))
    }

    /// Requests whose time for an answer has passed by now; each is returned and counted once.
    pub fn overdue(&mut self, now: Micros) -> Vec<RequestId> {
        let overdue =
            self.pending.iter_mut().filter_map(|(id, request)| request.newly_overdue(now).then_some(*id));
        let overdue: Vec<RequestId> = overdue.collect();
        overdue.iter().for_each(|_| self.violations.count(Violation::Unanswered));
        overdue
    }

    /// The process ends: returns the requests that still await an answer. Those that were overdue before are not counted
    /// again.
    pub fn finish(&mut self) -> Vec<RequestId> {
        let unanswered = self.pending.iter().filter(|(_, request)| !request.was_overdue());
        let unanswered: Vec<RequestId> = unanswered.map(|(id, _)| *id).collect();
        unanswered.iter().for_each(|_| self.violations.count(Violation::Unanswered));
        unanswered
    }

    fn counted(&mut self, checked: GuardResult) -> GuardResult {
        checked.inspect_err(|violation| self.violations.count(*violation))
    }
}

fn class_rules(settings: &Settings, class: usize) -> ClassRules {
    ClassRules { idempotency: settings.idempotency(class), attempts: settings.attempts(class) }
}

/// An answer to a request that is lost violates the deadline, unless it was counted as overdue before.
fn check_in_time(request: &PendingRequest, now: Micros) -> GuardResult {
    if request.is_lost_at(now) && !request.was_overdue() { Err(Violation::AnsweredLate) } else { Ok(()) }
}

//! The guard: checks each step of the proxy against the rules.

use super::request::{ClassRules, PendingAttempt, PendingRequest};
use super::server::TrackedServer;
use super::violation::{Violation, Violations};
use cottonnotch_decision::{Entry, Micros, Outcome, Request, RequestId, ServerId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// A final answer from the proxy itself, without an established connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request is rejected, and a retry is safe.
    Rejected,
    /// The request has failed; a retry may not be safe.
    Failed,
}

/// Whether a list of servers is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The list has all servers; a server that is missing from it has been removed.
    Complete,
    /// The list has changes to the previous list.
    Changes,
}

/// The guard of one proxy.
#[derive(Debug, Default)]
pub struct Guard {
    settings: Settings,
    servers: Vec<TrackedServer>,
    /// Sum of the sizes of all ready servers.
    total_size: f64,
    /// When the latest list was applied.
    latest_list: Option<Micros>,
    /// Requests that await their final answer.
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Requests with an established connection.
    established: BTreeSet<RequestId>,
    violations: Violations,
}

/// The result of a check: the violated rule as the error, if any.
pub type GuardResult = Result<(), Violation>;

impl Guard {
    /// Creates a guard with the given settings.
    pub fn new(settings: Settings) -> Self {
        Guard { settings, ..Guard::default() }
    }

    /// Applies changed settings. The numbers of existing classes must not change.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
        self.update_total_size();
    }

    fn update_total_size(&mut self) {
        let ready = self.servers.iter().filter(|server| server.is_ready);
        self.total_size = ready.map(|server| self.settings.weights.size(server.weight)).sum();
    }

    /// Returns the number of violations of each kind.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    // ---- servers ----

    /// Applies a list of servers.
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
        self.update_total_size();
        self.latest_list = Some(now);
    }

    // ---- requests ----

    /// Records a client's request, which must get exactly one final answer.
    pub fn requested(&mut self, now: Micros, request: &Request) {
        let deadline = request.left.map(|left| now.saturating_add(left));
        self.pending.insert(request.id, PendingRequest::new(usize::from(request.class.0), deadline));
    }

    /// Records a connection that was established before this process started.
    pub fn reestablished(&mut self, request: &Request) {
        self.established.insert(request.id);
    }

    /// Checks an attempt before it is sent. The attempt must not be sent if the check fails. An attempt that exceeds the slow-start
    /// budget is still counted towards that budget.
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
        if tracked.count_attempt(now, &self.settings, self.total_size) {
            Ok(())
        } else {
            Err(Violation::SlowStartOverBudget)
        }
    }

    /// Checks an attempt whose line has been written completely, so that the server may run it from now on.
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

    /// Records that the pending attempt ended without an established connection.
    pub fn attempt_ended(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(request) = self.pending.get_mut(&id) {
            request.attempt_ended(outcome);
        }
    }

    /// Checks a connection that the pending attempt has established, which is the request's final answer.
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

    /// Checks a final answer from the proxy itself.
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

    /// Records that the client has left before its final answer, so that no answer is required.
    pub fn client_left(&mut self, id: RequestId) {
        self.pending.remove(&id);
    }

    /// Checks the end of an established connection, which has ended by itself or is ended with `MOVE`.
    pub fn closed(&mut self, id: RequestId) -> GuardResult {
        let was_established = self.established.remove(&id);
        self.counted(was_established.then_some(()).ok_or(Violation::ClosedNotEstablished))
    }

    /// Returns the requests that count as lost without an answer. Each request is returned and counted once.
    pub fn overdue(&mut self, now: Micros) -> Vec<RequestId> {
        let overdue =
            self.pending.iter_mut().filter_map(|(id, request)| request.newly_overdue(now).then_some(*id));
        let overdue: Vec<RequestId> = overdue.collect();
        overdue.iter().for_each(|_| self.violations.count(Violation::Unanswered));
        overdue
    }

    /// Ends the checks at the end of the process: returns and counts the requests without a final answer, except those that
    /// [`Self::overdue`] has already counted.
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

/// Checks that a request that is answered now does not count as lost. A request that was already counted as overdue is not
/// counted again.
fn check_in_time(request: &PendingRequest, now: Micros) -> GuardResult {
    if request.is_lost_at(now) && !request.was_overdue() { Err(Violation::AnsweredLate) } else { Ok(()) }
}

//! The guard itself: which step breaks which rule.

use super::request::{AttemptOut, ClassRules, Tracked};
use super::server::Watched;
use super::violation::{Violation, Violations};
use cottonnotch_decision::{Entry, Micros, Outcome, Request, RequestId, ServerId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// A final answer that the proxy itself gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Turned away; trying again is harmless.
    Refused,
    /// Failed, no promise.
    Failed,
}

/// The guard of one proxy.
#[derive(Debug, Default)]
pub struct Guard {
    settings: Settings,
    servers: Vec<Watched>,
    total_weight: f64,
    /// When the last list was taken.
    heard: Option<Micros>,
    /// Those that are owed an answer, and those that are up.
    owed: BTreeMap<RequestId, Tracked>,
    up: BTreeSet<RequestId>,
    violations: Violations,
}

/// What a step comes to.
pub type GuardResult = Result<(), Violation>;

impl Guard {
    /// A guard under these settings.
    pub fn new(settings: Settings) -> Self {
        Guard { settings, ..Guard::default() }
    }

    /// The settings have changed. Classes keep their numbers.
    pub fn set(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// How often each kind was seen.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    // ---- servers ----

    /// A list, or changes of it, counts from now on; whole lists leave out who is gone.
    pub fn listed(&mut self, now: Micros, full: bool, entries: &[Entry]) {
        if full {
            self.servers.iter_mut().for_each(|server| server.stop(now));
        }
        for entry in entries {
            let index = entry.server.0 as usize;
            if index >= self.servers.len() {
                self.servers.resize_with(index + 1, Watched::default);
            }
            self.servers[index].listed(now, entry, self.heard);
        }
        let ready = self.servers.iter().filter(|server| server.is_ready);
        let weighted = self.settings.weighted;
        self.total_weight = ready.map(|server| if weighted { server.weight } else { 1.0 }).sum();
        self.heard = Some(now);
    }

    // ---- requests ----

    /// A client's request was taken: one final answer is owed.
    pub fn requested(&mut self, now: Micros, request: &Request) {
        let deadline = request.left.map(|left| now.saturating_add(left));
        self.owed.insert(request.id, Tracked::new(usize::from(request.class.0), deadline));
    }

    /// A connection from before the start is up again.
    pub fn reopened(&mut self, request: &Request) {
        self.up.insert(request.id);
    }

    /// An attempt is to be sent now. It must not be where this fails; a cold server's budget is counted all the same.
    pub fn send(&mut self, now: Micros, id: RequestId, server: ServerId) -> GuardResult {
        let checked = self.check_send(now, id, server);
        self.counted(checked)
    }

    fn check_send(&mut self, now: Micros, id: RequestId, server: ServerId) -> GuardResult {
        let tracked = self.owed.get_mut(&id).ok_or(Violation::SentUnowed)?;
        if tracked.out.is_some() {
            return Err(Violation::SecondAttemptOut);
        }
        let rules = class_rules(&self.settings, tracked.class);
        if tracked.attempts >= rules.attempts {
            return Err(Violation::TooManyAttempts);
        }
        let watched = self.servers.get_mut(server.0 as usize).filter(|watched| watched.is_ready);
        let watched = watched.ok_or(Violation::SentToStopped)?;
        tracked.check_repeat(rules, watched.spot, now)?;
        tracked.attempts += 1;
        tracked.out = Some(AttemptOut { server, spot: watched.spot, sent: now });
        if watched.sent(now, &self.settings, self.total_weight) {
            Ok(())
        } else {
            Err(Violation::ColdOverBudget)
        }
    }

    /// The last byte of the attempt's line is written: from now on it may run.
    pub fn written(&mut self, now: Micros, id: RequestId) -> GuardResult {
        let Some(tracked) = self.owed.get(&id) else { return Ok(()) };
        let Some(out) = tracked.out else { return Ok(()) };
        let server = self.servers.get(out.server.0 as usize);
        let may_be_reached = server.is_some_and(|server| server.may_be_reached(now));
        let rules = class_rules(&self.settings, tracked.class);
        let repeat = tracked.check_repeat(rules, out.spot, now);
        let checked = if may_be_reached { repeat } else { Err(Violation::SentToStopped) };
        self.counted(checked)
    }

    /// The attempt that was out has ended without having been up.
    pub fn attempt_ended(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(tracked) = self.owed.get_mut(&id) {
            tracked.ended(outcome);
        }
    }

    /// The attempt that was out brought the connection up, which is the final answer.
    pub fn up(&mut self, now: Micros, id: RequestId) -> GuardResult {
        let checked = match self.owed.remove(&id) {
            Some(tracked) => {
                self.up.insert(id);
                on_time(&tracked, now)
            }
            None => Err(Violation::AnsweredUnowed),
        };
        self.counted(checked)
    }

    /// The proxy gives a final answer now.
    pub fn answered(&mut self, now: Micros, id: RequestId, answer: FinalAnswer) -> GuardResult {
        let checked = self.check_answer(now, id, answer);
        self.owed.remove(&id);
        self.counted(checked)
    }

    fn check_answer(&self, now: Micros, id: RequestId, answer: FinalAnswer) -> GuardResult {
        let tracked = self.owed.get(&id).ok_or(Violation::AnsweredUnowed)?;
        if tracked.out.is_some() {
            return Err(Violation::AnsweredWhileOut);
        }
        if answer == FinalAnswer::Refused {
            tracked.check_refusal(class_rules(&self.settings, tracked.class))?;
        }
        on_time(tracked, now)
    }

    /// The client has left before its answer: nothing is owed any more.
    pub fn client_left(&mut self, id: RequestId) {
        self.owed.remove(&id);
    }

    /// A connection that was up has ended, or is ended with `MOVE`.
    pub fn closed(&mut self, id: RequestId) -> GuardResult {
        let was_up = self.up.remove(&id);
        self.counted(was_up.then_some(()).ok_or(Violation::ClosedUnserved))
    }

    /// Requests whose time for an answer has passed by now; each is given and counted once.
    pub fn overdue(&mut self, now: Micros) -> Vec<RequestId> {
        let late = self.owed.iter_mut().filter_map(|(id, t)| t.newly_overdue(now).then_some(*id));
        let late: Vec<RequestId> = late.collect();
        late.iter().for_each(|_| self.violations.count(Violation::Unanswered));
        late
    }

    /// The process ends: requests that are still owed an answer. Those that were overdue before are not counted again.
    pub fn finish(&mut self) -> Vec<RequestId> {
        let owed = self.owed.iter().filter(|(_, tracked)| !tracked.was_overdue());
        let owed: Vec<RequestId> = owed.map(|(id, _)| *id).collect();
        owed.iter().for_each(|_| self.violations.count(Violation::Unanswered));
        owed
    }

    fn counted(&mut self, checked: GuardResult) -> GuardResult {
        checked.inspect_err(|violation| self.violations.count(*violation))
    }
}

fn class_rules(settings: &Settings, class: usize) -> ClassRules {
    ClassRules { idempotency: settings.idempotency(class), attempts: settings.attempts(class) }
}

fn on_time(tracked: &Tracked, now: Micros) -> GuardResult {
    if tracked.is_lost_at(now) && !tracked.was_overdue() { Err(Violation::AnsweredLate) } else { Ok(()) }
}

//! The state of one request, and the limits on it that follow from its class. No decisions are made here.

use crate::interface::{Idempotency, Micros, Outcome, Request, Scope, ServerId, Settings, ZoneId};

/// The client wait for which the two times below are stated. They shrink in proportion for clients that
/// wait less. A client that states no wait is assumed to wait this long.
const REFERENCE_WAIT: Micros = 1_000_000;
/// Time between the answer to a client and the moment the client gives up.
const ANSWER_MARGIN: Micros = 30_000;
/// The least time that must be left for an attempt to be made.
const MIN_ATTEMPT_TIME: Micros = 60_000;

/// A server's zone and cell.
pub(crate) type Locality = (ZoneId, u32);

/// The servers that recognise and drop repeats of one keyed request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DedupGroup {
    scope: Scope,
    locality: Locality,
}

impl DedupGroup {
    /// Whether a server at this locality belongs to the group.
    pub(crate) fn contains(self, locality: Locality) -> bool {
        !self.scope.separates(locality, self.locality)
    }
}

/// A request that is still owed an answer, or the connection that it became.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// The request as the client sent it, except that the load is kept up to date.
    pub(crate) request: Request,
    pub(crate) deadline: Option<Micros>,
    arrived_at: Micros,
    pub(crate) attempts_sent: u32,
    /// The server of the current attempt or connection; `None` while the request has neither.
    pub(crate) server: Option<ServerId>,
    pub(crate) tried: Vec<ServerId>,
    /// Locality of the last attempt's server at the time of sending, and that time. The locality is stored
    /// here because a server may come back at another one.
    last_attempt: Option<(Locality, Micros)>,
    /// Locality and send time of the first attempt that may have run.
    pub(crate) may_have_run: Option<(Locality, Micros)>,
}

impl PendingRequest {
    pub(crate) fn new(request: Request, now: Micros) -> Self {
        PendingRequest {
            deadline: request.left.map(|left| now.saturating_add(left)),
            request,
            arrived_at: now,
            attempts_sent: 0,
            server: None,
            tried: Vec::new(),
            last_attempt: None,
            may_have_run: None,
        }
    }

    /// Creates the state of a connection that was already open on `server` before this instance started.
    /// The connection counts as attempt 0.
    pub(crate) fn adopted(request: Request, now: Micros, server: ServerId, locality: Locality) -> Self {
        PendingRequest {
            attempts_sent: 1,
            server: Some(server),
            last_attempt: Some((locality, now)),
            ..PendingRequest::new(request, now)
        }
    }

    /// Records that an attempt was sent to `server`, which is at `locality`.
    pub(crate) fn attempt_sent(&mut self, now: Micros, server: ServerId, locality: Option<Locality>) {
        self.attempts_sent += 1;
        self.server = Some(server);
        self.last_attempt = locality.map(|locality| (locality, now));
        self.tried.push(server);
    }

    /// Records that the current attempt ended without an answer for the client.
    pub(crate) fn attempt_ended(&mut self, outcome: Outcome) {
        self.server = None;
        if !outcome.never_ran() {
            self.may_have_run = self.may_have_run.or(self.last_attempt);
        }
    }

    /// Returns the index of the request's class in [`Settings::classes`].
    pub(crate) fn class_index(&self) -> usize {
        usize::from(self.request.class.0)
    }

    /// Returns the priority weight of the request for each unit of its load.
    pub(crate) fn weight_per_load(&self, settings: &Settings) -> f64 {
        let weight = settings.classes.get(self.class_index()).map_or(1.0, |c| c.priority_weight);
        let load = if settings.weight_by_work { 1.0 } else { self.request.load_hint.unwrap_or(1.0) };
        weight / load.max(1e-9)
    }

    /// Scales a time that is stated for [`REFERENCE_WAIT`] down to the wait of this client. Without
    /// scaling, requests of a class whose deadline is a tenth of that would never be attempted.
    fn scaled_to_wait(&self, settings: &Settings, at_reference_wait: Micros) -> Micros {
        let stated_wait =
            settings.classes.get(self.class_index()).map(|c| c.deadline).filter(|deadline| *deadline > 0);
        let wait = stated_wait.or(self.request.left).unwrap_or(REFERENCE_WAIT).clamp(0, REFERENCE_WAIT);
        at_reference_wait * wait / REFERENCE_WAIT
    }

    /// Returns the least time with which an attempt of this request is made.
    pub(crate) fn shortest_attempt(&self, settings: &Settings) -> Micros {
        self.scaled_to_wait(settings, MIN_ATTEMPT_TIME)
    }

    /// Returns until when the request may be queued. A request without a deadline waits for the length of
    /// one pause.
    pub(crate) fn queue_until(&self, settings: &Settings) -> Micros {
        let Some(deadline) = self.deadline else { return self.arrived_at.saturating_add(REFERENCE_WAIT) };
        // Timers fire only with the next batch of events, which is up to one `step` later.
        let margin = self.scaled_to_wait(settings, ANSWER_MARGIN).max(settings.step.min(ANSWER_MARGIN));
        deadline.saturating_sub(margin + self.shortest_attempt(settings))
    }

    /// Returns the time until which a repeat has no effect; `None` if there is no such limit or no attempt
    /// may have run.
    pub(crate) fn repeat_until(&self, settings: &Settings) -> Option<Micros> {
        let idempotency = settings.idempotency(self.class_index());
        self.may_have_run.and_then(|(_, sent)| idempotency.repeat_until(sent))
    }

    /// Returns the servers that drop repeats of this request; `None` if the request is not keyed or no
    /// attempt may have run.
    pub(crate) fn dedup_group(&self, settings: &Settings) -> Option<DedupGroup> {
        let Idempotency::Keyed { scope, .. } = settings.idempotency(self.class_index()) else { return None };
        self.may_have_run.map(|(locality, _)| DedupGroup { scope, locality })
    }
}

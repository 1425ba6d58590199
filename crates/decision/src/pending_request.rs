//! What a node knows of one request, and what its class makes of that. Nothing is decided here.

use crate::interface::{Idempotency, Micros, Outcome, Request, Scope, ServerId, Settings, ZoneId};

/// A client that waits no longer than this leaves less time for answers and attempts. One that states no time waits so long.
const SECOND: Micros = 1_000_000;
/// Of a second that a client waits: an answer leaves so long before it gives up ...
const ANSWER_MARGIN: Micros = 30_000;
/// ... and an attempt that leaves less than this is not made.
const SHORTEST_ATTEMPT: Micros = 60_000;

/// A server's zone and cell.
pub(crate) type Locality = (ZoneId, u32);

/// The servers that drop the repeats of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DedupGroup {
    scope: Scope,
    locality: Locality,
}

impl DedupGroup {
    /// A server there is one of them.
    pub(crate) fn contains(self, locality: Locality) -> bool {
        !self.scope.separates(locality, self.locality)
    }
}

/// A request to which something is owed, or the connection that was made of it.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// As the client made it; the load as updated since.
    pub(crate) request: Request,
    pub(crate) deadline: Option<Micros>,
    arrived: Micros,
    pub(crate) attempts_sent: u32,
    /// Where an attempt or the connection is; `None`: nowhere at the moment.
    pub(crate) server: Option<ServerId>,
    pub(crate) tried: Vec<ServerId>,
    /// The last attempt: where its server was when it was sent, and when that was. A server may come back elsewhere.
    last_attempt: Option<(Locality, Micros)>,
    /// The first attempt that may have run.
    pub(crate) may_have_run: Option<(Locality, Micros)>,
}

impl PendingRequest {
    pub(crate) fn new(request: Request, now: Micros) -> Self {
        PendingRequest {
            deadline: request.left.map(|left| now.saturating_add(left)),
            request,
            arrived: now,
            attempts_sent: 0,
            server: None,
            tried: Vec::new(),
            last_attempt: None,
            may_have_run: None,
        }
    }

    /// A connection that already runs on that server, as attempt 0.
    pub(crate) fn adopted(request: Request, now: Micros, server: ServerId, locality: Locality) -> Self {
        PendingRequest {
            attempts_sent: 1,
            server: Some(server),
            last_attempt: Some((locality, now)),
            ..PendingRequest::new(request, now)
        }
    }

    /// An attempt goes out to that server, which is there.
    pub(crate) fn attempt_sent(&mut self, now: Micros, server: ServerId, locality: Option<Locality>) {
        self.attempts_sent += 1;
        self.server = Some(server);
        self.last_attempt = locality.map(|locality| (locality, now));
        self.tried.push(server);
    }

    /// The attempt that was out has ended without an answer for the client.
    pub(crate) fn attempt_ended(&mut self, outcome: Outcome) {
        self.server = None;
        if !outcome.never_ran() {
            self.may_have_run = self.may_have_run.or(self.last_attempt);
        }
    }

    /// Its class, by the settings' number.
    pub(crate) fn class(&self) -> usize {
        usize::from(self.request.class.0)
    }

    /// Priority weight for the load that it brings.
    pub(crate) fn value(&self, settings: &Settings) -> f64 {
        let weight = settings.classes.get(self.class()).map_or(1.0, |c| c.priority_weight);
        let load = if settings.weight_by_work { 1.0 } else { self.request.load_hint.unwrap_or(1.0) };
        weight / load.max(1e-9)
    }

    /// A figure for clients that wait a second, scaled to this one. Guards against classes of a tenth of that, which would
    /// never be tried.
    fn scaled_to_wait(&self, settings: &Settings, for_a_second: Micros) -> Micros {
        let stated = settings.classes.get(self.class()).map(|c| c.deadline).filter(|deadline| *deadline > 0);
        let wait = stated.or(self.request.left).unwrap_or(SECOND).clamp(0, SECOND);
        for_a_second * wait / SECOND
    }

    /// An attempt that leaves less time than this is not made.
    pub(crate) fn shortest_attempt(&self, settings: &Settings) -> Micros {
        self.scaled_to_wait(settings, SHORTEST_ATTEMPT)
    }

    /// Until when it may be queued. With no time stated, a request waits for one pause.
    pub(crate) fn queue_until(&self, settings: &Settings) -> Micros {
        let Some(deadline) = self.deadline else { return self.arrived.saturating_add(SECOND) };
        // A timer fires with the next batch.
        let margin = self.scaled_to_wait(settings, ANSWER_MARGIN).max(settings.step.min(ANSWER_MARGIN));
        deadline.saturating_sub(margin + self.shortest_attempt(settings))
    }

    /// Until when a repeat has no effect; `None`: without end, or nothing has run.
    pub(crate) fn repeat_until(&self, settings: &Settings) -> Option<Micros> {
        let idempotency = settings.idempotency(self.class());
        self.may_have_run.and_then(|(_, sent)| idempotency.repeat_until(sent))
    }

    /// The servers that drop its repeats, if an attempt may have run.
    pub(crate) fn dedup_group(&self, settings: &Settings) -> Option<DedupGroup> {
        let Idempotency::Keyed { scope, .. } = settings.idempotency(self.class()) else { return None };
        self.may_have_run.map(|(locality, _)| DedupGroup { scope, locality })
    }
}

//! What a node knows of one request, and what its class makes of that. Nothing is decided here.

use crate::interface::{Idempotency, Micros, Request, Scope, ServerId, Settings, ZoneId};

/// A client that waits no longer than this leaves less time for answers and tries. One that tells no time waits so long.
const SECOND: Micros = 1_000_000;
/// Of a second that a client waits: an answer leaves so long before it gives up ...
const ANSWER_MARGIN: Micros = 30_000;
/// ... and a try that leaves less than this is not made.
const LEAST_TRY: Micros = 60_000;

/// A server's zone and cell.
pub(crate) type Locality = (ZoneId, u32);

/// The servers that drop the repeats of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Group {
    scope: Scope,
    spot: Locality,
}

impl Group {
    /// A server there is one of them.
    pub(crate) fn holds(self, spot: Locality) -> bool {
        !self.scope.separates(spot, self.spot)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// As it was asked for; the load as noted since.
    pub(crate) request: Request,
    pub(crate) deadline: Option<Micros>,
    pub(crate) arrived: Micros,
    pub(crate) sent: u32,
    pub(crate) at: Option<ServerId>,
    pub(crate) tried: Vec<ServerId>,
    /// The last attempt: where its server was when it was sent, and when that was. A server may come back elsewhere.
    pub(crate) last: Option<(Locality, Micros)>,
    /// The first attempt that may have run.
    pub(crate) may_have_run: Option<(Locality, Micros)>,
}

impl PendingRequest {
    pub(crate) fn new(request: Request, now: Micros) -> Self {
        PendingRequest {
            deadline: request.left.map(|left| now.saturating_add(left)),
            request,
            arrived: now,
            sent: 0,
            at: None,
            tried: Vec::new(),
            last: None,
            may_have_run: None,
        }
    }

    /// Its class, by the settings' number.
    pub(crate) fn class(&self) -> usize {
        usize::from(self.request.class.0)
    }

    /// Worth for the load it brings.
    pub(crate) fn value(&self, settings: &Settings) -> f64 {
        let worth = settings.classes.get(self.class()).map_or(1.0, |c| c.priority_weight);
        let load = if settings.weight_by_work { 1.0 } else { self.request.load_hint.unwrap_or(1.0) };
        worth / load.max(1e-9)
    }

    /// A figure for clients that wait a second, for this one. Guards against classes of a tenth of that, which would
    /// never be tried.
    fn of_its_time(&self, settings: &Settings, of_a_second: Micros) -> Micros {
        let told = settings.classes.get(self.class()).map(|c| c.deadline).filter(|deadline| *deadline > 0);
        let waits = told.or(self.request.left).unwrap_or(SECOND).clamp(0, SECOND);
        of_a_second * waits / SECOND
    }

    /// A try that leaves less time than this is not made.
    pub(crate) fn least_try(&self, settings: &Settings) -> Micros {
        self.of_its_time(settings, LEAST_TRY)
    }

    /// Until when it may be held. With no time told, a request waits for one pause.
    pub(crate) fn last_call(&self, settings: &Settings) -> Micros {
        let Some(deadline) = self.deadline else { return self.arrived.saturating_add(SECOND) };
        // A timer rings with the next batch.
        let margin = self.of_its_time(settings, ANSWER_MARGIN).max(settings.step.min(ANSWER_MARGIN));
        deadline.saturating_sub(margin + self.least_try(settings))
    }

    /// Until when a repeat has no effect; `None`: without end, or nothing has run.
    pub(crate) fn repeat_until(&self, settings: &Settings) -> Option<Micros> {
        let effect = settings.idempotency(self.class());
        self.may_have_run.and_then(|(_, sent)| effect.repeat_until(sent))
    }

    /// The servers that drop its repeats, if an attempt may have run.
    pub(crate) fn bound_to(&self, settings: &Settings) -> Option<Group> {
        let Idempotency::Keyed { scope, .. } = settings.idempotency(self.class()) else { return None };
        self.may_have_run.map(|(spot, _)| Group { scope, spot })
    }
}

//! What the guard keeps of one request.

use super::violation::Violation;
use cottonnotch_decision::{Idempotency, Micros, Outcome, ServerId, ZoneId};

/// Up to so long after its deadline an answer only earns nothing; after that the request is lost (standing test).
pub(super) const LOST_AFTER: Micros = 500_000;

/// A server's zone and cell.
pub(super) type Spot = (ZoneId, u32);

/// What its class allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassRules {
    pub idempotency: Idempotency,
    pub attempts: u32,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOut {
    pub server: ServerId,
    pub spot: Spot,
    pub sent: Micros,
}

/// One request that is owed an answer.
#[derive(Clone, Debug)]
pub(super) struct Tracked {
    pub class: usize,
    pub attempts: u32,
    pub out: Option<AttemptOut>,
    deadline: Option<Micros>,
    /// The first attempt that may have run: where, and when it was sent.
    may_have_run: Option<(Spot, Micros)>,
    /// That no answer came in time was counted.
    overdue: bool,
}

impl Tracked {
    pub fn new(class: usize, deadline: Option<Micros>) -> Self {
        Tracked { class, attempts: 0, out: None, deadline, may_have_run: None, overdue: false }
    }

    /// Whether an attempt may be sent to a server there now, as far as earlier ones tell.
    pub fn check_repeat(&self, rules: ClassRules, spot: Spot, now: Micros) -> Result<(), Violation> {
        let Some((first_spot, first_sent)) = self.may_have_run else { return Ok(()) };
        match rules.idempotency {
            Idempotency::Idempotent => Ok(()),
            Idempotency::NotIdempotent => Err(Violation::RepeatedUnsafe),
            Idempotency::Keyed { scope, .. } if scope.separates(first_spot, spot) => {
                Err(Violation::RepeatedElsewhere)
            }
            Idempotency::Keyed { window, .. } if now >= first_sent.saturating_add(window) => {
                Err(Violation::RepeatedLate)
            }
            Idempotency::Keyed { .. } => Ok(()),
        }
    }

    /// Whether a refusal may be said now.
    pub fn check_refusal(&self, rules: ClassRules) -> Result<(), Violation> {
        let allowed = self.may_have_run.is_none() || rules.idempotency.may_reject();
        allowed.then_some(()).ok_or(Violation::RefusedAfterEffect)
    }

    /// An attempt has ended.
    pub fn ended(&mut self, outcome: Outcome) {
        let Some(out) = self.out.take() else { return };
        if !outcome.never_ran() {
            self.may_have_run.get_or_insert((out.spot, out.sent));
        }
    }

    /// An answer at that time is too late to count.
    pub fn is_lost_at(&self, now: Micros) -> bool {
        self.deadline.is_some_and(|deadline| now > deadline.saturating_add(LOST_AFTER))
    }

    /// It is overdue; true once.
    pub fn newly_overdue(&mut self, now: Micros) -> bool {
        self.is_lost_at(now) && !std::mem::replace(&mut self.overdue, true)
    }

    /// That no answer came in time was counted already.
    pub fn was_overdue(&self) -> bool {
        self.overdue
    }
}

//! The ids of open requests, and of ended ones that must not run again. An id may be open once at a time at the whole proxy, which
//! may have several processes during a hot restart. While this process is alone, its ids are in memory only. While others are
//! alive, a thread publishes them in a file ([`table`]) and looks for each new id in the files of the others ([`worker`]); a
//! request waits for that meanwhile.
//!
//! No process accepts clients before all others that publish their ids have acknowledged it: from then on, each of them publishes
//! an id before it looks for it at the new one. Locks on the files tell which processes are alive.

mod exchange;
mod layout;
mod pending_claims;
mod sibling_table;
mod table;
mod used_ids;
mod worker;

#[cfg(test)]
#[path = "open_ids_tests.rs"]
mod tests;

pub use layout::IdKind;
pub use table::TableFile;
pub use used_ids::MAX_USED_IDS;
pub use worker::{ClaimOutcome, Sibling};

use crate::net::connection_request::ConnectionRequest;
use crate::net::driver::context::{CLAIM_TIMER, Context};
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{Idempotency, Micros};
use cottonnotch_reactor::Key;
use exchange::Exchange;
use pending_claims::{PendingClaim, PendingClaims};
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use used_ids::UsedIds;

/// How long a claim may take. A request whose claim takes longer is rejected: it is unknown whether its id is open.
const CLAIM_TIMEOUT: Micros = 400_000;

/// A request whose claim has ended.
#[derive(Debug)]
pub struct ClaimedRequest {
    /// The client's connection.
    pub key: Key,
    /// The request, with the time that is left of it now.
    pub request: ConnectionRequest,
    /// How the claim ended.
    pub outcome: ClaimOutcome,
}

/// Why an id is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdState {
    /// Its request is in progress, or its claim is pending.
    Open(IdKind),
    /// Its request has ended, may have run, and must not run again.
    Used,
}

impl IdState {
    fn kind(self) -> IdKind {
        match self {
            IdState::Open(kind) => kind,
            IdState::Used => IdKind::Once,
        }
    }
}

/// The open ids of this process, and their exchange with other processes.
#[derive(Default)]
pub struct OpenIds {
    /// All ids that are taken at this process.
    taken: HashMap<u64, IdState>,
    used: UsedIds,
    /// Exchange with other processes; `None` until there is one for the first time.
    exchange: Option<Exchange>,
    pending: PendingClaims,
    /// Ids of ended processes that must not run again and are claimed here.
    inherited: Vec<u64>,
}

impl OpenIds {
    /// Why the id is taken at this process; `None` if it is not.
    pub fn state(&self, id: u64) -> Option<IdState> {
        self.taken.get(&id).copied()
    }

    /// Claims the id of a request; the id must not be taken at this process. Returns the request if its id is granted at once.
    /// Otherwise [`Self::settle`] or [`Self::expire`] returns it later.
    pub fn claim(
        &mut self,
        context: &mut Context,
        key: Key,
        request: ConnectionRequest,
    ) -> Option<ConnectionRequest> {
        let kind = kind_of(&context.config.profile, &request);
        self.taken.insert(request.id, IdState::Open(kind));
        let Some(exchange) = self.exchange.as_mut().filter(|exchange| exchange.is_active()) else {
            return Some(request);
        };
        let began = context.now();
        let timeout = request.time_left.map_or(CLAIM_TIMEOUT, |left| left.min(CLAIM_TIMEOUT));
        let claim = PendingClaim { key, id: request.id, request: Some(request), began };
        let id = claim.id;
        let number = self.pending.insert(claim, began + timeout);
        exchange.claim(number, id, kind);
        context.set_timer(timeout, CLAIM_TIMER);
        None
    }

    /// Releases an id whose request is over.
    pub fn release(&mut self, id: u64) {
        if self.taken.remove(&id).is_some()
            && let Some(exchange) = self.exchange.as_mut().filter(|exchange| exchange.is_active())
        {
            exchange.release(id);
        }
    }

    /// Keeps an id whose request is over, may have run, and must not run again.
    pub fn retire(&mut self, now: Micros, id: u64) {
        if self.taken.insert(id, IdState::Used) != Some(IdState::Used)
            && let Some(forgotten) = self.used.insert(now, id)
        {
            self.release(forgotten);
        }
    }

    /// Releases the ids that were kept for long enough.
    pub fn release_expired(&mut self, now: Micros) {
        while let Some(id) = self.used.next_expired(now) {
            self.release(id);
        }
    }

    /// Returns the requests whose claims have ended. An id that was granted is open until it is released.
    pub fn settle(&mut self, now: Micros) -> Vec<ClaimedRequest> {
        let ended = self.exchange.as_mut().map(Exchange::ended_claims).unwrap_or_default();
        let mut settled = Vec::new();
        for (number, outcome) in ended {
            let Some(PendingClaim { key, id, request, began }) = self.pending.remove(number) else {
                continue;
            };
            if outcome != ClaimOutcome::Granted {
                self.taken.remove(&id);
            }
            match request {
                Some(request) => {
                    settled.push(ClaimedRequest { key, request: request.after(now - began), outcome });
                }
                // The request was rejected because its claim took too long.
                None => self.release(id),
            }
        }
        self.retire_inherited(now);
        settled
    }

    /// Keeps the ids of ended processes that must not run again. An id whose claim is pending is kept once the claim has ended.
    fn retire_inherited(&mut self, now: Micros) {
        self.inherited.extend(self.exchange.as_mut().map(Exchange::inherited).unwrap_or_default());
        for id in std::mem::take(&mut self.inherited) {
            match self.state(id) {
                Some(IdState::Open(_)) => self.inherited.push(id),
                Some(IdState::Used) => {}
                None => self.retire(now, id),
            }
        }
    }

    /// Returns the requests whose claims take too long. Their ids stay open until the claims end.
    pub fn expire(&mut self, now: Micros) -> Vec<ClaimedRequest> {
        let expired = self.pending.expire(now).into_iter();
        expired
            .map(|(key, request)| ClaimedRequest { key, request, outcome: ClaimOutcome::Unavailable })
            .collect()
    }

    /// Tells which other processes are alive. `file` is this process's own table, if it could be created yet. Fails if the thread
    /// cannot be started; the caller may retry.
    pub fn set_siblings(
        &mut self,
        context: &mut Context,
        started_unix: Micros,
        file: Option<&Arc<TableFile>>,
        siblings: &[Sibling],
    ) -> io::Result<()> {
        if self.exchange.is_none() && !siblings.is_empty() {
            let file = Arc::clone(file.ok_or(io::ErrorKind::NotFound)?);
            self.exchange = Some(Exchange::start(&mut context.reactor, started_unix, file)?);
        }
        if let Some(exchange) = &mut self.exchange {
            exchange.set_siblings(siblings, || {
                self.taken.iter().map(|(id, state)| (*id, state.kind())).collect()
            });
        }
        Ok(())
    }

    /// Whether all these processes respect the ids of this one.
    pub fn is_acknowledged_by(&self, siblings: &[Sibling]) -> bool {
        siblings.is_empty()
            || self.exchange.as_ref().is_some_and(|exchange| exchange.is_acknowledged_by(siblings))
    }
}

/// Whether a request may run again once it may have run.
fn kind_of(profile: &Profile, request: &ConnectionRequest) -> IdKind {
    let idempotency = profile.class(&request.class).map(|class| profile.settings.idempotency(class as usize));
    if idempotency.is_some_and(Idempotency::may_reject) { IdKind::Repeatable } else { IdKind::Once }
}

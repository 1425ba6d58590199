//! The ids of open requests. An id may be open once at a time at the whole proxy, which may have several processes during a hot
//! restart. While this process is alone, its ids are in memory only. While others are alive, a thread publishes them in a file
//! ([`table`]) and looks for each new id in the files of the others ([`worker`]); a request waits for that meanwhile.
//!
//! No process accepts clients before all others that publish their ids have acknowledged it: from then on, each of them publishes
//! an id before it looks for it at the new one. Locks on the files tell which processes are alive.

mod exchange;
mod layout;
mod pending_claims;
mod sibling_table;
mod table;
mod worker;

#[cfg(test)]
#[path = "open_ids_tests.rs"]
mod tests;

pub use table::TableFile;
pub use worker::{ClaimOutcome, Sibling};

use crate::net::connection_request::ConnectionRequest;
use crate::net::driver::context::{CLAIM_TIMER, Context};
use cottonnotch_decision::Micros;
use cottonnotch_reactor::Key;
use exchange::Exchange;
use pending_claims::{PendingClaim, PendingClaims};
use std::collections::HashSet;
use std::io;
use std::sync::Arc;

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

/// The open ids of this process, and their exchange with other processes.
#[derive(Default)]
pub struct OpenIds {
    /// The ids of requests in progress and of pending claims.
    open: HashSet<u64>,
    /// Exchange with other processes; `None` until there is one for the first time.
    exchange: Option<Exchange>,
    pending: PendingClaims,
}

impl OpenIds {
    /// Whether the id is open at this process.
    pub fn contains(&self, id: u64) -> bool {
        self.open.contains(&id)
    }

    /// Claims the id of a request; the id must not be open at this process. Returns the request if its id is granted at once.
    /// Otherwise [`Self::settle`] or [`Self::expire`] returns it later.
    pub fn claim(
        &mut self,
        context: &mut Context,
        key: Key,
        request: ConnectionRequest,
    ) -> Option<ConnectionRequest> {
        self.open.insert(request.id);
        let Some(exchange) = self.exchange.as_mut().filter(|exchange| exchange.is_active()) else {
            return Some(request);
        };
        let began = context.now();
        let timeout = request.time_left.map_or(CLAIM_TIMEOUT, |left| left.min(CLAIM_TIMEOUT));
        let claim = PendingClaim { key, id: request.id, request: Some(request), began };
        let id = claim.id;
        let number = self.pending.insert(claim, began + timeout);
        exchange.claim(number, id);
        context.set_timer(timeout, CLAIM_TIMER);
        None
    }

    /// Releases an id whose request is over.
    pub fn release(&mut self, id: u64) {
        if self.open.remove(&id)
            && let Some(exchange) = self.exchange.as_mut().filter(|exchange| exchange.is_active())
        {
            exchange.release(id);
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
                self.open.remove(&id);
            }
            match request {
                Some(request) => {
                    settled.push(ClaimedRequest { key, request: request.after(now - began), outcome });
                }
                // The request was rejected because its claim took too long.
                None => self.release(id),
            }
        }
        settled
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
            exchange.set_siblings(siblings, &self.open);
        }
        Ok(())
    }

    /// Whether all these processes respect the ids of this one.
    pub fn is_acknowledged_by(&self, siblings: &[Sibling]) -> bool {
        siblings.is_empty()
            || self.exchange.as_ref().is_some_and(|exchange| exchange.is_acknowledged_by(siblings))
    }
}

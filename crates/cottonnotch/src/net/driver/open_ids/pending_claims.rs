//! Requests that wait until it is known whether their ids are open at another process.

use crate::net::connection_request::ConnectionRequest;
use cottonnotch_decision::Micros;
use cottonnotch_reactor::Key;
use std::collections::{BTreeMap, BTreeSet};

/// A claim that has not ended.
#[derive(Debug)]
pub struct PendingClaim {
    /// The client's connection.
    pub key: Key,
    /// The claimed id.
    pub id: u64,
    /// The request; `None` once it was rejected because the claim took too long.
    pub request: Option<ConnectionRequest>,
    /// When the claim began.
    pub began: Micros,
}

/// All claims that have not ended, by their numbers. Their count is bounded by that of the clients' connections.
#[derive(Debug, Default)]
pub struct PendingClaims {
    by_number: BTreeMap<u64, PendingClaim>,
    /// When claims expire whose requests are not answered yet.
    expiries: BTreeSet<(Micros, u64)>,
    last_number: u64,
}

impl PendingClaims {
    /// Adds a claim that expires at this time, and returns its number.
    pub fn insert(&mut self, claim: PendingClaim, expires: Micros) -> u64 {
        self.last_number += 1;
        self.by_number.insert(self.last_number, claim);
        self.expiries.insert((expires, self.last_number));
        self.last_number
    }

    /// Removes a claim that has ended.
    pub fn remove(&mut self, number: u64) -> Option<PendingClaim> {
        self.by_number.remove(&number)
    }

    /// Takes the requests whose claims have expired by now.
    pub fn expire(&mut self, now: Micros) -> Vec<(Key, ConnectionRequest)> {
        let mut expired = Vec::new();
        while let Some((expires, number)) = self.expiries.first().copied()
            && expires <= now
        {
            self.expiries.pop_first();
            // A claim that has ended has no entry any more.
            let claim = self.by_number.get_mut(&number);
            expired.extend(claim.and_then(|claim| Some((claim.key, claim.request.take()?))));
        }
        expired
    }
}

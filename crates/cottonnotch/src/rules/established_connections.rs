//! This proxy's standing connections and the limits that they count under.

use cottonnotch_decision::{Request, RequestId, ServerId};
use cottonnotch_rule_compiler::LimitId;
use std::collections::HashMap;

/// A connection, or an attempt that may become one.
#[derive(Debug)]
struct Stand {
    request: Request,
    server: ServerId,
    limits: Vec<LimitId>,
}

/// All of them.
#[derive(Debug, Default)]
pub struct Standing {
    stands: HashMap<RequestId, Stand>,
    counts: HashMap<LimitId, u64>,
}

impl Standing {
    /// It stands there, and counts under these. Where it stood before it does no more.
    pub fn insert(&mut self, request: &Request, server: ServerId, limits: Vec<LimitId>) {
        self.remove(request.id);
        for limit in &limits {
            *self.counts.entry(*limit).or_default() += 1;
        }
        self.stands.insert(request.id, Stand { request: request.clone(), server, limits });
    }

    /// It stands no more.
    pub fn remove(&mut self, request: RequestId) {
        let Some(stand) = self.stands.remove(&request) else { return };
        for limit in stand.limits {
            if let Some(count) = self.counts.get_mut(&limit) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&limit);
                }
            }
        }
    }

    /// How many count under this.
    pub fn of(&self, limit: LimitId) -> u64 {
        self.counts.get(&limit).copied().unwrap_or(0)
    }

    /// Limits are others now.
    pub fn recount(&mut self, limits: impl Fn(&Request, ServerId) -> Vec<LimitId>) {
        self.counts.clear();
        for stand in self.stands.values_mut() {
            stand.limits = limits(&stand.request, stand.server);
            for limit in &stand.limits {
                *self.counts.entry(*limit).or_default() += 1;
            }
        }
    }
}

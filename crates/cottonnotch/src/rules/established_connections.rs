//! This proxy's established connections, with a count for each connection limit.

use cottonnotch_decision::{Request, RequestId, ServerId};
use cottonnotch_rule_compiler::LimitId;
use std::collections::HashMap;

/// A connection, or an attempt that may become a connection.
#[derive(Debug)]
struct EstablishedConnection {
    request: Request,
    server: ServerId,
    limits: Vec<LimitId>,
}

/// The established connections and the counts by limit. The size is bounded by the number of connections and of the plan's
/// limits.
#[derive(Debug, Default)]
pub struct EstablishedConnections {
    connections: HashMap<RequestId, EstablishedConnection>,
    counts: HashMap<LimitId, u64>,
}

impl EstablishedConnections {
    /// Adds a request's connection, which counts towards these limits. An earlier connection of the request is replaced.
    pub fn insert(&mut self, request: &Request, server: ServerId, limits: Vec<LimitId>) {
        self.remove(request.id);
        increment_counts(&mut self.counts, &limits);
        self.connections
            .insert(request.id, EstablishedConnection { request: request.clone(), server, limits });
    }

    /// Removes the connection of a request. Does nothing if the request has none.
    pub fn remove(&mut self, request: RequestId) {
        let Some(connection) = self.connections.remove(&request) else { return };
        for limit in connection.limits {
            if let Some(count) = self.counts.get_mut(&limit) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&limit);
                }
            }
        }
    }

    /// The number of connections that count towards this limit.
    pub fn count(&self, limit: LimitId) -> u64 {
        self.counts.get(&limit).copied().unwrap_or(0)
    }

    /// Recomputes all counts. `limits` returns the limits that a connection of the request to the server counts towards.
    pub fn recount(&mut self, limits: impl Fn(&Request, ServerId) -> Vec<LimitId>) {
        self.counts.clear();
        for connection in self.connections.values_mut() {
            connection.limits = limits(&connection.request, connection.server);
            increment_counts(&mut self.counts, &connection.limits);
        }
    }
}

fn increment_counts(counts: &mut HashMap<LimitId, u64>, limits: &[LimitId]) {
    for limit in limits {
        *counts.entry(*limit).or_default() += 1;
    }
}

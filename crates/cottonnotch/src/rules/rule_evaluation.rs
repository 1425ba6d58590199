//! Evaluates the compiled rules of a request to its routing verdict: the allowed nodes, the preferred nodes, and this proxy's
//! share of fleet-wide limits and rates.

use super::established_connections::EstablishedConnections;
use super::node_kinds::{NodeKind, NodeKindSet, RenderNodes};
use cottonnotch_decision::quota::{Quota, TokenBucket};
use cottonnotch_decision::{Micros, RoutingVerdict, ServerId};
use cottonnotch_routing_rules::{MoveCondition, Node, Request};
use cottonnotch_rule_compiler::{LimitId, Lookup, NodeKey, Plan};
use std::collections::HashMap;
use std::sync::Arc;

/// Whether a verdict takes preferences into account. They are ignored while it is uncertain that their version is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preferences {
    Apply,
    Ignore,
}

/// The state that verdicts are evaluated from, in addition to the plan.
#[derive(Debug)]
pub struct RuleEvaluation {
    /// The number of proxies, among which fleet-wide limits are divided. `ordinal` is this proxy's position among them.
    proxies: u32,
    ordinal: u32,
    pub nodes: RenderNodes,
    pub connections: EstablishedConnections,
    /// The plan's key of each node kind.
    kind_keys: Vec<NodeKey>,
    token_buckets: HashMap<LimitId, TokenBucket>,
}

impl Default for RuleEvaluation {
    fn default() -> Self {
        let (nodes, connections) = (RenderNodes::default(), EstablishedConnections::default());
        RuleEvaluation {
            proxies: 1,
            ordinal: 0,
            nodes,
            connections,
            kind_keys: Vec::new(),
            token_buckets: HashMap::new(),
        }
    }
}

/// One proxy's share of a total. The shares of all proxies add up to exactly the total.
fn share_of_total(total: u64, proxies: u32, ordinal: u32) -> u64 {
    let (proxies, ordinal) = (u64::from(proxies.max(1)), u64::from(ordinal));
    total / proxies + u64::from(ordinal < total % proxies)
}

fn rule_node(kind: &NodeKind) -> Node<'_> {
    Node { hall: &kind.hall, hardware: &kind.hardware }
}

/// The limits that a connection of the request to this server counts towards.
fn connection_limits(plan: &Plan, nodes: &RenderNodes, request: &Request, server: ServerId) -> Vec<LimitId> {
    let Some(kind) = nodes.kind(server).and_then(|kind| nodes.kinds().get(kind)) else { return Vec::new() };
    let rules = plan.lookup(request);
    let counted = rules.caps().filter(|(_, _, limited)| limited.contains(&rule_node(kind)));
    counted.map(|(limit, _, _)| limit).collect()
}

impl RuleEvaluation {
    /// Sets the number of proxies and this proxy's ordinal.
    pub fn set_proxies(&mut self, proxies: u32, ordinal: u32) {
        (self.proxies, self.ordinal) = (proxies.max(1), ordinal);
    }

    /// Recomputes everything that depends on node kinds and limits, after a change of the plan or of the endpoint list.
    pub fn set_plan<'a>(
        &mut self,
        plan: &Plan,
        request_of: impl Fn(&cottonnotch_decision::Request) -> Request<'a>,
    ) {
        let RuleEvaluation { nodes, connections, .. } = self;
        self.kind_keys = nodes.kinds().iter().map(|kind| plan.node_key(&rule_node(kind))).collect();
        connections.recount(|request, server| connection_limits(plan, nodes, &request_of(request), server));
        // Clearing the buckets loses owed and saved tokens. Each rate is correct again within a second or two.
        self.token_buckets.clear();
    }

    /// Adds the request's connection to this server to the counts.
    pub fn add_connection(
        &mut self,
        plan: Option<&Plan>,
        request: &cottonnotch_decision::Request,
        rule_request: &Request,
        server: ServerId,
    ) {
        let limits =
            plan.map(|plan| connection_limits(plan, &self.nodes, rule_request, server)).unwrap_or_default();
        self.connections.insert(request, server, limits);
    }

    /// The condition under which a connection may be moved away from this server. Returns `None` if no rule restricts moves or
    /// the server is unknown.
    pub fn move_condition(&self, rules: &Lookup, server: ServerId) -> Option<MoveCondition> {
        let kind = self.nodes.kinds().get(self.nodes.kind(server)?)?;
        rules.move_when_on(&rule_node(kind))
    }

    /// Takes a token from each rate limit that applies to the request.
    pub fn take_tokens(&mut self, now: Micros, rules: &Lookup) {
        for (limit, _) in rules.paces() {
            self.token_buckets.entry(limit).or_insert_with(|| TokenBucket::new(now)).take();
        }
    }

    /// Evaluates the rules to a verdict.
    pub fn evaluate(
        &mut self,
        now: Micros,
        group: Option<u64>,
        rules: &Lookup,
        preferences: Preferences,
    ) -> RoutingVerdict {
        let allowed = self.allowed_kinds(rules);
        let preferred = match preferences {
            Preferences::Apply => self.preferred_kinds(rules, &allowed),
            Preferences::Ignore => None,
        };
        let allows_all = (0..self.kind_keys.len()).all(|kind| allowed.contains(kind));
        let mut verdict = RoutingVerdict {
            allowed: (!allows_all).then(|| self.nodes.node_set(&allowed)),
            preferred: preferred.map(|kinds| self.nodes.node_set(&kinds)),
            attempts: rules.attempts().unwrap_or(u32::MAX),
            ..RoutingVerdict::default()
        };
        if let (Some(size), Some(group)) = (rules.spread(), group) {
            verdict.allowed = Some(Arc::new(self.nodes.affinity_subset(&allowed, group, size as usize)));
        }
        verdict.not_before = self.next_tokens_at(now, rules);
        verdict
    }

    /// The kinds that the rules allow and for which this proxy's share of no connection limit is exhausted.
    fn allowed_kinds(&self, rules: &Lookup) -> NodeKindSet {
        let exhausted: Vec<_> = rules
            .caps()
            .filter(|(limit, total, _)| {
                self.connections.count(*limit) >= share_of_total(*total, self.proxies, self.ordinal)
            })
            .collect();
        let is_exhausted =
            |kind: &NodeKind| exhausted.iter().any(|(_, _, nodes)| nodes.contains(&rule_node(kind)));
        NodeKindSet::from_fn(self.kind_keys.len(), |kind| {
            rules.allows_key(self.kind_keys[kind]) && !self.nodes.kinds().get(kind).is_some_and(is_exhausted)
        })
    }

    /// The kinds that the preferences rank first among the allowed kinds with ready nodes. Returns `None` if all rank alike.
    fn preferred_kinds(&self, rules: &Lookup, allowed: &NodeKindSet) -> Option<NodeKindSet> {
        let kind_keys = &self.kind_keys;
        let ranks = || {
            let ready =
                (0..kind_keys.len()).filter(|kind| allowed.contains(*kind) && self.nodes.is_ready(*kind));
            ready.map(|kind| rules.rank_key(kind_keys[kind]))
        };
        let best = ranks().min()?;
        let differs = ranks().any(|rank| rank != best);
        differs.then(|| NodeKindSet::from_fn(kind_keys.len(), |kind| rules.rank_key(kind_keys[kind]) == best))
    }

    /// The earliest time at which every applicable rate limit has a token in this proxy's share. Returns `None` if that is now.
    fn next_tokens_at(&mut self, now: Micros, rules: &Lookup) -> Option<Micros> {
        let quota = Quota::even(self.proxies);
        let mut not_before = None;
        for (limit, per_s_milli) in rules.paces() {
            let per_s = quota.share_of(now, per_s_milli as f64 / 1e3);
            let bucket = self.token_buckets.entry(limit).or_insert_with(|| TokenBucket::new(now));
            if !bucket.refill(now, per_s) {
                // The shortage may be less than a microsecond, which would round to now; the time has to be later than now.
                let next = bucket.next_token_at(per_s).max(now + 1);
                not_before = not_before.max(Some(next));
            }
        }
        not_before
    }
}

#[cfg(test)]
#[path = "rule_evaluation_tests.rs"]
mod tests;

//! From a look at the plan to a ruling: which nodes are left, which come first, and this proxy's part of what the whole
//! fleet may have.

use super::established_connections::Standing;
use super::node_kinds::{Fleet, NodeKind, NodeKindSet};
use cottonnotch_decision::quota::{Quota, TokenBucket};
use cottonnotch_decision::{Micros, RoutingVerdict, ServerId};
use cottonnotch_routing_rules::{MoveCondition, Node, Request};
use cottonnotch_rule_compiler::{LimitId, Look, NodeKey, Plan};
use std::collections::HashMap;
use std::sync::Arc;

/// What rulings are reckoned from.
#[derive(Debug)]
pub struct Reckoning {
    /// How many proxies there are, and which of them this is.
    proxies: u32,
    me: u32,
    /// The render nodes.
    pub fleet: Fleet,
    /// The connections.
    pub standing: Standing,
    /// The kinds of node as the plan has them.
    keys: Vec<NodeKey>,
    buckets: HashMap<LimitId, TokenBucket>,
}

impl Default for Reckoning {
    fn default() -> Self {
        let (fleet, standing) = (Fleet::default(), Standing::default());
        Reckoning { proxies: 1, me: 0, fleet, standing, keys: Vec::new(), buckets: HashMap::new() }
    }
}

/// The part of one proxy of a number: all parts together are the whole, exactly.
fn share(whole: u64, proxies: u32, me: u32) -> u64 {
    let (proxies, me) = (u64::from(proxies.max(1)), u64::from(me));
    whole / proxies + u64::from(me < whole % proxies)
}

fn node(kind: &NodeKind) -> Node<'_> {
    Node { hall: &kind.hall, hardware: &kind.hardware }
}

/// Under which limits a connection counts that stands there.
fn limits(plan: &Plan, fleet: &Fleet, asked: &Request, server: ServerId) -> Vec<LimitId> {
    let Some(kind) = fleet.kind(server).and_then(|kind| fleet.kinds().get(kind)) else { return Vec::new() };
    let look = plan.look(asked);
    let counted = look.caps().filter(|(_, _, nodes)| nodes.contains(&node(kind)));
    counted.map(|(limit, _, _)| limit).collect()
}

impl Reckoning {
    /// So many proxies share what belongs to all, and this is one of them.
    pub fn set_proxies(&mut self, proxies: u32, me: u32) {
        (self.proxies, self.me) = (proxies.max(1), me);
    }

    /// Another plan, or another list: what is kept by kind and by limit is made anew.
    pub fn follow<'a>(&mut self, plan: &Plan, asked: impl Fn(&cottonnotch_decision::Request) -> Request<'a>) {
        let Reckoning { fleet, standing, .. } = self;
        self.keys = fleet.kinds().iter().map(|kind| plan.node_key(&node(kind))).collect();
        standing.recount(|request, server| limits(plan, fleet, &asked(request), server));
        // What was owed or saved goes with the limits; a rate is kept to again within a second or two.
        self.buckets.clear();
    }

    /// The request stands there from now on.
    pub fn stands(
        &mut self,
        plan: Option<&Plan>,
        request: &cottonnotch_decision::Request,
        asked: &Request,
        server: ServerId,
    ) {
        let limits = plan.map(|plan| limits(plan, &self.fleet, asked, server)).unwrap_or_default();
        self.standing.insert(request, server, limits);
    }

    /// When a connection may be moved off that node.
    pub fn moves(&self, look: &Look, server: ServerId) -> Option<MoveCondition> {
        let kind = self.fleet.kinds().get(self.fleet.kind(server)?)?;
        look.move_when_on(&node(kind))
    }

    /// A set-up is made.
    pub fn take(&mut self, now: Micros, look: &Look) {
        for (limit, _) in look.paces() {
            self.buckets.entry(limit).or_insert_with(|| TokenBucket::new(now)).take();
        }
    }

    /// What a look comes to now. Wishes are left out while it is in doubt whether they still count.
    pub fn ruling(
        &mut self,
        now: Micros,
        group: Option<u64>,
        look: &Look,
        with_wishes: bool,
    ) -> RoutingVerdict {
        let (fleet, keys) = (&self.fleet, &self.keys);
        let full: Vec<_> = look
            .caps()
            .filter(|(limit, whole, _)| self.standing.of(*limit) >= share(*whole, self.proxies, self.me))
            .collect();
        let is_full = |kind: &NodeKind| full.iter().any(|(_, _, nodes)| nodes.contains(&node(kind)));
        let allowed = NodeKindSet::of(keys.len(), |kind| {
            look.allows_key(keys[kind]) && !fleet.kinds().get(kind).is_some_and(is_full)
        });
        let is_all = (0..keys.len()).all(|kind| allowed.has(kind));
        let preferred = with_wishes.then(|| self.preferred(look, &allowed)).flatten();
        let mut ruling = RoutingVerdict {
            allowed: (!is_all).then(|| self.fleet.set(&allowed)),
            preferred: preferred.map(|kinds| self.fleet.set(&kinds)),
            attempts: look.attempts().unwrap_or(u32::MAX),
            ..RoutingVerdict::default()
        };
        if let (Some(most), Some(group)) = (look.spread(), group) {
            ruling.allowed = Some(Arc::new(self.fleet.homes(&allowed, group, most as usize)));
        }
        let part = Quota::even(self.proxies);
        for (limit, milli) in look.paces() {
            let per_s = part.share_of(now, milli as f64 / 1e3);
            let bucket = self.buckets.entry(limit).or_insert_with(|| TokenBucket::new(now));
            if !bucket.refill(now, per_s) {
                // Less than a microsecond short is short still.
                let next = bucket.next_token_at(per_s).max(now + 1);
                ruling.not_before = ruling.not_before.max(Some(next));
            }
        }
        ruling
    }

    /// Those that the wishes put first among the allowed that are there; `None`: they put none before another.
    fn preferred(&self, look: &Look, allowed: &NodeKindSet) -> Option<NodeKindSet> {
        let keys = &self.keys;
        let ranks = || {
            let there = (0..keys.len()).filter(|kind| allowed.has(*kind) && self.fleet.is_ready(*kind));
            there.map(|kind| look.rank_key(keys[kind]))
        };
        let best = ranks().min()?;
        let differs = ranks().any(|rank| rank != best);
        differs.then(|| NodeKindSet::of(keys.len(), |kind| look.rank_key(keys[kind]) == best))
    }
}

#[cfg(test)]
#[path = "rule_evaluation_tests.rs"]
mod tests;

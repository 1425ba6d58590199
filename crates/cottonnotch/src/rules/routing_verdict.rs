//! The routing verdict on each request, for the decision module: from the version that is published now, the lease as it is
//! now, and this proxy's share of fleet-wide limits. Nothing here waits for a lock or another process; a process that is about
//! to take over reads its predecessor's lease from a file until it has its own.

use super::clock::Clock;
use super::config::UnknownRules;
use super::node_kinds::NodeKind;
use super::published_plan::{PublishedPlan, PublishedVersion};
use super::rule_evaluation::{Preferences, RuleEvaluation};
use cottonnotch_consensus::ContentHash;
use cottonnotch_decision::settings::Profile;
use cottonnotch_decision::{
    Entry, Micros, Request, RequestId, RoutingRules, RoutingVerdict, ServerId, Stickiness,
};
use cottonnotch_records::Name;
use cottonnotch_routing_rules::{MoveCondition, UncertaintyPolicy};
use cottonnotch_rule_compiler::Plan;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// What happens to requests while it is uncertain which rules are in force.
#[derive(Clone, Copy, Debug)]
pub struct UncertaintySettings {
    /// Before any version is known.
    pub before_first: UnknownRules,
    /// While the lease is expired, for requests that no requirement selects.
    pub unruled: UnknownRules,
    /// The Retry-After of those that are rejected for it.
    pub retry: Micros,
}

/// Whether verdicts name the rules they follow, for the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleNames {
    Recorded,
    Omitted,
}

/// What a request's last verdict was based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerdictBasis {
    /// The version; `None`: none was known.
    pub version: Option<u64>,
    /// The requirements that select the request, if names are recorded.
    pub rules: Vec<Name>,
    /// It was uncertain whether the version is in force.
    pub is_uncertain: bool,
    /// When the lease was looked at, by [`Clock`].
    pub evaluated_at: Micros,
}

/// The routing rules, as the event loop has them. Clones share the state.
#[derive(Clone, Debug)]
pub struct RoutingVerdicts(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    published: Arc<PublishedPlan>,
    uncertainty: UncertaintySettings,
    rule_names: RuleNames,
    names: RequestNames,
    /// The version that the evaluation is set to.
    version: Option<(u64, ContentHash)>,
    evaluation: RuleEvaluation,
    basis: HashMap<RequestId, VerdictBasis>,
    rejected_while_uncertain: u64,
}

/// The names that rules have for the numbers in a request.
#[derive(Debug, Default)]
struct RequestNames {
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl RequestNames {
    /// The request in the rules' terms.
    fn resolve(&self, request: &Request) -> cottonnotch_routing_rules::Request<'_> {
        fn name(names: &[Name], number: u16) -> Option<&str> {
            names.get(usize::from(number)).map(|name| &**name)
        }
        cottonnotch_routing_rules::Request {
            tenant: request.tenant.and_then(|tenant| name(&self.tenants, tenant.0)),
            class: name(&self.classes, request.class.0).unwrap_or_default(),
            group: request.group,
        }
    }
}

impl RoutingVerdicts {
    /// Verdicts by what is published.
    pub fn new(
        published: Arc<PublishedPlan>,
        uncertainty: UncertaintySettings,
        rule_names: RuleNames,
        profile: &Profile,
    ) -> Self {
        let state = State {
            published,
            uncertainty,
            rule_names,
            names: RequestNames::default(),
            version: None,
            evaluation: RuleEvaluation::default(),
            basis: HashMap::new(),
            rejected_while_uncertain: 0,
        };
        let verdicts = RoutingVerdicts(Rc::new(RefCell::new(state)));
        verdicts.set_profile(profile);
        verdicts
    }

    /// Follows changed settings.
    pub fn set_profile(&self, Profile { settings, classes, tenants, .. }: &Profile) {
        let mut state = self.0.borrow_mut();
        state.names = RequestNames {
            classes: (0..settings.classes.len()).map(|i| classes.name(i as u32).into()).collect(),
            tenants: (0..settings.tenants.len()).map(|i| tenants.name(i as u32).into()).collect(),
        };
        state.evaluation.set_proxies(settings.nodes, settings.ordinal);
    }

    /// Follows an update of the endpoint list.
    pub fn update_endpoints(&self, full: bool, entries: &[Entry], kind_of: impl Fn(ServerId) -> NodeKind) {
        let mut state = self.0.borrow_mut();
        state.evaluation.nodes.update(full, entries, kind_of);
        // Keys and counts are by node kind: the next verdict computes them anew.
        state.version = None;
    }

    /// The kinds of render node that were ever listed.
    pub fn kinds(&self) -> Vec<NodeKind> {
        self.0.borrow().evaluation.nodes.kinds().to_vec()
    }

    /// Counts a connection that was open before this process started.
    pub fn add_connection(&self, request: &Request, server: ServerId) {
        let mut state = self.0.borrow_mut();
        let state = &mut *state;
        let version = state.published.read();
        let plan = version.as_ref().map(|published| &*published.plan);
        state.add_connection(plan, request, server);
    }

    /// The request's attempt, or its connection, has ended.
    pub fn remove_connection(&self, request: RequestId) {
        self.0.borrow_mut().evaluation.connections.remove(request);
    }

    /// Forgets the request: nothing more will be asked of it.
    pub fn forget(&self, request: RequestId) {
        self.0.borrow_mut().basis.remove(&request);
    }

    /// What the request's last verdict was based on.
    pub fn basis(&self, request: RequestId) -> Option<VerdictBasis> {
        self.0.borrow().basis.get(&request).cloned()
    }

    /// When the lease was looked at for that verdict.
    pub fn evaluated_at(&self, request: RequestId) -> Option<Micros> {
        self.0.borrow().basis.get(&request).map(|basis| basis.evaluated_at)
    }

    /// Requests rejected since it was uncertain which rules are in force.
    pub fn rejected_while_uncertain(&self) -> u64 {
        self.0.borrow().rejected_while_uncertain
    }
}

impl RoutingRules for RoutingVerdicts {
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict {
        self.0.borrow_mut().evaluate(now, request)
    }

    fn record_attempt(&mut self, now: Micros, request: &Request, server: ServerId) {
        let mut state = self.0.borrow_mut();
        let state = &mut *state;
        let version = state.published.read();
        let plan = version.as_ref().map(|published| &*published.plan);
        if let Some(plan) = plan {
            let rules = plan.lookup(&state.names.resolve(request));
            state.evaluation.take_tokens(now, &rules);
        }
        state.add_connection(plan, request, server);
    }

    fn stickiness(&mut self, _: Micros, request: &Request, server: ServerId) -> Option<Stickiness> {
        let state = self.0.borrow();
        let version = state.published.read();
        // Counts without a lease, too: leaving a connection where it is contradicts nobody.
        let plan = &version.as_ref()?.plan;
        let rules = plan.lookup(&state.names.resolve(request));
        match state.evaluation.move_condition(&rules, server)? {
            MoveCondition::Last => Some(Stickiness::MigrateLast),
            MoveCondition::DrainsOnly => Some(Stickiness::UntilDrained),
        }
    }
}

impl State {
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict {
        let version = self.published.read();
        // After the version is read: a process that was stopped in between finds the lease expired.
        let evaluated_at = Clock.now();
        let Some(published) = version.as_ref() else {
            let basis = VerdictBasis { version: None, rules: Vec::new(), is_uncertain: true, evaluated_at };
            self.basis.insert(request.id, basis);
            return self.verdict_without_rules(self.uncertainty.before_first);
        };
        self.follow_version(published);
        let rules = published.plan.lookup(&self.names.resolve(request));
        let is_uncertain = evaluated_at >= self.published.until(published);
        let names = match self.rule_names {
            RuleNames::Recorded => rules.rule_names().map(Name::from).collect(),
            RuleNames::Omitted => Vec::new(),
        };
        let policy = rules.uncertainty_policy();
        let verdict = match (is_uncertain, policy) {
            (false, _) => self.evaluation.evaluate(now, request.group, &rules, Preferences::Apply),
            (true, None) => self.verdict_without_rules(self.uncertainty.unruled),
            (true, Some(UncertaintyPolicy::Refuse { retry_ms })) => {
                self.reject(Micros::from(retry_ms) * 1_000)
            }
            (true, Some(UncertaintyPolicy::Keep)) => {
                self.evaluation.evaluate(now, request.group, &rules, Preferences::Ignore)
            }
        };
        let basis =
            VerdictBasis { version: Some(published.number), rules: names, is_uncertain, evaluated_at };
        self.basis.insert(request.id, basis);
        verdict
    }

    /// The verdict on a request that no known rule decides.
    fn verdict_without_rules(&mut self, policy: UnknownRules) -> RoutingVerdict {
        match policy {
            UnknownRules::Serve => RoutingVerdict::default(),
            UnknownRules::Refuse => self.reject(self.uncertainty.retry),
        }
    }

    fn reject(&mut self, retry_after: Micros) -> RoutingVerdict {
        self.rejected_while_uncertain += 1;
        RoutingVerdict { refuse: Some(retry_after), ..RoutingVerdict::default() }
    }

    /// Sets the evaluation to another version, or to another endpoint list.
    fn follow_version(&mut self, published: &PublishedVersion) {
        let version = Some((published.number, published.hash));
        if self.version == version {
            return;
        }
        self.version = version;
        let names = &self.names;
        self.evaluation.set_plan(&published.plan, |request| names.resolve(request));
    }

    fn add_connection(&mut self, plan: Option<&Plan>, request: &Request, server: ServerId) {
        let rule_request = self.names.resolve(request);
        self.evaluation.add_connection(plan, request, &rule_request, server);
    }
}

#[cfg(test)]
#[path = "routing_verdict_tests.rs"]
mod tests;

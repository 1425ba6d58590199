//! Computes the routing verdict on each request for the decision module, from the published version, the current lease and this
//! proxy's share of fleet-wide limits. This code never waits for a lock or for another process. A successor process reads its
//! predecessor's lease from a file until it has a lease of its own.

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

/// The handling of requests while it is uncertain which rules are in force.
#[derive(Clone, Copy, Debug)]
pub struct UncertaintySettings {
    /// The handling of all requests until any version is known.
    pub before_first: UnknownRules,
    /// The handling of requests that no requirement selects, while the lease is expired.
    pub without_requirement: UnknownRules,
    /// The Retry-After of requests that these settings reject.
    pub retry: Micros,
}

/// Whether the basis of a verdict lists rule names, for the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleNames {
    Recorded,
    Omitted,
}

/// The basis of a request's last verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerdictBasis {
    /// The number of the version; `None` if no version was known.
    pub version: Option<u64>,
    /// The names of the requirements that select the request; empty unless names are recorded.
    pub rules: Vec<Name>,
    /// Whether it was uncertain that the version is in force.
    pub is_uncertain: bool,
    /// When the lease was checked, by [`Clock`].
    pub evaluated_at: Micros,
}

/// The routing rules in the event loop. Clones share the state.
#[derive(Clone, Debug)]
pub struct RoutingVerdicts(Rc<RefCell<VerdictState>>);

#[derive(Debug)]
struct VerdictState {
    published: Arc<PublishedPlan>,
    uncertainty: UncertaintySettings,
    rule_names: RuleNames,
    names: RequestNames,
    /// The version that `evaluation` was last set to; `None` forces the next verdict to set it.
    version: Option<(u64, ContentHash)>,
    evaluation: RuleEvaluation,
    basis: HashMap<RequestId, VerdictBasis>,
    rejected_while_uncertain: u64,
}

/// The names of the classes and tenants, by the numbers that requests carry.
#[derive(Debug, Default)]
struct RequestNames {
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl RequestNames {
    /// Translates a request to the names that rules use.
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
    /// Creates the verdicts for the published version.
    pub fn new(
        published: Arc<PublishedPlan>,
        uncertainty: UncertaintySettings,
        rule_names: RuleNames,
        profile: &Profile,
    ) -> Self {
        let state = VerdictState {
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

    /// Applies changed settings.
    pub fn set_profile(&self, Profile { settings, classes, tenants, .. }: &Profile) {
        let mut state = self.0.borrow_mut();
        state.names = RequestNames {
            classes: (0..settings.classes.len()).map(|i| classes.name(i as u32).into()).collect(),
            tenants: (0..settings.tenants.len()).map(|i| tenants.name(i as u32).into()).collect(),
        };
        state.evaluation.set_proxies(settings.nodes, settings.ordinal);
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&self, full: bool, entries: &[Entry], kind_of: impl Fn(ServerId) -> NodeKind) {
        let mut state = self.0.borrow_mut();
        state.evaluation.nodes.update(full, entries, kind_of);
        // Keys and counts depend on the node kinds, so the next verdict has to recompute them.
        state.version = None;
    }

    /// All kinds of render node that were ever listed.
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

    /// Removes the request's attempt or connection from the counts after its end.
    pub fn remove_connection(&self, request: RequestId) {
        self.0.borrow_mut().evaluation.connections.remove(request);
    }

    /// Removes the request's verdict basis, once nobody will query it any more.
    pub fn forget(&self, request: RequestId) {
        self.0.borrow_mut().basis.remove(&request);
    }

    /// The basis of the request's last verdict.
    pub fn basis(&self, request: RequestId) -> Option<VerdictBasis> {
        self.0.borrow().basis.get(&request).cloned()
    }

    /// When the lease was checked for the request's last verdict.
    pub fn evaluated_at(&self, request: RequestId) -> Option<Micros> {
        self.0.borrow().basis.get(&request).map(|basis| basis.evaluated_at)
    }

    /// The number of requests rejected because it was uncertain which rules are in force.
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
        // The rules on moves apply even without a valid lease, since keeping a connection in place cannot contradict other
        // proxies.
        let plan = &version.as_ref()?.plan;
        let rules = plan.lookup(&state.names.resolve(request));
        match state.evaluation.move_condition(&rules, server)? {
            MoveCondition::Last => Some(Stickiness::MigrateLast),
            MoveCondition::DrainsOnly => Some(Stickiness::UntilDrained),
        }
    }
}

impl VerdictState {
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict {
        let version = self.published.read();
        // The clock is read after the version. A process that was suspended in between thus finds the lease expired.
        let evaluated_at = Clock.now();
        let Some(published) = version.as_ref() else {
            let basis = VerdictBasis { version: None, rules: Vec::new(), is_uncertain: true, evaluated_at };
            self.basis.insert(request.id, basis);
            return self.verdict_without_rules(self.uncertainty.before_first);
        };
        self.follow_version(published);
        let rules = published.plan.lookup(&self.names.resolve(request));
        let is_uncertain = evaluated_at >= self.published.valid_until(published);
        let names = match self.rule_names {
            RuleNames::Recorded => rules.rule_names().map(Name::from).collect(),
            RuleNames::Omitted => Vec::new(),
        };
        let policy = rules.uncertainty_policy();
        let verdict = match (is_uncertain, policy) {
            (false, _) => self.evaluation.evaluate(now, request.group, &rules, Preferences::Apply),
            (true, None) => self.verdict_without_rules(self.uncertainty.without_requirement),
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

    /// The verdict on a request for which no rule is known.
    fn verdict_without_rules(&mut self, policy: UnknownRules) -> RoutingVerdict {
        match policy {
            UnknownRules::Serve => RoutingVerdict::default(),
            UnknownRules::Refuse => self.reject(self.uncertainty.retry),
        }
    }

    fn reject(&mut self, retry_after: Micros) -> RoutingVerdict {
        self.rejected_while_uncertain += 1;
        RoutingVerdict { reject_with_retry_after: Some(retry_after), ..RoutingVerdict::default() }
    }

    /// Updates the evaluation after a change of the version or of the endpoint list.
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

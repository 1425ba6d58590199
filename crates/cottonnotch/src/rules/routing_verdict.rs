//! What the rules say of each request, for the decisions: from the version that is published now, the lease as it stands
//! now, and this proxy's part of what belongs to all. Nothing here waits for a lock or another process; one that is
//! about to take an earlier process's part reads that one's lease from a file, until it has its own.

use super::clock::Clock;
use super::config::Unknown;
use super::node_kinds::NodeKind;
use super::published_plan::{Publication, Published};
use super::rule_evaluation::Reckoning;
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

/// What becomes of requests that no known rule speaks of.
#[derive(Clone, Copy, Debug)]
pub struct Doubt {
    /// Before any version is known.
    pub before_first: Unknown,
    /// While the lease is over.
    pub unruled: Unknown,
    /// What those are told that are refused for it.
    pub retry: Micros,
}

/// What a request was last ruled by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerdictBasis {
    /// The version; `None`: none was known.
    pub version: Option<u64>,
    /// The musts that speak of it, if names are kept.
    pub rules: Vec<Name>,
    /// It was not known whether the version is in force.
    pub is_uncertain: bool,
    /// MoveCondition that was evaluated_at at, by [`Clock`].
    pub evaluated_at: Micros,
}

/// The rules, as the loop has them. Clones are the same.
#[derive(Clone, Debug)]
pub struct Rulings(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    publication: Arc<Publication>,
    doubt: Doubt,
    /// Names of musts are wanted for the records.
    names: bool,
    classes: Vec<Name>,
    tenants: Vec<Name>,
    /// The version that the reckoning is by.
    version: Option<(u64, ContentHash)>,
    reckoning: Reckoning,
    basis: HashMap<RequestId, VerdictBasis>,
    rejected_while_uncertain: u64,
}

impl Rulings {
    /// Rulings by what is published.
    pub fn new(publication: Arc<Publication>, doubt: Doubt, names: bool, profile: &Profile) -> Self {
        let state = State {
            publication,
            doubt,
            names,
            classes: Vec::new(),
            tenants: Vec::new(),
            version: None,
            reckoning: Reckoning::default(),
            basis: HashMap::new(),
            rejected_while_uncertain: 0,
        };
        let rulings = Rulings(Rc::new(RefCell::new(state)));
        rulings.set(profile);
        rulings
    }

    /// The settings have changed.
    pub fn set(&self, Profile { settings, classes, tenants, .. }: &Profile) {
        let mut state = self.0.borrow_mut();
        state.classes = (0..settings.classes.len()).map(|i| classes.name(i as u32).into()).collect();
        state.tenants = (0..settings.tenants.len()).map(|i| tenants.name(i as u32).into()).collect();
        state.reckoning.set_proxies(settings.nodes, settings.ordinal);
    }

    /// The list has changed in these.
    pub fn listed(&self, full: bool, entries: &[Entry], kind_of: impl Fn(ServerId) -> NodeKind) {
        let mut state = self.0.borrow_mut();
        state.reckoning.fleet.listed(full, entries, kind_of);
        // Keys and counts are by kind: they are made anew.
        state.version = None;
    }

    /// The kinds of render node that were ever listed.
    pub fn kinds(&self) -> Vec<NodeKind> {
        self.0.borrow().reckoning.fleet.kinds().to_vec()
    }

    /// A connection that was open before stands there.
    pub fn opened(&self, request: &Request, server: ServerId) {
        let mut state = self.0.borrow_mut();
        let state = &mut *state;
        let reading = state.publication.read();
        let plan = reading.as_ref().map(|published| &*published.plan);
        state.stands(plan, request, server);
    }

    /// Its attempt, or its connection, is over.
    pub fn left(&self, request: RequestId) {
        self.0.borrow_mut().reckoning.standing.remove(request);
    }

    /// Nothing more will be asked of it.
    pub fn forget(&self, request: RequestId) {
        self.0.borrow_mut().basis.remove(&request);
    }

    /// What it was last ruled by.
    pub fn basis(&self, request: RequestId) -> Option<VerdictBasis> {
        self.0.borrow().basis.get(&request).cloned()
    }

    /// When that was evaluated_at at.
    pub fn evaluated_at(&self, request: RequestId) -> Option<Micros> {
        self.0.borrow().basis.get(&request).map(|basis| basis.evaluated_at)
    }

    /// Requests that were refused since it was in doubt which rules are in force.
    pub fn rejected_while_uncertain(&self) -> u64 {
        self.0.borrow().rejected_while_uncertain
    }
}

impl RoutingRules for Rulings {
    fn evaluate(&mut self, now: Micros, request: &Request) -> RoutingVerdict {
        self.0.borrow_mut().ruling(now, request)
    }

    fn record_attempt(&mut self, now: Micros, request: &Request, server: ServerId) {
        let mut state = self.0.borrow_mut();
        let state = &mut *state;
        let reading = state.publication.read();
        let plan = reading.as_ref().map(|published| &*published.plan);
        if let Some(plan) = plan {
            let asked = asked(&state.tenants, &state.classes, request);
            state.reckoning.take(now, &plan.look(&asked));
        }
        state.stands(plan, request, server);
    }

    fn stickiness(&mut self, _: Micros, request: &Request, server: ServerId) -> Option<Stickiness> {
        let state = self.0.borrow();
        let reading = state.publication.read();
        // What is known counts here also in doubt: to leave a connection where it is contradicts nobody.
        let plan = &reading.as_ref()?.plan;
        let asked = asked(&state.tenants, &state.classes, request);
        match state.reckoning.moves(&plan.look(&asked), server)? {
            MoveCondition::Last => Some(Stickiness::MigrateLast),
            MoveCondition::DrainsOnly => Some(Stickiness::UntilDrained),
        }
    }
}

/// The request in the rules' terms.
fn asked<'a>(
    tenants: &'a [Name],
    classes: &'a [Name],
    request: &Request,
) -> cottonnotch_routing_rules::Request<'a> {
    let name = |names: &'a [Name], number: u16| names.get(usize::from(number)).map(|name| &**name);
    cottonnotch_routing_rules::Request {
        tenant: request.tenant.and_then(|tenant| name(tenants, tenant.0)),
        class: name(classes, request.class.0).unwrap_or_default(),
        group: request.group,
    }
}

impl State {
    fn ruling(&mut self, now: Micros, request: &Request) -> RoutingVerdict {
        let reading = self.publication.read();
        // After the version is read: a process that was stopped in between finds the lease over.
        let evaluated_at = Clock.now();
        let Some(published) = reading.as_ref() else {
            self.note(
                request,
                VerdictBasis { version: None, rules: Vec::new(), is_uncertain: true, evaluated_at },
            );
            return self.unknown(self.doubt.before_first);
        };
        self.follow(published);
        let asked = asked(&self.tenants, &self.classes, request);
        let look = published.plan.look(&asked);
        let is_uncertain = evaluated_at >= self.publication.until(published);
        let rules = match self.names {
            true => look.rule_names().map(Name::from).collect(),
            false => Vec::new(),
        };
        let ruling = match (is_uncertain, look.on_doubt()) {
            (true, None) => return self.doubted(request, published.number, rules, evaluated_at),
            (true, Some(UncertaintyPolicy::Refuse { retry_ms })) => {
                self.rejected_while_uncertain += 1;
                RoutingVerdict { refuse: Some(Micros::from(retry_ms) * 1_000), ..RoutingVerdict::default() }
            }
            _ => self.reckoning.ruling(now, request.group, &look, !is_uncertain),
        };
        self.note(
            request,
            VerdictBasis { version: Some(published.number), rules, is_uncertain, evaluated_at },
        );
        ruling
    }

    fn doubted(
        &mut self,
        request: &Request,
        number: u64,
        rules: Vec<Name>,
        evaluated_at: Micros,
    ) -> RoutingVerdict {
        self.note(request, VerdictBasis { version: Some(number), rules, is_uncertain: true, evaluated_at });
        self.unknown(self.doubt.unruled)
    }

    fn unknown(&mut self, what: Unknown) -> RoutingVerdict {
        if what == Unknown::Serve {
            return RoutingVerdict::default();
        }
        self.rejected_while_uncertain += 1;
        RoutingVerdict { refuse: Some(self.doubt.retry), ..RoutingVerdict::default() }
    }

    fn note(&mut self, request: &Request, basis: VerdictBasis) {
        self.basis.insert(request.id, basis);
    }

    /// Another version, or another list: what is kept by kind and by limit is made anew.
    fn follow(&mut self, published: &Published) {
        let version = Some((published.number, published.hash));
        if self.version == version {
            return;
        }
        self.version = version;
        let (tenants, classes) = (&self.tenants, &self.classes);
        self.reckoning.follow(&published.plan, |request| asked(tenants, classes, request));
    }

    fn stands(&mut self, plan: Option<&Plan>, request: &Request, server: ServerId) {
        let asked = asked(&self.tenants, &self.classes, request);
        self.reckoning.stands(plan, request, &asked, server);
    }
}

#[cfg(test)]
#[path = "routing_verdict_tests.rs"]
mod tests;

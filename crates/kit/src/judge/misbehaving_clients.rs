//! Rules on clients that break the protocol on purpose. Tracks their requests, so that a resulting attempt at a render
//! node is not reported as a fault of its own.

use super::deferred_checks::DeferredCheck;
use super::rule::Rule;
use super::rule_output::RuleOutput;
use super::subject::Subject;
use super::units::format_seconds;
use crate::observation::{MisbehaviorOutcome, RequestId, Seen};
use crate::plan::{Misbehavior, Plan, ProxyId};
use crate::time::{MS, Micros};
use fnv::FnvHashSet;
use std::collections::BTreeMap;

/// An attempt with a stolen id is observed at most this long after the client that stole the id was answered.
const STOLEN_ID_WINDOW: Micros = 100 * MS;

/// A misbehaving client that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct UnansweredClient {
    proxy: ProxyId,
    /// Deadline of the proxy's error or close.
    deadline: Micros,
    /// The client uses the id of another client's open request.
    uses_stolen_id: bool,
}

/// The misbehaving clients of one proxy.
#[derive(Clone, Copy, Debug, Default)]
struct ClientsAtProxy {
    unanswered_with_stolen_id: u32,
    last_stolen_id_answered: Option<Micros>,
}

/// All misbehaving clients of the run.
#[derive(Debug)]
pub(super) struct MisbehavingClients {
    /// Unanswered clients, by their index in the plan.
    unanswered: BTreeMap<u32, UnansweredClient>,
    /// Requests with an id of their own that misbehaving clients sent.
    sent_requests: FnvHashSet<(RequestId, ProxyId)>,
    proxies: Vec<ClientsAtProxy>,
    /// How each client misbehaves, by its index in the plan.
    kinds: Vec<Misbehavior>,
    grace: Micros,
}

impl MisbehavingClients {
    pub fn new(plan: &Plan) -> Self {
        MisbehavingClients {
            unanswered: BTreeMap::new(),
            sent_requests: FnvHashSet::default(),
            proxies: vec![ClientsAtProxy::default(); plan.proxies.len()],
            kinds: plan.rude.iter().map(|client| client.kind).collect(),
            grace: plan.rules.grace,
        }
    }

    pub fn observe(&mut self, at: Micros, seen: &Seen, output: &mut RuleOutput) {
        match *seen {
            Seen::RudeCame { rude, proxy, by } => {
                let uses_stolen_id = self.kinds.get(rude as usize) == Some(&Misbehavior::StolenId);
                self.unanswered.insert(rude, UnansweredClient { proxy, deadline: by, uses_stolen_id });
                if let Some(at_proxy) = self.proxies.get_mut(usize::from(proxy.0)) {
                    at_proxy.unanswered_with_stolen_id += u32::from(uses_stolen_id);
                }
                output.defer(by + self.grace, DeferredCheck::MisbehavingClient(rude));
            }
            Seen::RudeAsked { request, proxy, .. } => {
                self.sent_requests.insert((request, proxy));
            }
            Seen::RudeOver { rude, how } => {
                let Some(client) = self.mark_answered(at, rude) else { return };
                if how == MisbehaviorOutcome::Served {
                    let description = "the client was served; an error or a close was required".to_owned();
                    output.report_violation(
                        at,
                        Rule::MisbehavingClientServed,
                        subject(rude, client.proxy),
                        description,
                    );
                }
            }
            _ => {}
        }
    }

    fn mark_answered(&mut self, at: Micros, index: u32) -> Option<UnansweredClient> {
        let client = self.unanswered.remove(&index)?;
        if let Some(at_proxy) = self.proxies.get_mut(usize::from(client.proxy.0))
            && client.uses_stolen_id
        {
            at_proxy.unanswered_with_stolen_id -= 1;
            at_proxy.last_stolen_id_answered = Some(at);
        }
        Some(client)
    }

    /// Reports a client that has not been answered by its deadline.
    pub fn check_deadline(&mut self, at: Micros, index: u32, output: &mut RuleOutput) {
        // A client that has reconnected has a later deadline.
        if self.unanswered.get(&index).is_some_and(|client| client.deadline + self.grace > at) {
            return;
        }
        if let Some(client) = self.mark_answered(at, index) {
            let description = format!(
                "an error or a close was due by {}, and none was observed {} later",
                format_seconds(client.deadline),
                format_seconds(self.grace)
            );
            output.report_violation(
                at,
                Rule::MisbehavingClientUnanswered,
                subject(index, client.proxy),
                description,
            );
        }
    }

    /// Whether an attempt with the id of an answered request may come from a client that stole the id.
    pub fn may_carry_stolen_id(&self, at: Micros, proxy: ProxyId) -> bool {
        self.proxies.get(usize::from(proxy.0)).is_some_and(|at_proxy| {
            at_proxy.unanswered_with_stolen_id > 0
                || at_proxy.last_stolen_id_answered.is_some_and(|last| at - last <= STOLEN_ID_WINDOW)
        })
    }

    /// Whether a misbehaving client has sent a request with this id to the proxy.
    pub fn has_sent(&self, request: RequestId, proxy: ProxyId) -> bool {
        self.sent_requests.contains(&(request, proxy))
    }
}

fn subject(index: u32, proxy: ProxyId) -> Subject {
    Subject { misbehaving_client: Some(index), proxy: Some(proxy), ..Subject::default() }
}

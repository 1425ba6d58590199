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
const THEFT_EFFECT_WINDOW: Micros = 100 * MS;

/// A misbehaving client that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenClient {
    proxy: ProxyId,
    /// Deadline of the proxy's error or close.
    by: Micros,
    /// The client uses the id of another client's open request.
    steals_id: bool,
}

/// The misbehaving clients of one proxy.
#[derive(Clone, Copy, Debug, Default)]
struct ClientsAtProxy {
    open_id_thieves: u32,
    last_id_theft: Option<Micros>,
}

/// All misbehaving clients of the run.
#[derive(Debug)]
pub(super) struct MisbehavingClients {
    /// Unanswered clients, by their index in the plan.
    open: BTreeMap<u32, OpenClient>,
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
            open: BTreeMap::new(),
            sent_requests: FnvHashSet::default(),
            proxies: vec![ClientsAtProxy::default(); plan.proxies.len()],
            kinds: plan.rude.iter().map(|rude| rude.kind).collect(),
            grace: plan.rules.grace,
        }
    }

    pub fn observe(&mut self, at: Micros, seen: &Seen, output: &mut RuleOutput) {
        match *seen {
            Seen::RudeCame { rude, proxy, by } => {
                let steals_id = self.kinds.get(rude as usize) == Some(&Misbehavior::StolenId);
                self.open.insert(rude, OpenClient { proxy, by, steals_id });
                if let Some(at_proxy) = self.proxies.get_mut(usize::from(proxy.0)) {
                    at_proxy.open_id_thieves += u32::from(steals_id);
                }
                output.defer(by + self.grace, DeferredCheck::MisbehavingClient(rude));
            }
            Seen::RudeAsked { request, proxy, .. } => {
                self.sent_requests.insert((request, proxy));
            }
            Seen::RudeOver { rude, how } => {
                let Some(open) = self.close(at, rude) else { return };
                if how == MisbehaviorOutcome::Served {
                    let description = "the client was served; an error or a close was required".to_owned();
                    output.report_violation(
                        at,
                        Rule::MisbehavingClientServed,
                        subject(rude, open.proxy),
                        description,
                    );
                }
            }
            _ => {}
        }
    }

    fn close(&mut self, at: Micros, rude: u32) -> Option<OpenClient> {
        let open = self.open.remove(&rude)?;
        if let Some(at_proxy) = self.proxies.get_mut(usize::from(open.proxy.0))
            && open.steals_id
        {
            at_proxy.open_id_thieves -= 1;
            at_proxy.last_id_theft = Some(at);
        }
        Some(open)
    }

    /// Reports a client that has not been answered by its deadline.
    pub fn check_deadline(&mut self, at: Micros, rude: u32, output: &mut RuleOutput) {
        // A client that has reconnected has a later deadline.
        if self.open.get(&rude).is_some_and(|open| open.by + self.grace > at) {
            return;
        }
        if let Some(open) = self.close(at, rude) {
            let description = format!(
                "an error or a close was due by {}, and none was observed {} later",
                format_seconds(open.by),
                format_seconds(self.grace)
            );
            output.report_violation(
                at,
                Rule::MisbehavingClientUnanswered,
                subject(rude, open.proxy),
                description,
            );
        }
    }

    /// Whether an attempt with the id of an answered request may come from a client that stole the id.
    pub fn may_carry_stolen_id(&self, at: Micros, proxy: ProxyId) -> bool {
        self.proxies.get(usize::from(proxy.0)).is_some_and(|at_proxy| {
            at_proxy.open_id_thieves > 0
                || at_proxy.last_id_theft.is_some_and(|last| at - last <= THEFT_EFFECT_WINDOW)
        })
    }

    /// Whether a misbehaving client has sent a request with this id to the proxy.
    pub fn has_sent(&self, request: RequestId, proxy: ProxyId) -> bool {
        self.sent_requests.contains(&(request, proxy))
    }
}

fn subject(rude: u32, proxy: ProxyId) -> Subject {
    Subject { rude: Some(rude), proxy: Some(proxy), ..Subject::default() }
}

//! Rude clients, and what they explain of other findings.

use super::deferred_checks::Check;
use super::rule::Rule;
use super::rule_output::{Desk, Subject};
use super::seconds;
use crate::observation::{RequestId, RudeEnd, Seen};
use crate::plan::{Plan, ProxyId, RudeKind};
use crate::time::{MS, Micros};
use fnv::FnvHashSet;
use std::collections::BTreeMap;

/// What a rude client set off at a render node is noted at most this long after the rude client was dealt with.
const AFTERMATH: Micros = 100 * MS;

#[derive(Clone, Copy, Debug)]
struct Open {
    proxy: ProxyId,
    by: Micros,
    thief: bool,
}

/// What one proxy has of them.
#[derive(Clone, Copy, Debug, Default)]
struct AtProxy {
    thieves: u32,
    last_thief: Option<Micros>,
}

/// All of them.
#[derive(Debug)]
pub(super) struct RudeClients {
    open: BTreeMap<u32, Open>,
    asked: FnvHashSet<(RequestId, ProxyId)>,
    proxies: Vec<AtProxy>,
    kinds: Vec<RudeKind>,
    grace: Micros,
}

impl RudeClients {
    pub fn new(plan: &Plan) -> Self {
        RudeClients {
            open: BTreeMap::new(),
            asked: FnvHashSet::default(),
            proxies: vec![AtProxy::default(); plan.proxies.len()],
            kinds: plan.rude.iter().map(|rude| rude.kind).collect(),
            grace: plan.rules.grace,
        }
    }

    pub fn see(&mut self, at: Micros, seen: &Seen, desk: &mut Desk) {
        match *seen {
            Seen::RudeCame { rude, proxy, by } => {
                let thief = self.kinds.get(rude as usize) == Some(&RudeKind::StolenId);
                self.open.insert(rude, Open { proxy, by, thief });
                if let Some(at_proxy) = self.proxies.get_mut(usize::from(proxy.0)) {
                    at_proxy.thieves += u32::from(thief);
                }
                desk.checks.add(by + self.grace, Check::Rude(rude));
            }
            Seen::RudeAsked { request, proxy, .. } => {
                self.asked.insert((request, proxy));
            }
            Seen::RudeOver { rude, how } => {
                let Some(open) = self.close(at, rude) else { return };
                if how == RudeEnd::Served {
                    let what = "it was served; an error or a close was owed".to_owned();
                    desk.accuse(at, Rule::RudeServed, subject(rude, open.proxy), what);
                }
            }
            _ => {}
        }
    }

    fn close(&mut self, at: Micros, rude: u32) -> Option<Open> {
        let open = self.open.remove(&rude)?;
        if let Some(at_proxy) = self.proxies.get_mut(usize::from(open.proxy.0))
            && open.thief
        {
            at_proxy.thieves -= 1;
            at_proxy.last_thief = Some(at);
        }
        Some(open)
    }

    /// Its time is up.
    pub fn due(&mut self, at: Micros, rude: u32, desk: &mut Desk) {
        // One that comes again and again has a later time by now.
        if self.open.get(&rude).is_some_and(|open| open.by + self.grace > at) {
            return;
        }
        if let Some(open) = self.close(at, rude) {
            let what = format!(
                "an error or a close was owed by {}, and none had come {} later",
                seconds(open.by),
                seconds(self.grace)
            );
            desk.accuse(at, Rule::RudeUnanswered, subject(rude, open.proxy), what);
        }
    }

    /// Whether an attempt with the id of an answered request may be that of a rude client, who stole the id.
    pub fn thief_at(&self, at: Micros, proxy: ProxyId) -> bool {
        self.proxies
            .get(usize::from(proxy.0))
            .is_some_and(|p| p.thieves > 0 || p.last_thief.is_some_and(|last| at - last <= AFTERMATH))
    }

    /// Whether a rude client has put a request with that id to this proxy.
    pub fn has_asked(&self, request: RequestId, proxy: ProxyId) -> bool {
        self.asked.contains(&(request, proxy))
    }
}

fn subject(rude: u32, proxy: ProxyId) -> Subject {
    Subject { rude: Some(rude), proxy: Some(proxy), ..Subject::default() }
}

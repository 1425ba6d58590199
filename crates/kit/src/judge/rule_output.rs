//! Where findings are written down, with what was seen around them.

use super::deferred_checks::Checks;
use super::rule::Rule;
use crate::observation::{Attempt, Observation, RequestId, Seen};
use crate::plan::{NodeId, ProxyId, SessionId};
use crate::time::{Micros, S};
use std::collections::{BTreeMap, VecDeque};

/// Findings that are kept whole for each rule; the rest are counted. Ten show whether they are of one kind.
pub(super) const KEPT: usize = 10;
/// Observations kept for the events around a finding: at 5 proxies and 8,000 standing connections about 8,000 come
/// each second, and the longest that a finding takes to be found is 7 s. About 5 MB.
const RECENT: usize = 65_536;
/// Events shown around a finding: of the request itself; of its render node and its proxy; and afterwards.
const OWN: usize = 8;
const NEAR: usize = 4;
const AFTER: usize = 3;
/// Nothing from longer before is shown, and nothing later after.
const BEFORE: Micros = 15 * S;
const FOLLOWED: Micros = S;

/// Whom a finding is about, as far as that is known.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Subject {
    pub request: Option<RequestId>,
    pub session: Option<SessionId>,
    pub node: Option<NodeId>,
    pub proxy: Option<ProxyId>,
    pub rude: Option<u32>,
    /// The request's attempts.
    pub attempts: Vec<Attempt>,
}

/// How close an observation is to a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closeness {
    /// It is about the very request, or what else is blamed.
    Own,
    /// It is about the state of its render node or its proxy.
    Near,
    None,
}

impl Subject {
    fn closeness(&self, seen: &Seen) -> Closeness {
        let own = |is: bool| if is { Closeness::Own } else { Closeness::None };
        let near = |is: bool| if is { Closeness::Near } else { Closeness::None };
        let (node, proxy) = (self.node, self.proxy);
        match seen {
            Seen::Asked { request, .. }
            | Seen::Answered { request, .. }
            | Seen::Moved { request }
            | Seen::Ended { request, .. }
            | Seen::Left { request, .. }
            | Seen::LineSent { request, .. }
            | Seen::LineBack { request, .. } => own(self.request == Some(*request)),
            // Where no request is blamed (a cold render node), each attempt there is part of it.
            Seen::Attempt { attempt, request, .. } => {
                own(self.request.map_or(node == Some(attempt.node), |own| own == *request))
            }
            Seen::AttemptAnswered { attempt, .. }
            | Seen::AttemptOver { attempt, .. }
            | Seen::LineAtNode { attempt, .. }
            | Seen::LineReturned { attempt, .. } => own(self.attempts.contains(attempt)),
            Seen::RudeCame { rude, .. } | Seen::RudeOver { rude, .. } => own(self.rude == Some(*rude)),
            Seen::BadFirstLine { proxy: p, .. } => own(self.request.is_none() && proxy == Some(*p)),
            Seen::Datagram { from, bytes, .. } => own(*bytes > super::DATAGRAM_MAX && proxy == Some(*from)),
            Seen::Started { node: n, .. }
            | Seen::Condition { node: n, .. }
            | Seen::Fell { node: n }
            | Seen::Listed { node: n, .. } => near(node == Some(*n)),
            Seen::Told { proxy: p, node: n, .. } => {
                near(node == Some(*n) && proxy.is_none_or(|own| own == *p))
            }
            Seen::Reach { proxy: p, node: n, .. } => near(node == Some(*n) && proxy == Some(*p)),
            Seen::Watching { proxy: p, .. }
            | Seen::ProxyStarted { proxy: p, .. }
            | Seen::ProxySignalled { proxy: p, .. }
            | Seen::ProxyExited { proxy: p, .. } => near(proxy == Some(*p)),
            Seen::DiscoveryUp { .. } | Seen::Mark { .. } => Closeness::Near,
            _ => Closeness::None,
        }
    }
}

/// A broken rule, as it was found.
#[derive(Clone, Debug)]
pub(super) struct Found {
    pub at: Micros,
    pub rule: Rule,
    pub subject: Subject,
    pub what: String,
    /// In the order of time.
    pub around: Vec<Observation>,
}

/// Findings and checks: all that a rule puts out.
#[derive(Debug, Default)]
pub(super) struct Desk {
    pub checks: Checks,
    pub counts: BTreeMap<Rule, u64>,
    pub found: Vec<Found>,
    recent: VecDeque<Observation>,
    /// Findings whose aftermath is still collected: which, how many more, and until when.
    open: Vec<(usize, usize, Micros)>,
}

impl Desk {
    /// A rule is broken.
    pub fn accuse(&mut self, at: Micros, rule: Rule, subject: Subject, what: String) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count > KEPT as u64 {
            return;
        }
        let around = self.before(at, &subject);
        let now = self.recent.back().map_or(at, |o| o.at);
        self.open.push((self.found.len(), AFTER, now + FOLLOWED));
        self.found.push(Found { at, rule, subject, what, around });
    }

    fn before(&self, at: Micros, subject: &Subject) -> Vec<Observation> {
        let (mut own, mut near) = (OWN, NEAR);
        let mut around = Vec::new();
        for observation in self.recent.iter().rev().take_while(|o| o.at >= at - BEFORE) {
            let room = match subject.closeness(&observation.seen) {
                Closeness::Own => &mut own,
                Closeness::Near => &mut near,
                Closeness::None => continue,
            };
            if *room > 0 {
                *room -= 1;
                around.push(observation.clone());
            }
            if own == 0 && near == 0 {
                break;
            }
        }
        around.reverse();
        around
    }

    /// Keeps what was seen for findings to come, and for those that were just made.
    pub fn remember(&mut self, observation: &Observation) {
        if !self.open.is_empty() {
            let found = &mut self.found;
            self.open.retain_mut(|(index, room, until)| {
                let Some(finding) = found.get_mut(*index).filter(|_| observation.at <= *until) else {
                    return false;
                };
                if finding.subject.closeness(&observation.seen) != Closeness::None {
                    finding.around.push(observation.clone());
                    *room -= 1;
                }
                *room > 0
            });
        }
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(observation.clone());
    }
}

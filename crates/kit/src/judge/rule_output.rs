//! Where findings are written down, with what was seen around them.

use super::deferred_checks::{DeferredCheck, DeferredChecks};
use super::rule::Rule;
use crate::observation::{Attempt, Observation, RequestId, Seen};
use crate::plan::{NodeId, ProxyId, SessionId};
use crate::time::{Micros, S};
use std::collections::{BTreeMap, VecDeque};

/// The longest datagram, in bytes (PROTOCOL, "Between proxies").
pub(super) const MAX_DATAGRAM_BYTES: u32 = 256;
/// Findings that are kept whole for each rule; the rest are counted. Ten show whether they are of one kind.
pub(super) const DETAILED_PER_RULE: usize = 10;
/// Observations kept for the events around a finding: at 5 proxies and 8,000 standing connections about 8,000 come
/// each second, and the longest that a finding takes to be found is 7 s. About 5 MB.
const RECENT_OBSERVATIONS: usize = 65_536;
/// Events shown around a finding: of the request itself; of its render node and its proxy; and afterwards.
const DIRECT_EVENTS: usize = 8;
const RELATED_EVENTS: usize = 4;
const FOLLOWING_EVENTS: usize = 3;
/// Nothing from longer before is shown, and nothing later after.
const CONTEXT_BEFORE: Micros = 15 * S;
const CONTEXT_AFTER: Micros = S;

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
enum Relation {
    /// It is about the very request, or what else is blamed.
    Direct,
    /// It is about the state of its render node or its proxy.
    Related,
    Unrelated,
}

impl Subject {
    fn relation(&self, seen: &Seen) -> Relation {
        let direct = |is: bool| if is { Relation::Direct } else { Relation::Unrelated };
        let related = |is: bool| if is { Relation::Related } else { Relation::Unrelated };
        let (node, proxy) = (self.node, self.proxy);
        match seen {
            Seen::Asked { request, .. }
            | Seen::Answered { request, .. }
            | Seen::Moved { request }
            | Seen::Ended { request, .. }
            | Seen::Left { request, .. }
            | Seen::LineSent { request, .. }
            | Seen::LineBack { request, .. } => direct(self.request == Some(*request)),
            // Where no request is blamed (a cold render node), each attempt there is part of it.
            Seen::Attempt { attempt, request, .. } => {
                direct(self.request.map_or(node == Some(attempt.node), |direct| direct == *request))
            }
            Seen::AttemptAnswered { attempt, .. }
            | Seen::AttemptOver { attempt, .. }
            | Seen::LineAtNode { attempt, .. }
            | Seen::LineReturned { attempt, .. } => direct(self.attempts.contains(attempt)),
            Seen::RudeCame { rude, .. } | Seen::RudeOver { rude, .. } => direct(self.rude == Some(*rude)),
            Seen::BadFirstLine { proxy: p, .. } => direct(self.request.is_none() && proxy == Some(*p)),
            Seen::Datagram { from, bytes, .. } => direct(*bytes > MAX_DATAGRAM_BYTES && proxy == Some(*from)),
            Seen::Started { node: n, .. }
            | Seen::Condition { node: n, .. }
            | Seen::Fell { node: n }
            | Seen::Listed { node: n, .. } => related(node == Some(*n)),
            Seen::Told { proxy: p, node: n, .. } => {
                related(node == Some(*n) && proxy.is_none_or(|direct| direct == *p))
            }
            Seen::Reach { proxy: p, node: n, .. } => related(node == Some(*n) && proxy == Some(*p)),
            Seen::Watching { proxy: p, .. }
            | Seen::ProxyStarted { proxy: p, .. }
            | Seen::ProxySignalled { proxy: p, .. }
            | Seen::ProxyExited { proxy: p, .. } => related(proxy == Some(*p)),
            Seen::DiscoveryUp { .. } | Seen::Mark { .. } => Relation::Related,
            _ => Relation::Unrelated,
        }
    }
}

/// A broken rule, as it was found.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    pub at: Micros,
    pub rule: Rule,
    pub subject: Subject,
    pub description: String,
    /// In the order of time.
    pub surrounding_events: Vec<Observation>,
}

/// Findings and checks: all that a rule puts out.
#[derive(Debug, Default)]
pub(super) struct RuleOutput {
    pub checks: DeferredChecks,
    pub counts: BTreeMap<Rule, u64>,
    pub violations: Vec<Violation>,
    recent: VecDeque<Observation>,
    /// Findings whose aftermath is still collected: which, how many more, and until when.
    collecting: Vec<(usize, usize, Micros)>,
}

impl RuleOutput {
    /// Runs a check once the run has passed `due`.
    pub fn defer(&mut self, due: Micros, check: DeferredCheck) {
        self.checks.add(due, check);
    }

    /// A rule is broken.
    pub fn report_violation(&mut self, at: Micros, rule: Rule, subject: Subject, description: String) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count > DETAILED_PER_RULE as u64 {
            return;
        }
        let surrounding_events = self.events_before(at, &subject);
        let now = self.recent.back().map_or(at, |o| o.at);
        self.collecting.push((self.violations.len(), FOLLOWING_EVENTS, now + CONTEXT_AFTER));
        self.violations.push(Violation { at, rule, subject, description, surrounding_events });
    }

    fn events_before(&self, at: Micros, subject: &Subject) -> Vec<Observation> {
        let (mut direct, mut related) = (DIRECT_EVENTS, RELATED_EVENTS);
        let mut surrounding_events = Vec::new();
        for observation in self.recent.iter().rev().take_while(|o| o.at >= at - CONTEXT_BEFORE) {
            let remaining = match subject.relation(&observation.seen) {
                Relation::Direct => &mut direct,
                Relation::Related => &mut related,
                Relation::Unrelated => continue,
            };
            if *remaining > 0 {
                *remaining -= 1;
                surrounding_events.push(observation.clone());
            }
            if direct == 0 && related == 0 {
                break;
            }
        }
        surrounding_events.reverse();
        surrounding_events
    }

    /// Keeps what was seen for findings to come, and for those that were just made.
    pub fn remember(&mut self, observation: &Observation) {
        if !self.collecting.is_empty() {
            let violations = &mut self.violations;
            self.collecting.retain_mut(|(index, remaining, until)| {
                let Some(violation) = violations.get_mut(*index).filter(|_| observation.at <= *until) else {
                    return false;
                };
                if violation.subject.relation(&observation.seen) != Relation::Unrelated {
                    violation.surrounding_events.push(observation.clone());
                    *remaining -= 1;
                }
                *remaining > 0
            });
        }
        if self.recent.len() == RECENT_OBSERVATIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(observation.clone());
    }
}

//! The output of the rules: violations with the observations around them, and deferred checks.

use super::deferred_checks::{DeferredCheck, DeferredChecks};
use super::rule::Rule;
use super::subject::{MAX_DATAGRAM_BYTES, Relation, Subject};
use crate::observation::{Observation, RequestId};
use crate::plan::{NodeId, ProxyId};
use crate::time::{Micros, S};
use std::collections::{BTreeMap, VecDeque};

/// Violations that are kept in full for each rule; further ones are only counted. Ten show whether they have one cause.
pub(super) const DETAILED_PER_RULE: usize = 10;
/// Observations kept for the events around a violation: 5 proxies with 8,000 established connections give about 8,000
/// a second, and the longest delay until a violation is detected is 7 s. About 5 MB.
const RECENT_OBSERVATIONS: usize = 65_536;
/// Events listed with a violation: of the request itself, of its render node and proxy, and following it.
const DIRECT_EVENTS: usize = 8;
const RELATED_EVENTS: usize = 4;
const FOLLOWING_EVENTS: usize = 3;
/// The time before and after a violation from which events are listed.
const CONTEXT_BEFORE: Micros = 15 * S;
const CONTEXT_AFTER: Micros = S;

/// A violation of a rule, with the numbers of the plan.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    pub at: Micros,
    pub rule: Rule,
    pub subject: Subject,
    pub description: String,
    /// In order of time.
    pub surrounding_events: Vec<Observation>,
}

/// Violations and deferred checks: everything that a rule emits.
#[derive(Debug, Default)]
pub(super) struct RuleOutput {
    pub checks: DeferredChecks,
    pub counts: BTreeMap<Rule, u64>,
    pub violations: Vec<Violation>,
    recent: VecDeque<Observation>,
    /// Violations whose following events are still collected: index, remaining events, and the end of the collection.
    collecting: Vec<(usize, usize, Micros)>,
}

impl RuleOutput {
    /// Runs a check once the run has passed `due`.
    pub fn defer(&mut self, due: Micros, check: DeferredCheck) {
        self.checks.add(due, check);
    }

    /// Records a violation with the events before it.
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

    /// The latest events that concern the subject, in order of time.
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

    /// Keeps an observation for later violations, and adds it to those whose following events are still collected.
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

    /// A render node received a first line that no client sends in this form.
    pub fn bad_first_line(&mut self, at: Micros, node: NodeId, proxy: ProxyId, line: &str) {
        let subject = Subject { node: Some(node), proxy: Some(proxy), ..Subject::default() };
        let description = format!("'{}' is no line of a client's", excerpt(line).escape_debug());
        self.report_violation(at, Rule::BadFirstLine, subject, description);
    }

    /// A client read a line that no render node sent.
    pub fn changed_line(&mut self, at: Micros, request: RequestId, line: &str) {
        let subject = Subject { request: Some(request), ..Subject::default() };
        let description =
            format!("the client read '{}', which no render node sent", excerpt(line).escape_debug());
        self.report_violation(at, Rule::LineChanged, subject, description);
    }

    /// A proxy sent a datagram above [`MAX_DATAGRAM_BYTES`].
    pub fn oversized_datagram(&mut self, at: Micros, from: ProxyId, to: ProxyId, bytes: u32) {
        let subject = Subject { proxy: Some(from), ..Subject::default() };
        let description =
            format!("{bytes} bytes to proxy {}, at most {MAX_DATAGRAM_BYTES} are allowed", to.0);
        self.report_violation(at, Rule::OversizedDatagram, subject, description);
    }
}

/// The first characters of a line, for a description.
fn excerpt(line: &str) -> String {
    line.chars().take(120).collect()
}

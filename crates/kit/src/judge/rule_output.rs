//! Collects the output of the rules: violations with their surrounding observations, and deferred checks.

use super::deferred_checks::{DeferredCheck, DeferredChecks};
use super::rule::Rule;
use super::subject::{MAX_DATAGRAM_BYTES, Relation, Subject};
use crate::observation::{Observation, RequestId};
use crate::plan::{NodeId, ProxyId};
use crate::time::{Micros, S};
use std::collections::{BTreeMap, VecDeque};

/// Violations that are kept in full for each rule; further ones are only counted. Ten are enough to see whether the
/// violations have a common cause.
pub(super) const DETAILED_PER_RULE: usize = 10;
/// Observations that are kept for the events before a violation. 5 proxies with 8,000 established connections generate
/// about 8,000 observations a second, and a violation is detected up to 7 s after its cause. They take about 5 MB.
const RECENT_OBSERVATIONS: usize = 65_536;
/// Events of the request itself that are listed with a violation.
const DIRECT_EVENTS: usize = 8;
/// Events of the render node and proxy that are listed with a violation.
const RELATED_EVENTS: usize = 4;
/// Events after the violation that are listed with it.
const FOLLOWING_EVENTS: usize = 3;
/// Events older than this at the time of the violation are not listed.
const CONTEXT_BEFORE: Micros = 15 * S;
/// Events are collected for this long after a violation was reported.
const CONTEXT_AFTER: Micros = S;

/// A violation of a rule. The subject has the indices of the plan, not yet the names.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    pub at: Micros,
    pub rule: Rule,
    pub subject: Subject,
    pub description: String,
    /// Observations that concern the subject, in order of time.
    pub surrounding_events: Vec<Observation>,
}

/// Receives the violations and deferred checks that the rules emit.
#[derive(Debug, Default)]
pub(super) struct RuleOutput {
    pub checks: DeferredChecks,
    /// Number of violations of each rule.
    pub counts: BTreeMap<Rule, u64>,
    /// The first violations of each rule, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// The latest observations.
    recent: VecDeque<Observation>,
    /// Violations whose following events are still collected: index, number of events still to collect, and the time at
    /// which the collection ends.
    collecting_following: Vec<(usize, usize, Micros)>,
}

impl RuleOutput {
    /// Schedules a check to run once the run has passed `due`.
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
        self.collecting_following.push((self.violations.len(), FOLLOWING_EVENTS, now + CONTEXT_AFTER));
        self.violations.push(Violation { at, rule, subject, description, surrounding_events });
    }

    /// The latest events that concern the subject, in order of time.
    fn events_before(&self, at: Micros, subject: &Subject) -> Vec<Observation> {
        let (mut direct_left, mut related_left) = (DIRECT_EVENTS, RELATED_EVENTS);
        let mut surrounding_events = Vec::new();
        for observation in self.recent.iter().rev().take_while(|o| o.at >= at - CONTEXT_BEFORE) {
            let remaining = match subject.relation(&observation.seen) {
                Relation::Direct => &mut direct_left,
                Relation::Related => &mut related_left,
                Relation::Unrelated => continue,
            };
            if *remaining > 0 {
                *remaining -= 1;
                surrounding_events.push(observation.clone());
            }
            if direct_left == 0 && related_left == 0 {
                break;
            }
        }
        surrounding_events.reverse();
        surrounding_events
    }

    /// Keeps an observation for later violations, and adds it to earlier ones whose following events are still
    /// collected.
    pub fn record_observation(&mut self, observation: &Observation) {
        if !self.collecting_following.is_empty() {
            let violations = &mut self.violations;
            self.collecting_following.retain_mut(|(index, remaining, until)| {
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

    /// Reports a first line at a render node that no client sent in this form.
    pub fn report_bad_first_line(&mut self, at: Micros, node: NodeId, proxy: ProxyId, line: &str) {
        let subject = Subject { node: Some(node), proxy: Some(proxy), ..Subject::default() };
        let description = format!("'{}' is not a line that a client sent", excerpt(line).escape_debug());
        self.report_violation(at, Rule::BadFirstLine, subject, description);
    }

    /// Reports a line that a client read and no render node sent.
    pub fn report_changed_line(&mut self, at: Micros, request: RequestId, line: &str) {
        let subject = Subject { request: Some(request), ..Subject::default() };
        let description =
            format!("the client read '{}', which no render node sent", excerpt(line).escape_debug());
        self.report_violation(at, Rule::LineChanged, subject, description);
    }

    /// Reports a datagram of more than [`MAX_DATAGRAM_BYTES`].
    pub fn report_oversized_datagram(&mut self, at: Micros, from: ProxyId, to: ProxyId, bytes: u32) {
        let subject = Subject { proxy: Some(from), ..Subject::default() };
        let description =
            format!("{bytes} bytes to proxy {}, at most {MAX_DATAGRAM_BYTES} are allowed", to.0);
        self.report_violation(at, Rule::OversizedDatagram, subject, description);
    }
}

/// The first 120 characters of a line, for a description.
fn excerpt(line: &str) -> String {
    line.chars().take(120).collect()
}

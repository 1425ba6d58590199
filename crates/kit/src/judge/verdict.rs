//! The verdict on a run: outcome, findings, missed demands and figures.

use super::figures::Figures;
use super::lateness::Lateness;
use super::rule::Rule;
use super::rule_output::{RuleOutput, Violation};
use crate::plan::Plan;
use crate::time::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// How a run came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every rule was kept and every demand reached.
    Passed,
    /// A rule was broken or a demand not reached.
    Failed,
    /// The kit itself ran late, so the run proves nothing.
    Void,
}

/// A violation: the rule, the time, the parties, and what was required.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// When it was broken, or when that was certain; microseconds since the run began.
    pub at: Micros,
    /// The request's id, as on the wire.
    pub request: Option<String>,
    /// The session's number.
    pub session: Option<u32>,
    /// The misbehaving client's number.
    pub rude: Option<u32>,
    /// The render node's name.
    pub node: Option<String>,
    /// The proxy's name.
    pub proxy: Option<String>,
    /// What was required, what was observed, and when.
    #[serde(rename = "what")]
    pub description: String,
    /// What was seen of the same request, and of the state of its render node and proxy, a little before and after.
    #[serde(rename = "around")]
    pub surrounding_events: Vec<String>,
}

/// A demand that was not reached.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MissedDemand {
    /// Which: `service`, `worst_window`, or `datagram_bytes_per_s`, which is a bound from above.
    pub demand: &'static str,
    /// What was demanded.
    pub demanded: f64,
    /// What was reached; none if nothing was asked for, which proves nothing.
    pub reached: Option<f64>,
}

/// The verdict on a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The scenario's name.
    pub scenario: String,
    /// The plan's seed.
    pub seed: u64,
    /// Until when it was judged.
    pub judged_to: Micros,
    /// How it came out.
    pub outcome: Outcome,
    /// Why it is void.
    pub void: Option<String>,
    /// How often each rule was broken; those that were kept are left out.
    #[serde(rename = "breaks")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first ten breaks of each rule, in the order in which they were found.
    pub findings: Vec<Finding>,
    /// Demands that were not reached.
    #[serde(rename = "unreached")]
    pub missed_demands: Vec<MissedDemand>,
    /// How late the kit ran.
    pub lateness: Lateness,
    /// The figures.
    pub figures: Figures,
}

impl Verdict {
    pub(super) fn new(
        plan: &Plan,
        end: Micros,
        lateness: Lateness,
        output: RuleOutput,
        figures: Figures,
    ) -> Self {
        let ratios = &figures.service.ratios;
        let demands = [
            ("service", plan.demands.service, ratios.whole),
            ("worst_window", plan.demands.worst_window, ratios.worst_window),
        ];
        let missed_demands: Vec<MissedDemand> = demands
            .into_iter()
            .filter(|(_, demanded, reached)| *demanded > 0.0 && reached.is_none_or(|r| r < *demanded))
            .map(|(demand, demanded, reached)| MissedDemand { demand, demanded, reached })
            .chain(too_many_bytes(plan, &figures))
            .collect();
        let void = lateness.void_reason();
        let outcome = match &void {
            Some(_) => Outcome::Void,
            None if output.counts.is_empty() && missed_demands.is_empty() => Outcome::Passed,
            None => Outcome::Failed,
        };
        Verdict {
            scenario: plan.name.clone(),
            seed: plan.seed,
            judged_to: end,
            outcome,
            void,
            violations: output.counts,
            findings: output.violations.into_iter().map(|violation| finding(plan, violation)).collect(),
            missed_demands,
            lateness,
            figures,
        }
    }

    /// Every rule was kept and every demand reached.
    pub fn passed(&self) -> bool {
        self.outcome == Outcome::Passed
    }

    /// The run proves nothing.
    pub fn is_void(&self) -> bool {
        self.outcome == Outcome::Void
    }

    /// The one figure of the run: the mix of the service ratios; 0 if nothing was asked for.
    pub fn service(&self) -> f64 {
        self.figures.service.ratios.mix.unwrap_or(0.0)
    }

    /// Rules that were broken.
    pub fn violated_rules(&self) -> impl Iterator<Item = Rule> {
        self.violations.keys().copied()
    }

    /// How often the rule was broken.
    pub fn violation_count(&self, rule: Rule) -> u64 {
        self.violations.get(&rule).copied().unwrap_or(0)
    }
}

/// The proxy that sent most in a second, if that was more than is allowed.
fn too_many_bytes(plan: &Plan, figures: &Figures) -> Option<MissedDemand> {
    let most = figures.proxies.iter().map(|proxy| proxy.most_bytes_in_a_second).max()?;
    let allowed = plan.demands.datagram_bytes_per_s;
    let (demanded, reached) = (allowed as f64, Some(most as f64));
    (allowed > 0 && most > allowed).then_some(MissedDemand {
        demand: "datagram_bytes_per_s",
        demanded,
        reached,
    })
}

fn finding(plan: &Plan, violation: Violation) -> Finding {
    let subject = violation.subject;
    let node = |i: u16| plan.nodes.get(usize::from(i)).map_or_else(|| i.to_string(), |n| n.name.clone());
    let proxy = |i: u16| plan.proxies.get(usize::from(i)).map_or_else(|| i.to_string(), |p| p.name.clone());
    Finding {
        rule: violation.rule,
        at: violation.at,
        request: subject.request.map(|r| format!("{:016x}", r.0)),
        session: subject.session.map(|s| s.0),
        rude: subject.rude,
        node: subject.node.map(|n| node(n.0)),
        proxy: subject.proxy.map(|p| proxy(p.0)),
        description: violation.description,
        surrounding_events: violation.surrounding_events.iter().map(ToString::to_string).collect(),
    }
}

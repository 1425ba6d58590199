//! The verdict on a run: outcome, findings, missed demands and statistics.

use super::figures::Figures;
use super::lateness::Lateness;
use super::rule::Rule;
use super::rule_output::{RuleOutput, Violation};
use crate::plan::Plan;
use crate::time::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No rule was violated and every demand was reached.
    Passed,
    /// A rule was violated or a demand was not reached.
    Failed,
    /// The kit itself ran late, so the run proves nothing.
    Void,
}

/// A violation for the report: the rule, the time, the parties, and a description.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation occurred or became certain, in microseconds since the start of the run.
    pub at: Micros,
    /// Id of the request, formatted as on the wire.
    pub request: Option<String>,
    /// Index of the session in the plan.
    pub session: Option<u32>,
    /// Index of the misbehaving client in the plan.
    pub rude: Option<u32>,
    /// Name of the render node.
    pub node: Option<String>,
    /// Name of the proxy.
    pub proxy: Option<String>,
    /// What was required, and what was observed at which time.
    #[serde(rename = "what")]
    pub description: String,
    /// Observations of the same request, and of the state of its render node and proxy, shortly before and after the
    /// violation.
    #[serde(rename = "around")]
    pub surrounding_events: Vec<String>,
}

/// A demand that was not reached.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MissedDemand {
    /// Name of the demand: `service`, `worst_window`, or `datagram_bytes_per_s`, which is an upper limit.
    pub demand: &'static str,
    /// The demanded value.
    pub demanded: f64,
    /// The measured value; `None` if no service was requested, so that the demand can't be shown to be reached.
    pub reached: Option<f64>,
}

/// The verdict on a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Time up to which the run was judged.
    pub judged_to: Micros,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// The reason why the run is void; `None` if it is valid.
    pub void: Option<String>,
    /// Number of violations of each violated rule.
    #[serde(rename = "breaks")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first ten violations of each rule, in the order in which they were found.
    pub findings: Vec<Finding>,
    /// Demands that were not reached.
    #[serde(rename = "unreached")]
    pub missed_demands: Vec<MissedDemand>,
    /// Lag of the kit.
    pub lateness: Lateness,
    /// Statistics of the run.
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
            .chain(exceeded_datagram_limit(plan, &figures))
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

    /// Whether no rule was violated and every demand was reached.
    pub fn passed(&self) -> bool {
        self.outcome == Outcome::Passed
    }

    /// Whether the kit ran late, so that the run proves nothing.
    pub fn is_void(&self) -> bool {
        self.outcome == Outcome::Void
    }

    /// The weighted mean of the service ratios, which rates the run as a whole; 0 if no service was requested.
    pub fn service(&self) -> f64 {
        self.figures.service.ratios.mix.unwrap_or(0.0)
    }

    /// The violated rules.
    pub fn violated_rules(&self) -> impl Iterator<Item = Rule> {
        self.violations.keys().copied()
    }

    /// Number of violations of the rule.
    pub fn violation_count(&self, rule: Rule) -> u64 {
        self.violations.get(&rule).copied().unwrap_or(0)
    }
}

/// The missed demand of the proxy that sent the most datagram bytes in a second, if that is more than allowed.
fn exceeded_datagram_limit(plan: &Plan, figures: &Figures) -> Option<MissedDemand> {
    let largest = figures.proxies.iter().map(|proxy| proxy.most_bytes_in_a_second).max()?;
    let allowed = plan.demands.datagram_bytes_per_s;
    let (demanded, reached) = (allowed as f64, Some(largest as f64));
    (allowed > 0 && largest > allowed).then_some(MissedDemand {
        demand: "datagram_bytes_per_s",
        demanded,
        reached,
    })
}

/// Converts a violation for the report, with the names of the plan instead of indices.
fn finding(plan: &Plan, violation: Violation) -> Finding {
    let subject = violation.subject;
    let node_name =
        |index: u16| plan.nodes.get(usize::from(index)).map_or_else(|| index.to_string(), |n| n.name.clone());
    let proxy_name = |index: u16| {
        plan.proxies.get(usize::from(index)).map_or_else(|| index.to_string(), |p| p.name.clone())
    };
    Finding {
        rule: violation.rule,
        at: violation.at,
        request: subject.request.map(|request| format!("{:016x}", request.0)),
        session: subject.session.map(|session| session.0),
        rude: subject.misbehaving_client,
        node: subject.node.map(|id| node_name(id.0)),
        proxy: subject.proxy.map(|id| proxy_name(id.0)),
        description: violation.description,
        surrounding_events: violation.surrounding_events.iter().map(ToString::to_string).collect(),
    }
}

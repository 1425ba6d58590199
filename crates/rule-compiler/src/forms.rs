//! Determines the form in which each kind of rule runs on each hardware class, given the class's features.

use std::collections::BTreeSet;
use std::sync::Arc;

use cottonnotch_routing_rules::{MoveCondition, PlacementMode, Rule, RuleKind, Strength};

use crate::plan_body::{CompiledForm, Counted, NodeSet};
use crate::profile::{Budgets, Features};
use crate::table::Execution;

/// A hardware class, or the entry that stands for all classes that the plan doesn't list.
pub(crate) struct Class {
    pub name: Arc<str>,
    /// Whether the plan lists the class.
    pub listed: bool,
    pub features: Features,
    pub budgets: Budgets,
}

/// How a rule runs on a class, and the reason, which says what is lost. The reason is empty if the rule runs exactly.
pub(crate) type ClassExecution = (Execution, &'static str);

const EXACTLY: ClassExecution = (Execution::Exactly, "");

/// A rule's compiled form, and how the rule runs on each class. The form is `None` for a preference that can't order nodes;
/// an execution is `None` for a class of which the rule selects no nodes.
pub(crate) struct RuleForms {
    pub form: Option<CompiledForm>,
    pub executions: Vec<Option<ClassExecution>>,
}

/// Whether a rule is a preference, which only orders nodes.
pub(crate) fn is_preference(rule: &Rule) -> bool {
    rule.strength == Strength::Preference
}

/// Whether a rule may select nodes of a class.
fn selects(rule: &Rule, class: &Class) -> bool {
    match &rule.kind {
        RuleKind::Place { hardware, .. } | RuleKind::Cap { hardware, .. } => {
            hardware.is_empty() || (class.listed && hardware.contains(&*class.name))
        }
        _ => true,
    }
}

/// Compiles a rule for the classes' features, without regard to their budgets.
pub(crate) fn rule_forms(rule: &Rule, classes: &[Class]) -> RuleForms {
    let each = |executions: &dyn Fn(&Class) -> ClassExecution| each(rule, classes, executions);
    let forms = |form, executions| RuleForms { form: Some(form), executions };
    if is_preference(rule) {
        return compile_preference(rule, classes);
    }
    match &rule.kind {
        RuleKind::Place { how, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            // A requirement with `prefer` has the effect of one with `require`, as in the routing rules.
            let form = if *how == PlacementMode::Avoid {
                CompiledForm::Avoid(nodes)
            } else {
                CompiledForm::Require(nodes)
            };
            forms(form, each(&|_| EXACTLY))
        }
        RuleKind::Cap { connections, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            let (connections, executions) = compile_cap(*connections, each(&cap_on));
            forms(CompiledForm::Cap { connections, nodes }, executions)
        }
        RuleKind::Spread { nodes } => {
            let (form, executions) = compile_spread(*nodes, each(&spread_on), classes);
            forms(form, executions)
        }
        RuleKind::Pace { per_s_milli } => forms(CompiledForm::Pace(*per_s_milli), each(&|_| EXACTLY)),
        RuleKind::Attempts { most } => forms(CompiledForm::Attempts(*most), each(&|_| EXACTLY)),
        RuleKind::Move { when } => {
            let executions = each(&|class| move_on(*when, class));
            let stricter = executions.iter().zip(0..).filter(|(run, _)| runs_as(run, Execution::Stricter));
            let drains_only = stricter.map(|(_, class)| class).collect();
            forms(CompiledForm::Move { when: *when, drains_only }, executions)
        }
    }
}

fn runs_as(run: &Option<ClassExecution>, execution: Execution) -> bool {
    run.as_ref().is_some_and(|run| run.0 == execution)
}

fn each(
    rule: &Rule,
    classes: &[Class],
    executions: &dyn Fn(&Class) -> ClassExecution,
) -> Vec<Option<ClassExecution>> {
    classes.iter().map(|class| selects(rule, class).then(|| executions(class))).collect()
}

fn compile_preference(rule: &Rule, classes: &[Class]) -> RuleForms {
    let each = |executions: &dyn Fn(&Class) -> ClassExecution| each(rule, classes, executions);
    match &rule.kind {
        RuleKind::Place { how, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            let form = CompiledForm::Preference { avoid: *how == PlacementMode::Avoid, nodes };
            RuleForms { form: Some(form), executions: each(&order_on) }
        }
        RuleKind::Move { when } => {
            let executions = each(&|class| match move_on(*when, class) {
                EXACTLY => EXACTLY,
                _ => (Execution::Dropped, "its nodes move all that they hold at once"),
            });
            RuleForms { form: Some(CompiledForm::MovePreference(*when)), executions }
        }
        // A preference only orders the allowed nodes. A numeric limit can't order nodes, and enforcing it would reject
        // requests because of a preference.
        _ => RuleForms {
            form: None,
            executions: each(&|_| {
                (Execution::Dropped, "a number orders nothing, so it has no effect as a preference")
            }),
        },
    }
}

fn order_on(class: &Class) -> ClassExecution {
    let features = class.features;
    if features.takes_weights {
        EXACTLY
    } else if features.reports_latency {
        (
            Execution::Stricter,
            "ordered all or nothing, by reported latencies: without weights, no share can be moved",
        )
    } else {
        let why = "it takes no weights and tells no delays, so preferred nodes would be overrun unseen";
        (Execution::Dropped, why)
    }
}

fn cap_on(class: &Class) -> ClassExecution {
    if class.features.reports_loads {
        EXACTLY
    } else if class.features.answers_probes {
        let reason = "its established connections are known from probes only: the whole cap is lowered to three quarters";
        (Execution::Stricter, reason)
    } else {
        (
            Execution::Unsupported,
            "it neither tells its loads nor answers probes, so nobody knows what stands there",
        )
    }
}

/// Lowers a cap to three quarters if a class's connections are known from probes only, since up to a third more connections
/// may be established there than are counted. The whole cap is lowered: if only that class's part were, the other classes
/// could use up the difference.
fn compile_cap(
    connections: u64,
    mut executions: Vec<Option<ClassExecution>>,
) -> (u64, Vec<Option<ClassExecution>>) {
    if !executions.iter().any(|run| runs_as(run, Execution::Stricter)) {
        return (connections, executions);
    }
    for exact in executions.iter_mut().flatten().filter(|run| run.0 == Execution::Exactly) {
        *exact = (
            Execution::Stricter,
            "shares its cap with a class known from probes only: lowered to three quarters",
        );
    }
    (connections - connections.div_ceil(4), executions)
}

fn spread_on(class: &Class) -> ClassExecution {
    if class.features.keeps_groups {
        EXACTLY
    } else if class.features.reports_loads {
        let reason = "a hall preference and a cap on the group's connections: each could be on a node of its own, so \
                     the group gets no more connections there than it may have nodes";
        (Execution::Stricter, reason)
    } else {
        (
            Execution::Unsupported,
            "it neither keeps groups nor tells its loads, so nobody knows where a group is",
        )
    }
}

/// Compiles a spread. On classes that keep no groups, the spread becomes a bound on a group's connections. If there are also
/// classes that keep groups, half of the nodes go to the bound on connections and the rest stay a bound on nodes, so that
/// the sum is within the spread.
fn compile_spread(
    nodes: u32,
    mut executions: Vec<Option<ClassExecution>>,
    classes: &[Class],
) -> (CompiledForm, Vec<Option<ClassExecution>>) {
    let exact = executions.iter().any(|run| runs_as(run, Execution::Exactly));
    let names = |executions: &[Option<ClassExecution>]| -> BTreeSet<String> {
        let stricter = executions.iter().zip(classes).filter(|(run, _)| runs_as(run, Execution::Stricter));
        stricter.map(|(_, class)| class.name.to_string()).collect()
    };
    let counted_on = names(&executions);
    let counted = if exact { nodes / 2 } else { nodes };
    if counted_on.is_empty() || counted == 0 {
        for stricter in executions.iter_mut().flatten().filter(|run| run.0 == Execution::Stricter) {
            *stricter =
                (Execution::Unsupported, "it keeps no groups, and the spread is too small to be divided");
        }
        return (CompiledForm::Spread { nodes, counted: None }, executions);
    }
    if exact {
        for exact in executions.iter_mut().flatten().filter(|run| run.0 == Execution::Exactly) {
            *exact = (
                Execution::Stricter,
                "half of its nodes go to classes where connections are counted instead",
            );
        }
    }
    let left = if exact { nodes - counted } else { nodes };
    let on = NodeSet { halls: BTreeSet::new(), hardware: counted_on };
    (
        CompiledForm::Spread { nodes: left, counted: Some(Counted { connections: counted, nodes: on }) },
        executions,
    )
}

fn move_on(when: MoveCondition, class: &Class) -> ClassExecution {
    if when == MoveCondition::DrainsOnly || class.features.drained_by_pieces {
        EXACTLY
    } else if class.features.reports_loads {
        let reason = "moved only when the node drains: its nodes move all connections at once, so none can be moved last";
        (Execution::Stricter, reason)
    } else {
        (
            Execution::Unsupported,
            "its nodes move all connections at once, and don't report when they are about to do so",
        )
    }
}

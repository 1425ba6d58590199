//! What each kind of rule becomes on each class, by the class's features.

use std::collections::BTreeSet;
use std::sync::Arc;

use cottonnotch_routing_rules::{MoveCondition, PlacementMode, Rule, RuleKind, Strength};

use crate::plan_body::{CompiledForm, Counted, NodeSet};
use crate::profile::{Budgets, Features};
use crate::table::Execution;

/// A hardware class, or every class that isn't listed.
pub(crate) struct Class {
    pub name: Arc<str>,
    /// Whether it is in the plan's list.
    pub listed: bool,
    pub features: Features,
    pub budgets: Budgets,
}

/// How a rule runs on a class, and what is lost.
pub(crate) type ClassExecution = (Execution, &'static str);

const EXACTLY: ClassExecution = (Execution::Exactly, "");

/// A rule's form, if it has any, and how it runs on each class; `None` where it selects no node of the class.
pub(crate) struct RuleForms {
    pub form: Option<CompiledForm>,
    pub executions: Vec<Option<ClassExecution>>,
}

/// Whether a rule only orders nodes.
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

/// Compiles a rule by the features of the classes, whatever their budgets.
pub(crate) fn rule_forms(rule: &Rule, classes: &[Class]) -> RuleForms {
    let each = |executions: &dyn Fn(&Class) -> ClassExecution| each(rule, classes, executions);
    let forms = |form, executions| RuleForms { form: Some(form), executions };
    if is_preference(rule) {
        return preference(rule, classes);
    }
    match &rule.kind {
        RuleKind::Place { how, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            // A requirement that prefers holds as one that requires, as the routing rules read it.
            let form = if *how == PlacementMode::Avoid {
                CompiledForm::Avoid(nodes)
            } else {
                CompiledForm::Require(nodes)
            };
            forms(form, each(&|_| EXACTLY))
        }
        RuleKind::Cap { connections, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            let (connections, executions) = cap(*connections, each(&cap_on));
            forms(CompiledForm::Cap { connections, nodes }, executions)
        }
        RuleKind::Spread { nodes } => {
            let (form, executions) = spread(*nodes, each(&spread_on), classes);
            forms(form, executions)
        }
        RuleKind::Pace { per_s_milli } => forms(CompiledForm::Pace(*per_s_milli), each(&|_| EXACTLY)),
        RuleKind::Attempts { most } => forms(CompiledForm::Attempts(*most), each(&|_| EXACTLY)),
        RuleKind::Move { when } => {
            let executions = each(&|class| move_on(*when, class));
            let stricter = executions.iter().zip(0..).filter(|(run, _)| is(run, Execution::Stricter));
            let drains_only = stricter.map(|(_, class)| class).collect();
            forms(CompiledForm::Move { when: *when, drains_only }, executions)
        }
    }
}

fn is(run: &Option<ClassExecution>, execution: Execution) -> bool {
    run.as_ref().is_some_and(|run| run.0 == execution)
}

fn each(
    rule: &Rule,
    classes: &[Class],
    executions: &dyn Fn(&Class) -> ClassExecution,
) -> Vec<Option<ClassExecution>> {
    classes.iter().map(|class| selects(rule, class).then(|| executions(class))).collect()
}

fn preference(rule: &Rule, classes: &[Class]) -> RuleForms {
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
        // A preference orders what is allowed, and a number orders nothing: to enforce it would be to reject by a preference.
        _ => RuleForms {
            form: None,
            executions: each(&|_| {
                (Execution::Dropped, "a number orders nothing, so as a wish it does nothing")
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
            "ordered all or nothing, by told delays: without weights, no share can be moved",
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
        let reason =
            "its standing connections are known by probes only: the whole cap is held at three quarters";
        (Execution::Stricter, reason)
    } else {
        (
            Execution::Unsupported,
            "it neither tells its loads nor answers probes, so nobody knows what stands there",
        )
    }
}

/// Where what stands is known by probes only, up to a third more may stand than is counted, so three quarters are held of
/// the whole: held of that class's part only, the other classes could still fill up the rest.
fn cap(connections: u64, mut executions: Vec<Option<ClassExecution>>) -> (u64, Vec<Option<ClassExecution>>) {
    if !executions.iter().any(|run| is(run, Execution::Stricter)) {
        return (connections, executions);
    }
    for exact in executions.iter_mut().flatten().filter(|run| run.0 == Execution::Exactly) {
        *exact =
            (Execution::Stricter, "shares its cap with a class known by probes only: held at three quarters");
    }
    (connections - connections.div_ceil(4), executions)
}

fn spread_on(class: &Class) -> ClassExecution {
    if class.features.keeps_groups {
        EXACTLY
    } else if class.features.reports_loads {
        let reason = "a hall preference and a cap of as many connections of the group, as each could be on a node of \
                     its own: the group gets no more connections there than it may have nodes";
        (Execution::Stricter, reason)
    } else {
        (
            Execution::Unsupported,
            "it neither keeps groups nor tells its loads, so nobody knows where a group is",
        )
    }
}

/// A group on both sorts of classes gets half of the nodes as a bound on connections where they are counted and the rest as
/// nodes, as the sum is what is bounded.
fn spread(
    nodes: u32,
    mut executions: Vec<Option<ClassExecution>>,
    classes: &[Class],
) -> (CompiledForm, Vec<Option<ClassExecution>>) {
    let exact = executions.iter().any(|run| is(run, Execution::Exactly));
    let names = |executions: &[Option<ClassExecution>]| -> BTreeSet<String> {
        let stricter = executions.iter().zip(classes).filter(|(run, _)| is(run, Execution::Stricter));
        stricter.map(|(_, class)| class.name.to_string()).collect()
    };
    let counted_on = names(&executions);
    let counted = if exact { nodes / 2 } else { nodes };
    if counted_on.is_empty() || counted == 0 {
        for stricter in executions.iter_mut().flatten().filter(|run| run.0 == Execution::Stricter) {
            *stricter =
                (Execution::Unsupported, "it keeps no groups, and the spread is too small to give it a part");
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
        let reason =
            "moved only when its node drains: its nodes move all that they hold at once, so nothing is last";
        (Execution::Stricter, reason)
    } else {
        (
            Execution::Unsupported,
            "its nodes move all that they hold at once, and don't tell when they are about to",
        )
    }
}

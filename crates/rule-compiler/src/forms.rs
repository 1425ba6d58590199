//! What each kind of rule becomes on each class, by the class's features.

use std::collections::BTreeSet;
use std::sync::Arc;

use cottonnotch_routing_rules::{MoveCondition, PlacementMode, Rule, RuleKind, Strength};

use crate::plan::{Counted, Form, NodeSet};
use crate::profile::{Budgets, Features};
use crate::table::Runs;

/// A hardware class, or every class that isn't listed.
pub(crate) struct Class {
    pub name: Arc<str>,
    /// Whether it is in the plan's list.
    pub listed: bool,
    pub features: Features,
    pub budgets: Budgets,
}

/// How a rule runs on a class, and what is lost.
pub(crate) type Run = (Runs, &'static str);

const EXACTLY: Run = (Runs::Exactly, "");

/// A rule's form, if it has any, and how it runs on each class; none where it means no node of the class.
pub(crate) struct Formed {
    pub form: Option<Form>,
    pub runs: Vec<Option<Run>>,
}

/// Whether a rule asks for an order only.
pub(crate) fn is_wish(rule: &Rule) -> bool {
    rule.strength == Strength::Preference
}

fn means(rule: &Rule, class: &Class) -> bool {
    match &rule.kind {
        RuleKind::Place { hardware, .. } | RuleKind::Cap { hardware, .. } => {
            hardware.is_empty() || (class.listed && hardware.contains(&*class.name))
        }
        _ => true,
    }
}

/// Lowers a rule by the features of the classes, without a look at their budgets.
pub(crate) fn form(rule: &Rule, classes: &[Class]) -> Formed {
    let each = |runs: &dyn Fn(&Class) -> Run| each(rule, classes, runs);
    let formed = |form, runs| Formed { form: Some(form), runs };
    if is_wish(rule) {
        return wish(rule, classes);
    }
    match &rule.kind {
        RuleKind::Place { how, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            // A must that prefers holds as one that requires, as the rulebook reads it.
            let form = if *how == PlacementMode::Avoid { Form::Avoid(nodes) } else { Form::Require(nodes) };
            formed(form, each(&|_| EXACTLY))
        }
        RuleKind::Cap { connections, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            let (connections, runs) = cap(*connections, each(&cap_on));
            formed(Form::Cap { connections, nodes }, runs)
        }
        RuleKind::Spread { nodes } => {
            let (form, runs) = spread(*nodes, each(&spread_on), classes);
            formed(form, runs)
        }
        RuleKind::Pace { per_s_milli } => formed(Form::Pace(*per_s_milli), each(&|_| EXACTLY)),
        RuleKind::Attempts { most } => formed(Form::Attempts(*most), each(&|_| EXACTLY)),
        RuleKind::Move { when } => {
            let runs = each(&|class| move_on(*when, class));
            let stricter = runs.iter().zip(0..).filter(|(run, _)| is(run, Runs::Stricter));
            let drains_only = stricter.map(|(_, class)| class).collect();
            formed(Form::Move { when: *when, drains_only }, runs)
        }
    }
}

fn is(run: &Option<Run>, runs: Runs) -> bool {
    run.as_ref().is_some_and(|run| run.0 == runs)
}

fn each(rule: &Rule, classes: &[Class], runs: &dyn Fn(&Class) -> Run) -> Vec<Option<Run>> {
    classes.iter().map(|class| means(rule, class).then(|| runs(class))).collect()
}

fn wish(rule: &Rule, classes: &[Class]) -> Formed {
    let each = |runs: &dyn Fn(&Class) -> Run| each(rule, classes, runs);
    match &rule.kind {
        RuleKind::Place { how, halls, hardware } => {
            let nodes = NodeSet { halls: halls.clone(), hardware: hardware.clone() };
            let form = Form::Wish { avoid: *how == PlacementMode::Avoid, nodes };
            Formed { form: Some(form), runs: each(&order_on) }
        }
        RuleKind::Move { when } => {
            let runs = each(&|class| match move_on(*when, class) {
                EXACTLY => EXACTLY,
                _ => (Runs::Dropped, "its nodes move all that they hold at once"),
            });
            Formed { form: Some(Form::WishMove(*when)), runs }
        }
        // A wish orders what is allowed, and a number orders nothing: to hold it would be to refuse by a wish.
        _ => Formed {
            form: None,
            runs: each(&|_| (Runs::Dropped, "a number orders nothing, so as a wish it does nothing")),
        },
    }
}

fn order_on(class: &Class) -> Run {
    let features = class.features;
    if features.takes_weights {
        EXACTLY
    } else if features.tells_delays {
        (Runs::Stricter, "ordered all or nothing, by told delays: without weights, no share can be moved")
    } else {
        let why = "it takes no weights and tells no delays, so preferred nodes would be overrun unseen";
        (Runs::Dropped, why)
    }
}

fn cap_on(class: &Class) -> Run {
    if class.features.tells_loads {
        EXACTLY
    } else if class.features.answers_probes {
        let words =
            "its standing connections are known by probes only: the whole cap is held at three quarters";
        (Runs::Stricter, words)
    } else {
        (Runs::NotAtAll, "it neither tells its loads nor answers probes, so nobody knows what stands there")
    }
}

/// Where what stands is known by probes only, up to a third more may stand than is counted, so three quarters are held of
/// the whole: held of that class's part only, the other classes could still fill up the rest.
fn cap(connections: u64, mut runs: Vec<Option<Run>>) -> (u64, Vec<Option<Run>>) {
    if !runs.iter().any(|run| is(run, Runs::Stricter)) {
        return (connections, runs);
    }
    for exact in runs.iter_mut().flatten().filter(|run| run.0 == Runs::Exactly) {
        *exact = (Runs::Stricter, "shares its cap with a class known by probes only: held at three quarters");
    }
    (connections - connections.div_ceil(4), runs)
}

fn spread_on(class: &Class) -> Run {
    if class.features.keeps_groups {
        EXACTLY
    } else if class.features.tells_loads {
        let words = "a hall preference and a cap of as many connections of the group, as each could be on a node of \
                     its own: the group gets no more connections there than it may have nodes";
        (Runs::Stricter, words)
    } else {
        (Runs::NotAtAll, "it neither keeps groups nor tells its loads, so nobody knows where a group is")
    }
}

/// A group on both sorts of classes gets half of the nodes as a bound on connections where they are counted and the rest as
/// nodes, as the sum is what is bounded.
fn spread(nodes: u32, mut runs: Vec<Option<Run>>, classes: &[Class]) -> (Form, Vec<Option<Run>>) {
    let exact = runs.iter().any(|run| is(run, Runs::Exactly));
    let names = |runs: &[Option<Run>]| -> BTreeSet<String> {
        let stricter = runs.iter().zip(classes).filter(|(run, _)| is(run, Runs::Stricter));
        stricter.map(|(_, class)| class.name.to_string()).collect()
    };
    let counted_on = names(&runs);
    let counted = if exact { nodes / 2 } else { nodes };
    if counted_on.is_empty() || counted == 0 {
        for stricter in runs.iter_mut().flatten().filter(|run| run.0 == Runs::Stricter) {
            *stricter = (Runs::NotAtAll, "it keeps no groups, and the spread is too small to give it a part");
        }
        return (Form::Spread { nodes, counted: None }, runs);
    }
    if exact {
        for exact in runs.iter_mut().flatten().filter(|run| run.0 == Runs::Exactly) {
            *exact =
                (Runs::Stricter, "half of its nodes go to classes where connections are counted instead");
        }
    }
    let left = if exact { nodes - counted } else { nodes };
    let on = NodeSet { halls: BTreeSet::new(), hardware: counted_on };
    (Form::Spread { nodes: left, counted: Some(Counted { connections: counted, nodes: on }) }, runs)
}

fn move_on(when: MoveCondition, class: &Class) -> Run {
    if when == MoveCondition::DrainsOnly || class.features.drained_by_pieces {
        EXACTLY
    } else if class.features.tells_loads {
        let words =
            "moved only when its node drains: its nodes move all that they hold at once, so nothing is last";
        (Runs::Stricter, words)
    } else {
        (Runs::NotAtAll, "its nodes move all that they hold at once, and don't tell when they are about to")
    }
}

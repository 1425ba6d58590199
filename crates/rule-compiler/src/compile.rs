//! Compiles a book and the profiles of hardware classes into a plan and the table that explains the plan.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cottonnotch_routing_rules::{Book, Rule, RuleKind, Selector, UncertaintyPolicy};

use crate::canonical::normalized;
use crate::forms::{Class, RuleForms, is_preference, rule_forms};
use crate::plan::Plan;
use crate::plan_body::{CompiledForm, CompiledRule, PlanError};
use crate::profile::{Budgets, Profile, Profiles};
use crate::table::{Execution, Row, UNKNOWN};

/// The result of compiling a book.
#[derive(Debug)]
pub struct Compiled {
    /// The compiled plan.
    pub plan: Plan,
    /// One row for each rule and each class of which the rule selects nodes. Rows are ordered by the rule's namespace and
    /// name, then by the class's name, with unknown classes last.
    pub table: Vec<Row>,
    /// How many preferences are dropped on at least one class.
    pub dropped: usize,
}

/// The Retry-After, in milliseconds, of a client rejected by a rule whose namespace isn't in the book. A merge never
/// makes such a book.
const UNKNOWN_NAMESPACE_RETRY_MS: u32 = 1000;
const PLAN_FULL: &str = "the plan is full; the rules that come last in the order are left out";
const TOO_MANY_REQUIREMENTS: &str = "the requirements exceed the size of a plan: nothing is allowed";

/// The uncertainty policy of each namespace's owner.
type Policies<'a> = BTreeMap<&'a str, UncertaintyPolicy>;

/// Compiles a book. On each class, each rule runs exactly, in a stricter form, or not at all.
pub fn compile(book: &Book, profiles: &Profiles) -> Compiled {
    let classes = classes(book, profiles);
    let mut forms: Vec<RuleForms> = book.rules.iter().map(|rule| rule_forms(rule, &classes)).collect();
    let order = order(&book.rules);
    for (at, class) in classes.iter().enumerate() {
        enforce_budgets(&book.rules, &mut forms, &order, at, class);
    }
    let hardware: Vec<String> =
        classes.iter().filter(|class| class.listed).map(|class| class.name.to_string()).collect();
    let plan = fit_plan(book, &mut forms, &order, &hardware);
    let (table, dropped) = table(book, &classes, forms);
    Compiled { plan, table, dropped }
}

/// Builds the plan from as many rules as fit into a plan. Preferences are left out from the end of the order until the rest
/// fits. If the requirements alone don't fit, the plan rejects every request.
fn fit_plan(book: &Book, forms: &mut [RuleForms], order: &[usize], hardware: &[String]) -> Plan {
    let policies: Policies =
        book.namespaces.iter().map(|owner| (owner.path.as_str(), owner.uncertainty_policy)).collect();
    let preferences = order.iter().filter(|&&at| is_preference(&book.rules[at])).count();
    let requirements = order.len() - preferences;
    let mut included = preferences;
    let plan = loop {
        match assemble(book, forms, &order[..requirements + included], hardware, &policies) {
            Ok(plan) => break plan,
            Err(_) if included > 0 => included /= 2,
            Err(_) => {
                for forms in &mut *forms {
                    leave_out(forms, Execution::Unsupported, TOO_MANY_REQUIREMENTS);
                }
                break reject_all();
            }
        }
    };
    for &at in &order[requirements + included..] {
        leave_out(&mut forms[at], Execution::Dropped, PLAN_FULL);
    }
    plan
}

fn leave_out(forms: &mut RuleForms, execution: Execution, reason: &'static str) {
    for on_class in forms.executions.iter_mut().flatten() {
        *on_class = (execution, reason);
    }
}

/// The classes that have a profile or that a rule names, followed by one entry that stands for all other classes.
fn classes(book: &Book, profiles: &Profiles) -> Vec<Class> {
    let named = book.rules.iter().filter_map(|rule| match &rule.kind {
        RuleKind::Place { hardware, .. } | RuleKind::Cap { hardware, .. } => Some(hardware),
        _ => None,
    });
    let names: BTreeSet<&String> = named.flatten().chain(profiles.keys()).collect();
    let class = |name: &str, listed| {
        let profile = if listed { profiles.get(name).copied() } else { None };
        let Profile { features, budgets } = profile.unwrap_or_default();
        Class { name: name.into(), listed, features, budgets }
    };
    names.iter().map(|name| class(name, true)).chain([class(UNKNOWN, false)]).collect()
}

/// The indices of the rules in the order in which budgets admit them: requirements before preferences, and within each by
/// ascending depth, then descending priority, then namespace and name.
fn order(rules: &[Rule]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..rules.len()).collect();
    order.sort_by_key(|&at| (is_preference(&rules[at]), rules[at].preference_order()));
    order
}

/// Removes from a class the first rule that exceeds one of the class's budgets and every rule after it in `order`. Thus
/// preferences are removed before requirements, and preferences of lower rank before those of higher rank.
fn enforce_budgets(rules: &[Rule], forms: &mut [RuleForms], order: &[usize], at: usize, class: &Class) {
    let mut usage = BudgetUsage::default();
    let mut exceeded: Option<&'static str> = None;
    for &rule_at in order {
        let rule = &rules[rule_at];
        let Some((execution, reason)) = &mut forms[rule_at].executions[at] else { continue };
        if execution.is_left_out() {
            continue;
        }
        if exceeded.is_none() {
            usage.add(rule, &class.budgets);
            exceeded = usage.exceeded(&class.budgets);
        }
        if let Some(why) = exceeded {
            *execution = if is_preference(rule) { Execution::Dropped } else { Execution::Unsupported };
            *reason = why;
        }
    }
}

/// How much of a class's budgets the rules use.
#[derive(Default)]
struct BudgetUsage<'a> {
    rules: u32,
    selectors: BTreeSet<&'a Selector>,
    bytes: u64,
}

impl<'a> BudgetUsage<'a> {
    fn add(&mut self, rule: &'a Rule, budgets: &Budgets) {
        self.rules += 1;
        // Usage of an unlimited budget isn't tracked.
        if budgets.selectors < u32::MAX {
            self.selectors.insert(&rule.on);
        }
        if budgets.bytes < u32::MAX {
            self.bytes += size(rule);
        }
    }

    fn exceeded(&self, budgets: &Budgets) -> Option<&'static str> {
        if self.rules > budgets.rules {
            Some("past the class's budget of rules")
        } else if self.selectors.len() as u64 > u64::from(budgets.selectors) {
            Some("past the class's budget of distinct selectors")
        } else if self.bytes > u64::from(budgets.bytes) {
            Some("past the class's budget of bytes")
        } else {
            None
        }
    }
}

/// How many bytes of a class's budget a rule uses.
fn size(rule: &Rule) -> u64 {
    let fields = (&rule.namespace, &rule.name, &rule.on, &rule.kind);
    postcard::to_allocvec(&fields).map_or(u64::from(u32::MAX), |bytes| bytes.len() as u64)
}

fn assemble(
    book: &Book,
    forms: &[RuleForms],
    included: &[usize],
    hardware: &[String],
    policies: &Policies,
) -> Result<Plan, PlanError> {
    let compiled = included.iter().filter_map(|&at| compile_rule(&book.rules[at], &forms[at], policies));
    Plan::new(hardware.to_vec(), compiled.collect())
}

/// Compiles one rule. Returns `None` if the rule matches no request, or is a preference that is dropped on every class.
fn compile_rule(rule: &Rule, forms: &RuleForms, policies: &Policies) -> Option<CompiledRule> {
    let mut on = rule.on.clone();
    on.groups = normalized(&on.groups);
    if on.groups.is_empty() != rule.on.groups.is_empty() {
        // All of the rule's ranges are empty, so the rule matches no request.
        return None;
    }
    let is_out =
        |on_class: &Option<_>| matches!(on_class, Some((execution, _)) if Execution::is_left_out(*execution));
    let out: Vec<u16> =
        forms.executions.iter().zip(0..).filter(|(run, _)| is_out(run)).map(|(_, class)| class).collect();
    let form = forms.form.clone()?;
    if form.is_preference() && out.len() == forms.executions.iter().flatten().count() {
        return None;
    }
    let uncertainty_policy = match policies.get(rule.namespace.as_str()) {
        _ if form.is_preference() => UncertaintyPolicy::Keep,
        Some(&policy) => policy,
        None => UncertaintyPolicy::Refuse { retry_ms: UNKNOWN_NAMESPACE_RETRY_MS },
    };
    Some(CompiledRule {
        namespace: rule.namespace.clone(),
        name: rule.name.clone(),
        depth: rule.depth,
        priority: rule.priority,
        on,
        uncertainty_policy,
        form,
        out,
    })
}

/// A plan that rejects every request.
fn reject_all() -> Plan {
    let rule = CompiledRule {
        namespace: String::new(),
        name: "no plan holds the musts".into(),
        depth: 0,
        priority: 0,
        on: Selector::default(),
        uncertainty_policy: UncertaintyPolicy::Refuse { retry_ms: UNKNOWN_NAMESPACE_RETRY_MS },
        form: CompiledForm::RejectAll,
        out: Vec::new(),
    };
    match Plan::new(Vec::new(), vec![rule]) {
        Ok(plan) => plan,
        Err(_) => unreachable!("a plan of one rule is within all bounds"),
    }
}

fn table(book: &Book, classes: &[Class], forms: Vec<RuleForms>) -> (Vec<Row>, usize) {
    let mut table = Vec::new();
    let mut dropped = 0;
    for (rule, forms) in book.rules.iter().zip(forms) {
        let id: Arc<str> = format!("{}:{}", rule.namespace, rule.name).into();
        let mut on_classes = forms.executions.iter().flatten();
        dropped += usize::from(on_classes.any(|(execution, _)| *execution == Execution::Dropped));
        for (on_class, class) in forms.executions.into_iter().zip(classes) {
            if let Some((execution, reason)) = on_class {
                table.push(Row { rule: id.clone(), class: class.name.clone(), execution, reason });
            }
        }
    }
    (table, dropped)
}

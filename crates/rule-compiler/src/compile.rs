//! From a book and the profiles to a plan and the table that explains it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cottonnotch_routing_rules::{Book, Rule, RuleKind, Selector, UncertaintyPolicy};

use crate::canonical::normalized;
use crate::forms::{Class, RuleForms, is_preference, rule_forms};
use crate::plan::Plan;
use crate::plan_body::{CompiledForm, CompiledRule, PlanError};
use crate::profile::{Budgets, Profile, Profiles};
use crate::table::{Execution, Row, UNKNOWN};

/// What became of a book.
#[derive(Debug)]
pub struct Compiled {
    /// The plan.
    pub plan: Plan,
    /// Each rule on each class of which it selects nodes: rules by namespace and name, classes by name, unknown ones last.
    pub table: Vec<Row>,
    /// How many preferences are dropped on some class.
    pub dropped: usize,
}

/// The Retry-After of a rejected client where a rule's namespace isn't in the book, which a merge never makes.
const STRAY_RETRY_MS: u32 = 1000;
const PLAN_FULL: &str = "no plan holds so many rules; those that go last are left out";
const TOO_MANY_REQUIREMENTS: &str = "the musts are more than a plan holds: nothing is allowed";

/// What owners ask for while a version is uncertain, by namespace.
type Policies<'a> = BTreeMap<&'a str, UncertaintyPolicy>;

/// Compiles a book: each rule for each class exactly, in a stricter form, or not at all.
pub fn compile(book: &Book, profiles: &Profiles) -> Compiled {
    let classes = classes(book, profiles);
    let mut forms: Vec<RuleForms> = book.rules.iter().map(|rule| rule_forms(rule, &classes)).collect();
    let order = order(&book.rules);
    for (at, class) in classes.iter().enumerate() {
        keep_budgets(&book.rules, &mut forms, &order, at, class);
    }
    let hardware: Vec<String> =
        classes.iter().filter(|class| class.listed).map(|class| class.name.to_string()).collect();
    let plan = fit_plan(book, &mut forms, &order, &hardware);
    let (table, dropped) = table(book, &classes, forms);
    Compiled { plan, table, dropped }
}

/// The plan of as many rules as one holds. What no plan holds is left out from the end of the order, preferences first; where
/// the requirements alone are too many, nothing is allowed.
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

/// The classes that have a profile or that a rule names, and then every other.
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

/// Requirements first, and of each sort those of fewer depth, then of higher priority, then by namespace and name.
fn order(rules: &[Rule]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..rules.len()).collect();
    order.sort_by_key(|&at| (is_preference(&rules[at]), rules[at].preference_order()));
    order
}

/// Takes rules from a class from the first one on that is past one of its budgets: so preferences go first, those of lowest
/// rank before others.
fn keep_budgets(rules: &[Rule], forms: &mut [RuleForms], order: &[usize], at: usize, class: &Class) {
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

/// What rules take of a class's budgets.
#[derive(Default)]
struct BudgetUsage<'a> {
    rules: u32,
    selectors: BTreeSet<&'a Selector>,
    bytes: u64,
}

impl<'a> BudgetUsage<'a> {
    fn add(&mut self, rule: &'a Rule, budgets: &Budgets) {
        self.rules += 1;
        // An unlimited budget needs no sums.
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

/// The bytes that a rule takes of a class's budget.
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

/// The rule of the plan; `None` if it concerns no request, or is a preference that is dropped on every class.
fn compile_rule(rule: &Rule, forms: &RuleForms, policies: &Policies) -> Option<CompiledRule> {
    let mut on = rule.on.clone();
    on.groups = normalized(&on.groups);
    if on.groups.is_empty() != rule.on.groups.is_empty() {
        // Its ranges hold no group, so it concerns no request.
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
        None => UncertaintyPolicy::Refuse { retry_ms: STRAY_RETRY_MS },
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

/// The plan that allows nothing.
fn reject_all() -> Plan {
    let rule = CompiledRule {
        namespace: String::new(),
        name: "no plan holds the musts".into(),
        depth: 0,
        priority: 0,
        on: Selector::default(),
        uncertainty_policy: UncertaintyPolicy::Refuse { retry_ms: STRAY_RETRY_MS },
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

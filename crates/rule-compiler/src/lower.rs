//! From a book and the profiles to a plan and the table that explains it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cottonnotch_routing_rules::{Book, Rule, RuleKind, Selector, UncertaintyPolicy};

use crate::canonical::tidied;
use crate::forms::{Class, Formed, form, is_wish};
use crate::plan::{BadPlan, Form, Lowrule, Plan};
use crate::profile::{Profile, Profiles};
use crate::table::{Row, Runs, UNKNOWN};

/// What became of a book.
#[derive(Debug)]
pub struct Lowered {
    /// The plan.
    pub plan: Plan,
    /// Each rule on each class that it means nodes of, rules by namespace and name, classes by name, unknown ones last.
    pub table: Vec<Row>,
    /// How many wishes are dropped on some class.
    pub dropped: usize,
}

/// What a refused client is told where a rule's namespace isn't in the book, which a merge never makes.
const STRAY_RETRY_MS: u32 = 1000;
const FULL: &str = "no plan holds so many rules; those that go last are left out";

/// Lowers a book: each rule for each class exactly, in a stricter form, or not at all.
pub fn lower(book: &Book, profiles: &Profiles) -> Lowered {
    let classes = classes(book, profiles);
    let mut formed: Vec<Formed> = book.rules.iter().map(|rule| form(rule, &classes)).collect();
    let order = order(&book.rules);
    for (at, class) in classes.iter().enumerate() {
        keep_budgets(&book.rules, &mut formed, &order, at, class);
    }
    let hardware: Vec<String> =
        classes.iter().filter(|class| class.listed).map(|class| class.name.to_string()).collect();
    let doubts: BTreeMap<&str, UncertaintyPolicy> =
        book.namespaces.iter().map(|owner| (owner.path.as_str(), owner.on_doubt)).collect();
    let wishes = order.iter().filter(|&&at| is_wish(&book.rules[at])).count();
    let musts = order.len() - wishes;
    // What no plan holds is left out from the end, wishes first; where the musts alone are too many, nothing is allowed.
    let mut kept = wishes;
    let plan = loop {
        match assemble(book, &formed, &order[..musts + kept], &hardware, &doubts) {
            Ok(plan) => break plan,
            Err(_) if kept > 0 => kept /= 2,
            Err(_) => {
                for formed in &mut formed {
                    leave_out(
                        formed,
                        Runs::NotAtAll,
                        "the musts are more than a plan holds: nothing is allowed",
                    );
                }
                break shut();
            }
        }
    };
    for &at in &order[musts + kept..] {
        leave_out(&mut formed[at], Runs::Dropped, FULL);
    }
    let (table, dropped) = table(book, &classes, formed);
    Lowered { plan, table, dropped }
}

fn leave_out(formed: &mut Formed, runs: Runs, words: &'static str) {
    for run in formed.runs.iter_mut().flatten() {
        *run = (runs, words);
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

/// Musts first, and of each sort those of fewer depth, then of higher priority, then by namespace and name.
fn order(rules: &[Rule]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..rules.len()).collect();
    order.sort_by_key(|&at| (is_wish(&rules[at]), rules[at].preference_order()));
    order
}

/// Takes rules from a class from the first one on that is past one of its budgets: so wishes go first, those of lowest rank
/// before others.
fn keep_budgets(rules: &[Rule], formed: &mut [Formed], order: &[usize], at: usize, class: &Class) {
    let (mut count, mut bytes) = (0u32, 0u64);
    let mut selectors: BTreeSet<&Selector> = BTreeSet::new();
    let mut past: Option<&'static str> = None;
    for &rule_at in order {
        let rule = &rules[rule_at];
        let Some((runs, words)) = &mut formed[rule_at].runs[at] else { continue };
        if matches!(runs, Runs::NotAtAll | Runs::Dropped) {
            continue;
        }
        let budgets = &class.budgets;
        if past.is_none() {
            count += 1;
            // A budget without an end needs no sums.
            if budgets.selectors < u32::MAX {
                selectors.insert(&rule.on);
            }
            if budgets.bytes < u32::MAX {
                bytes += size(rule);
            }
            past = if count > budgets.rules {
                Some("past the class's budget of rules")
            } else if selectors.len() as u64 > u64::from(budgets.selectors) {
                Some("past the class's budget of distinct selectors")
            } else if bytes > u64::from(budgets.bytes) {
                Some("past the class's budget of bytes")
            } else {
                None
            };
        }
        if let Some(why) = past {
            *runs = if is_wish(rule) { Runs::Dropped } else { Runs::NotAtAll };
            *words = why;
        }
    }
}

/// The bytes that a rule takes of a class's budget.
fn size(rule: &Rule) -> u64 {
    let parts = (&rule.namespace, &rule.name, &rule.on, &rule.kind);
    postcard::to_allocvec(&parts).map_or(u64::from(u32::MAX), |bytes| bytes.len() as u64)
}

fn assemble(
    book: &Book,
    formed: &[Formed],
    kept: &[usize],
    hardware: &[String],
    doubts: &BTreeMap<&str, UncertaintyPolicy>,
) -> Result<Plan, BadPlan> {
    let lowered = kept.iter().filter_map(|&at| lowrule(&book.rules[at], &formed[at], doubts));
    Plan::new(hardware.to_vec(), lowered.collect())
}

fn lowrule(rule: &Rule, formed: &Formed, doubts: &BTreeMap<&str, UncertaintyPolicy>) -> Option<Lowrule> {
    let mut on = rule.on.clone();
    on.groups = tidied(&on.groups);
    if on.groups.is_empty() != rule.on.groups.is_empty() {
        // Its ranges hold no group, so it speaks of no request.
        return None;
    }
    let out = formed.runs.iter().zip(0..).filter(|(run, _)| {
        run.as_ref().is_some_and(|(runs, _)| matches!(runs, Runs::NotAtAll | Runs::Dropped))
    });
    let out: Vec<u16> = out.map(|(_, class)| class).collect();
    let form = formed.form.clone()?;
    if form.is_wish() && out.len() == formed.runs.iter().flatten().count() {
        return None;
    }
    let on_doubt = match doubts.get(rule.namespace.as_str()) {
        _ if form.is_wish() => UncertaintyPolicy::Keep,
        Some(&on_doubt) => on_doubt,
        None => UncertaintyPolicy::Refuse { retry_ms: STRAY_RETRY_MS },
    };
    let (namespace, name) = (rule.namespace.clone(), rule.name.clone());
    Some(Lowrule { namespace, name, depth: rule.depth, priority: rule.priority, on, on_doubt, form, out })
}

/// The plan that allows nothing.
fn shut() -> Plan {
    let rule = Lowrule {
        namespace: String::new(),
        name: "no plan holds the musts".into(),
        depth: 0,
        priority: 0,
        on: Selector::default(),
        on_doubt: UncertaintyPolicy::Refuse { retry_ms: STRAY_RETRY_MS },
        form: Form::Shut,
        out: Vec::new(),
    };
    match Plan::new(Vec::new(), vec![rule]) {
        Ok(plan) => plan,
        Err(_) => unreachable!("a plan of one rule is within all bounds"),
    }
}

fn table(book: &Book, classes: &[Class], formed: Vec<Formed>) -> (Vec<Row>, usize) {
    let mut table = Vec::new();
    let mut dropped = 0;
    for (rule, formed) in book.rules.iter().zip(formed) {
        let id: Arc<str> = format!("{}:{}", rule.namespace, rule.name).into();
        dropped += usize::from(formed.runs.iter().flatten().any(|(runs, _)| *runs == Runs::Dropped));
        for (run, class) in formed.runs.into_iter().zip(classes) {
            if let Some((runs, words)) = run {
                table.push(Row { rule: id.clone(), class: class.name.clone(), runs, words });
            }
        }
    }
    (table, dropped)
}

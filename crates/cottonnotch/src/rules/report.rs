//! The report of `cottonnotch check` on the rules: the merged book, the conflicts, how each rule runs on each hardware class,
//! and how long two processes can act on different rules.

use super::config::ConsensusSection;
use super::settings::RulesSettings;
use cottonnotch_decision::settings::Profile;
use cottonnotch_routing_rules::{History, Merged, Rule, RuleKind, Strength, merge};
use cottonnotch_rule_compiler::compile;
use std::collections::BTreeSet;
use std::fmt::Write;

/// The report on the configured rules. `listed` has the kinds (hall and hardware class) of the known render nodes.
pub fn report(
    settings: &RulesSettings,
    section: &ConsensusSection,
    profile: &Profile,
    listed: BTreeSet<(String, String)>,
) -> String {
    let mut text = String::from("\n");
    // Writing to a string cannot fail.
    let _ = write_report(&mut text, settings, section, profile, listed);
    text
}

fn write_report(
    text: &mut String,
    settings: &RulesSettings,
    section: &ConsensusSection,
    profile: &Profile,
    listed: BTreeSet<(String, String)>,
) -> std::fmt::Result {
    if settings.consensus.is_some() {
        writeln!(text, "rules: two processes differ for at most {}", section.contradiction_sum())?;
    } else {
        writeln!(text, "rules: agreed with no other process, accord.listen is not set")?;
    }
    if listed.is_empty() {
        return writeln!(text, "rules: known names no render node, so rules cannot be judged here");
    }
    let inventory = settings.inventory(profile, listed);
    let Merged { book, history, conflicts } = merge(&History::default(), &settings.files, &inventory);
    for owner in &book.namespaces {
        writeln!(
            text,
            "rules: {} revision {}, in doubt: {:?}",
            owner.path, owner.revision, owner.uncertainty_policy
        )?;
    }
    for rule in &book.rules {
        writeln!(text, "rule: {}", format_rule(rule))?;
    }
    for conflict in &conflicts {
        writeln!(text, "conflict: {conflict}")?;
    }
    for (namespace, entry) in &history.namespaces {
        if entry.in_force.is_none() {
            writeln!(text, "held back: {namespace}")?;
        }
    }
    for row in compile(&book, &settings.profiles).table {
        writeln!(text, "runs: {row}")?;
    }
    Ok(())
}

fn format_rule(rule: &Rule) -> String {
    let strength = match rule.strength {
        Strength::Requirement => "must",
        Strength::Preference => "wish",
    };
    let names = |what: &str, names: &BTreeSet<String>| match names.is_empty() {
        true => String::new(),
        false => format!(" {what} {}", names.iter().map(String::as_str).collect::<Vec<_>>().join(",")),
    };
    let mut on = names("tenants", &rule.on.tenants) + &names("classes", &rule.on.classes);
    if !rule.on.groups.is_empty() {
        let format_range =
            |of: &cottonnotch_routing_rules::GroupRange| format!("{:#x}..{:#x}", of.first, of.last);
        on += &format!(" groups {}", rule.on.groups.iter().map(format_range).collect::<Vec<_>>().join(","));
    }
    let effect = match &rule.kind {
        RuleKind::Place { how, halls, hardware } => {
            format!("{how:?}{}{}", names("halls", halls), names("hardware", hardware)).to_lowercase()
        }
        RuleKind::Cap { connections, halls, hardware } => {
            format!("cap {connections}{}{}", names("halls", halls), names("hardware", hardware))
        }
        RuleKind::Spread { nodes } => format!("spread {nodes}"),
        RuleKind::Pace { per_s_milli } => format!("pace {} a second", *per_s_milli as f64 / 1e3),
        RuleKind::Attempts { most } => format!("attempts {most}"),
        RuleKind::Move { when } => format!("move {when:?}").to_lowercase(),
    };
    let on = if on.is_empty() { " all".to_owned() } else { on };
    format!(
        "{}:{} {strength} on{on}: {effect} ({}, line {})",
        rule.namespace, rule.name, rule.file, rule.line
    )
}

//! Compiles the content of a namespace under the chain of namespaces above it.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::book::{PlacementMode, Rule, RuleKind, Strength};
use crate::chain_conflicts;
use crate::compiled::{Compiled, Grant, ParsedFile, Placements, is_child};
use crate::conflict::Conflict;
use crate::file::{DeclaredRule, Delegate};
use crate::inventory::Inventory;
use crate::node_kind_set::NodeKindSet;
use crate::scope::Scope;

/// Compiles a content under a parent. `void` lists the children whose delegations are void.
pub(crate) fn compile(
    key: [u8; 32],
    parent: Option<Arc<Compiled>>,
    parsed: Arc<ParsedFile>,
    void: &[&str],
    inventory: &Inventory,
) -> Compiled {
    let scope = granted_scope(parent.as_deref(), &parsed.file.namespace, inventory);
    let depth = parent.as_ref().map_or(0, |parent| parent.depth + 1);
    let grants = grants(&parsed, &scope, void);
    let rules = rules(&parsed, &scope, &grants, depth);
    // A rule outside the scope is a conflict already. It is checked against other rules only once it is within the scope.
    let conflicts = chain_conflicts::out_of_scope_conflicts(&parsed, &scope, inventory);
    let out_of_scope = OutOfScope::of(&conflicts, &grants);
    let placements = placements(&rules, &out_of_scope, inventory);
    let out_of_scope_children = out_of_scope.children;
    let mut compiled = Compiled {
        key,
        parsed,
        parent,
        depth,
        scope,
        grants,
        rules,
        placements,
        out_of_scope_children,
        conflicts,
    };
    compiled.conflicts.extend(chain_conflicts::conflicts_with_chain(&compiled, inventory));
    compiled
}

/// The scope that the parent grants a namespace. The root's scope is everything.
fn granted_scope(parent: Option<&Compiled>, path: &str, inventory: &Inventory) -> Scope {
    let Some(parent) = parent else { return Scope::root(inventory) };
    match parent.grants.binary_search_by(|(child, ..)| child.as_str().cmp(path)) {
        Ok(index) => parent.grants[index].2.clone(),
        Err(_) => parent.scope.clone(),
    }
}

/// The grants of the namespace to its children, sorted by child, without the void ones.
fn grants(parsed: &ParsedFile, scope: &Scope, void: &[&str]) -> Vec<Grant> {
    let path = parsed.file.namespace.as_str();
    let takes_effect = |delegate: &&Delegate| {
        delegate.handed_to.is_none() && is_child(path, &delegate.to) && !void.contains(&delegate.to.as_str())
    };
    let grant = |delegate: &Delegate| {
        let location = parsed.location(delegate.line, &format!("delegate.{}", last_segment(&delegate.to)));
        (delegate.to.clone(), delegate.connections, scope.child(delegate, location))
    };
    let mut grants: Vec<Grant> = parsed.file.delegates.iter().filter(takes_effect).map(grant).collect();
    grants.sort_by(|a, b| a.0.cmp(&b.0));
    grants
}

/// The rules declared in the namespace and those implied by its delegations, sorted by name.
fn rules(parsed: &ParsedFile, scope: &Scope, grants: &[Grant], depth: u32) -> Vec<Rule> {
    let mut rules = own_rules(parsed, scope, depth);
    for (child, quota, granted) in grants {
        if let Some(delegate) = parsed.delegate(child) {
            rules.extend(delegated_rules(parsed, delegate, *quota, granted, depth));
        }
    }
    rules.sort_by(|a, b| a.name.cmp(&b.name));
    rules
}

/// The rules and delegations that name something outside the namespace's scope.
struct OutOfScope<'a> {
    names: BTreeSet<&'a str>,
    /// The children that are granted something outside the namespace's scope.
    children: BTreeSet<String>,
}

impl<'a> OutOfScope<'a> {
    fn of(conflicts: &'a [Conflict], grants: &[Grant]) -> OutOfScope<'a> {
        let names: BTreeSet<&str> = conflicts.iter().filter_map(Conflict::out_of_scope_name).collect();
        let is_out_of_scope = |child: &String| names.contains(format!("delegate {child}").as_str());
        let children = grants.iter().map(|(child, ..)| child.clone()).filter(is_out_of_scope).collect();
        OutOfScope { names, children }
    }

    /// Whether the rule is unowned, or implied by an unowned delegation.
    fn contains(&self, rule: &str) -> bool {
        let is_implied = |child: &String| rule.starts_with(&format!("delegate.{}.", last_segment(child)));
        self.names.contains(rule) || self.children.iter().any(is_implied)
    }
}

fn placements(rules: &[Rule], out_of_scope: &OutOfScope<'_>, inventory: &Inventory) -> Placements {
    let mut placements = Placements::default();
    for (index, rule) in rules.iter().enumerate() {
        let Some(nodes) = NodeKindSet::satisfying(inventory, &rule.kind) else { continue };
        if !out_of_scope.contains(&rule.name) {
            placements.push(index, rule, nodes);
        }
    }
    placements
}

fn last_segment(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or(path)
}

fn own_rules(parsed: &ParsedFile, scope: &Scope, depth: u32) -> Vec<Rule> {
    let rule = |declared: &DeclaredRule| Rule {
        namespace: parsed.file.namespace.clone(),
        name: declared.name.clone(),
        file: parsed.path_on_disk.clone(),
        line: declared.line,
        strength: declared.strength,
        priority: declared.priority,
        depth,
        on: scope.narrow(&declared.tenants, &declared.classes, &declared.groups),
        kind: declared.kind.clone(),
    };
    parsed.file.rules.iter().map(rule).collect()
}

/// The requirements implied by a delegation: the child uses only the nodes and connections that it was granted. They belong to
/// the parent, so that they hold whether or not the child has a file.
fn delegated_rules(
    parsed: &ParsedFile,
    delegate: &Delegate,
    quota: Option<u64>,
    granted: &Scope,
    depth: u32,
) -> Vec<Rule> {
    let rule = |what: &str, kind: RuleKind| Rule {
        namespace: parsed.file.namespace.clone(),
        name: format!("delegate.{}.{what}", last_segment(&delegate.to)),
        file: parsed.path_on_disk.clone(),
        line: delegate.line,
        strength: Strength::Requirement,
        priority: 0,
        depth,
        on: granted.on.clone(),
        kind,
    };
    let mut rules = Vec::new();
    if !delegate.halls.is_empty() || !delegate.hardware.is_empty() {
        let (halls, hardware) = (delegate.halls.clone(), delegate.hardware.clone());
        rules.push(rule("nodes", RuleKind::Place { how: PlacementMode::Require, halls, hardware }));
    }
    if let Some(connections) = quota {
        let (halls, hardware) = Default::default();
        rules.push(rule("connections", RuleKind::Cap { connections, halls, hardware }));
    }
    rules
}

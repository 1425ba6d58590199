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
    read: Arc<ParsedFile>,
    void: &[&str],
    inventory: &Inventory,
) -> Compiled {
    let scope = scope_under(parent.as_deref(), &read.file.namespace, inventory);
    let depth = parent.as_ref().map_or(0, |parent| parent.depth + 1);
    let grants = grants(&read, &scope, void);
    let rules = rules(&read, &scope, &grants, depth);
    // A rule outside the scope is a conflict already. It is checked against other rules only once it is within the scope.
    let conflicts = chain_conflicts::not_owned(&read, &scope, inventory);
    let unowned = Unowned::of(&conflicts, &grants);
    let placements = placements(&rules, &unowned, inventory);
    let unowned_children = unowned.children;
    let mut compiled =
        Compiled { key, read, parent, depth, scope, grants, rules, placements, unowned_children, conflicts };
    compiled.conflicts.extend(chain_conflicts::with_chain(&compiled, inventory));
    compiled
}

/// The scope that the parent grants a namespace. The root's scope is everything.
fn scope_under(parent: Option<&Compiled>, path: &str, inventory: &Inventory) -> Scope {
    let Some(parent) = parent else { return Scope::root(inventory) };
    match parent.grants.binary_search_by(|(child, ..)| child.as_str().cmp(path)) {
        Ok(at) => parent.grants[at].2.clone(),
        Err(_) => parent.scope.clone(),
    }
}

/// The grants of the namespace to its children, sorted by child, without the void ones.
fn grants(read: &ParsedFile, scope: &Scope, void: &[&str]) -> Vec<Grant> {
    let path = read.file.namespace.as_str();
    let counts = |delegate: &&Delegate| {
        delegate.handed_to.is_none() && is_child(path, &delegate.to) && !void.contains(&delegate.to.as_str())
    };
    let grant = |delegate: &Delegate| {
        let location = read.location(delegate.line, &format!("delegate.{}", last_segment(&delegate.to)));
        (delegate.to.clone(), delegate.connections, scope.child(delegate, location))
    };
    let mut grants: Vec<Grant> = read.file.delegates.iter().filter(counts).map(grant).collect();
    grants.sort_by(|a, b| a.0.cmp(&b.0));
    grants
}

/// The rules declared in the namespace and those implied by its delegations, sorted by name.
fn rules(read: &ParsedFile, scope: &Scope, grants: &[Grant], depth: u32) -> Vec<Rule> {
    let mut rules = own_rules(read, scope, depth);
    for (child, quota, given) in grants {
        if let Some(delegate) = read.delegate(child) {
            rules.extend(delegated_rules(read, delegate, *quota, given, depth));
        }
    }
    rules.sort_by(|a, b| a.name.cmp(&b.name));
    rules
}

/// The rules and delegations that name something outside the namespace's scope.
struct Unowned<'a> {
    names: BTreeSet<&'a str>,
    /// The children that are granted something outside the namespace's scope.
    children: BTreeSet<String>,
}

impl<'a> Unowned<'a> {
    fn of(conflicts: &'a [Conflict], grants: &[Grant]) -> Unowned<'a> {
        let names: BTreeSet<&str> = conflicts.iter().filter_map(Conflict::rule).collect();
        let is_unowned = |child: &String| names.contains(format!("delegate {child}").as_str());
        let children = grants.iter().map(|(child, ..)| child.clone()).filter(is_unowned).collect();
        Unowned { names, children }
    }

    /// Whether the rule is unowned, or implied by an unowned delegation.
    fn contains(&self, rule: &str) -> bool {
        let delegates = |child: &String| rule.starts_with(&format!("delegate.{}.", last_segment(child)));
        self.names.contains(rule) || self.children.iter().any(delegates)
    }
}

fn placements(rules: &[Rule], unowned: &Unowned<'_>, inventory: &Inventory) -> Placements {
    let mut placements = Placements::default();
    for (position, rule) in rules.iter().enumerate() {
        let Some(nodes) = NodeKindSet::satisfying(inventory, &rule.kind) else { continue };
        if !unowned.contains(&rule.name) {
            placements.push(position, rule, nodes);
        }
    }
    placements
}

fn last_segment(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or(path)
}

fn own_rules(read: &ParsedFile, scope: &Scope, depth: u32) -> Vec<Rule> {
    let rule = |stated: &DeclaredRule| Rule {
        namespace: read.file.namespace.clone(),
        name: stated.name.clone(),
        file: read.path_on_disk.clone(),
        line: stated.line,
        strength: stated.strength,
        priority: stated.priority,
        depth,
        on: scope.narrow(&stated.tenants, &stated.classes, &stated.groups),
        kind: stated.kind.clone(),
    };
    read.file.rules.iter().map(rule).collect()
}

/// The requirements implied by a delegation: the child uses only the nodes and connections that it was granted. They belong to
/// the parent, so that they hold whether or not the child has a file.
fn delegated_rules(
    read: &ParsedFile,
    to: &Delegate,
    quota: Option<u64>,
    given: &Scope,
    depth: u32,
) -> Vec<Rule> {
    let rule = |what: &str, kind: RuleKind| Rule {
        namespace: read.file.namespace.clone(),
        name: format!("delegate.{}.{what}", last_segment(&to.to)),
        file: read.path_on_disk.clone(),
        line: to.line,
        strength: Strength::Requirement,
        priority: 0,
        depth,
        on: given.on.clone(),
        kind,
    };
    let mut rules = Vec::new();
    if !to.halls.is_empty() || !to.hardware.is_empty() {
        let (halls, hardware) = (to.halls.clone(), to.hardware.clone());
        rules.push(rule("nodes", RuleKind::Place { how: PlacementMode::Require, halls, hardware }));
    }
    if let Some(connections) = quota {
        let (halls, hardware) = Default::default();
        rules.push(rule("connections", RuleKind::Cap { connections, halls, hardware }));
    }
    rules
}

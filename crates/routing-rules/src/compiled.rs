//! A namespace's content put into the terms of the book, under one chain of namespaces above it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::book::{PlacementMode, Rule, RuleKind, Strength};
use crate::chain_conflicts;
use crate::conflict::{Conflict, RuleLocation};
use crate::file::{Delegate, NamespaceFile};
use crate::inventory::Inventory;
use crate::node_kind_set::NodeKindSet;
use crate::scope::Scope;

/// A file that was read.
#[derive(Debug)]
pub(crate) struct Read {
    pub file: NamespaceFile,
    pub path_on_disk: String,
    pub text: Arc<str>,
    pub hash: [u8; 32],
    /// Where in `file.delegates` each child is.
    pub children: HashMap<String, usize>,
}

impl Read {
    pub fn new(file: NamespaceFile, path_on_disk: String, text: Arc<str>) -> Read {
        let children = file.delegates.iter().enumerate().map(|(at, d)| (d.to.clone(), at)).collect();
        let hash = *blake3::hash(text.as_bytes()).as_bytes();
        Read { file, path_on_disk, text, hash, children }
    }

    pub fn delegate(&self, child: &str) -> Option<&Delegate> {
        self.children.get(child).and_then(|at| self.file.delegates.get(*at))
    }

    pub fn spot(&self, line: u32, name: &str) -> RuleLocation {
        RuleLocation {
            namespace: self.file.namespace.clone(),
            file: self.path_on_disk.clone(),
            line,
            name: name.to_owned(),
        }
    }
}

/// A placement: a must that allows nodes, or a wish that some nodes satisfy.
#[derive(Debug)]
pub(crate) struct Placed {
    /// Where in `Compiled::rules` it is.
    pub rule: usize,
    pub nodes: NodeKindSet,
}

/// What a child was given: its path, its part of the connections, and what it has.
pub(crate) type Grant = (String, Option<u64>, Scope);

/// A namespace under one chain of parents. It depends on nothing but the chain's contents and the world.
#[derive(Debug)]
pub(crate) struct Compiled {
    /// A digest of all that it depends on.
    pub key: [u8; 32],
    pub read: Arc<Read>,
    pub parent: Option<Arc<Compiled>>,
    pub depth: u32,
    pub scope: Scope,
    /// What each child was given, as far as it counts.
    pub grants: Vec<Grant>,
    /// By name.
    pub rules: Vec<Rule>,
    pub placed: Vec<Placed>,
    /// Which of `placed` speak of a tenant by name.
    by_tenant: HashMap<String, Vec<usize>>,
    /// Which of `placed` speak of any tenant.
    any_tenant: Vec<usize>,
    /// The children that it gives what it doesn't have itself.
    pub unowned_children: BTreeSet<String>,
    /// The conflicts of its own with the chain above it, and among its delegations.
    pub conflicts: Vec<Conflict>,
}

impl Compiled {
    /// The digest for a content under a parent; `void` are the children whose delegations don't count.
    pub fn key(parent: Option<&Compiled>, read: &Read, void: &[&str]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&parent.map_or([0; 32], |parent| parent.key));
        hasher.update(&read.hash);
        // The file's name is in the rules, so it counts. Lengths keep one list of names from passing for another.
        for name in std::iter::once(read.path_on_disk.as_str()).chain(void.iter().copied()) {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        *hasher.finalize().as_bytes()
    }

    pub fn new(
        key: [u8; 32],
        parent: Option<Arc<Compiled>>,
        read: Arc<Read>,
        void: &[&str],
        world: &Inventory,
    ) -> Compiled {
        let path = read.file.namespace.as_str();
        let scope = match &parent {
            None => Scope::root(world),
            Some(above) => match above.grants.binary_search_by(|(child, ..)| child.as_str().cmp(path)) {
                Ok(at) => above.grants[at].2.clone(),
                Err(_) => above.scope.clone(),
            },
        };
        let depth = parent.as_ref().map_or(0, |parent| parent.depth + 1);
        let mut grants = Vec::new();
        for delegate in &read.file.delegates {
            let counts = delegate.handed_to.is_none()
                && is_child(path, &delegate.to)
                && !void.contains(&delegate.to.as_str());
            if counts {
                let spot = read.spot(delegate.line, &format!("delegate.{}", last_segment(&delegate.to)));
                grants.push((delegate.to.clone(), delegate.connections, scope.child(delegate, spot)));
            }
        }
        grants.sort_by(|a, b| a.0.cmp(&b.0));
        let mut rules = own_rules(&read, &scope, depth);
        rules.extend(grants.iter().flat_map(|(child, part, given)| {
            let delegate = read.delegate(child);
            delegate.map(|delegate| delegated(&read, delegate, *part, given, depth)).unwrap_or_default()
        }));
        rules.sort_by(|a, b| a.name.cmp(&b.name));
        // What isn't owned is in conflict as it is; whether it goes with the rest is asked once it is owned.
        let conflicts = chain_conflicts::not_owned(&read, &scope, world);
        let unowned: BTreeSet<&str> = conflicts.iter().filter_map(Conflict::rule).collect();
        let unowned_child = |child: &str| unowned.contains(format!("delegate {child}").as_str());
        let unowned_children: BTreeSet<String> =
            grants.iter().map(|(child, ..)| child.clone()).filter(|child| unowned_child(child)).collect();
        let delegation = |name: &str| {
            let of = |child: &String| name.starts_with(&format!("delegate.{}.", last_segment(child)));
            unowned_children.iter().any(of)
        };
        let mut placed = Vec::new();
        let (mut by_tenant, mut any_tenant) = (HashMap::<String, Vec<usize>>::new(), Vec::new());
        for (at, rule) in rules.iter().enumerate() {
            let Some(nodes) = NodeKindSet::satisfying(world, &rule.kind) else { continue };
            if unowned.contains(rule.name.as_str()) || delegation(&rule.name) {
                continue;
            }
            if rule.on.tenants.is_empty() {
                any_tenant.push(placed.len());
            }
            for tenant in &rule.on.tenants {
                by_tenant.entry(tenant.clone()).or_default().push(placed.len());
            }
            placed.push(Placed { rule: at, nodes });
        }
        let mut compiled = Compiled {
            key,
            read,
            parent,
            depth,
            scope,
            grants,
            rules,
            placed,
            by_tenant,
            any_tenant,
            unowned_children,
            conflicts,
        };
        compiled.conflicts.extend(chain_conflicts::with_chain(&compiled, world));
        compiled
    }

    pub fn path(&self) -> &str {
        &self.read.file.namespace
    }

    /// The placements that can match a request of this tenant.
    pub fn placed_for(&self, tenant: Option<&str>) -> impl Iterator<Item = (&Rule, &NodeKindSet)> {
        let named = tenant.and_then(|tenant| self.by_tenant.get(tenant)).map_or(&[][..], Vec::as_slice);
        self.any_tenant
            .iter()
            .chain(named)
            .map(|at| &self.placed[*at])
            .map(|placed| (&self.rules[placed.rule], &placed.nodes))
    }

    /// This namespace and those above it, from the root down.
    pub fn chain(&self) -> Vec<&Compiled> {
        let mut chain = vec![self];
        while let Some(parent) = chain.last().and_then(|last| last.parent.as_deref()) {
            chain.push(parent);
        }
        chain.reverse();
        chain
    }
}

pub(crate) fn is_child(parent: &str, path: &str) -> bool {
    parent_of(path) == Some(parent)
}

pub(crate) fn parent_of(path: &str) -> Option<&str> {
    path.rsplit_once('/').map(|(parent, _)| parent)
}

fn last_segment(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or(path)
}

fn own_rules(read: &Read, scope: &Scope, depth: u32) -> Vec<Rule> {
    let rule = |stated: &crate::file::DeclaredRule| Rule {
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

/// The musts that a delegation stands for: the child uses only the nodes and connections that it was given. They are the
/// parent's, so that they hold whether the child has a file or not.
fn delegated(read: &Read, to: &Delegate, part: Option<u64>, given: &Scope, depth: u32) -> Vec<Rule> {
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
    if let Some(connections) = part {
        let (halls, hardware) = Default::default();
        rules.push(rule("connections", RuleKind::Cap { connections, halls, hardware }));
    }
    rules
}

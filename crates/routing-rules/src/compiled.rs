//! A namespace's content put into the terms of the book, under one chain of namespaces above it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::book::Rule;
use crate::conflict::{Conflict, RuleLocation};
use crate::file::{Delegate, NamespaceFile};
use crate::node_kind_set::NodeKindSet;
use crate::scope::Scope;

/// A file that was read.
#[derive(Debug)]
pub(crate) struct ParsedFile {
    pub file: NamespaceFile,
    pub path_on_disk: String,
    pub text: Arc<str>,
    pub hash: [u8; 32],
    /// Where in `file.delegates` each child is.
    pub children: HashMap<String, usize>,
}

impl ParsedFile {
    pub fn new(file: NamespaceFile, path_on_disk: String, text: Arc<str>) -> ParsedFile {
        let children = file.delegates.iter().enumerate().map(|(at, d)| (d.to.clone(), at)).collect();
        let hash = *blake3::hash(text.as_bytes()).as_bytes();
        ParsedFile { file, path_on_disk, text, hash, children }
    }

    pub fn delegate(&self, child: &str) -> Option<&Delegate> {
        self.children.get(child).and_then(|at| self.file.delegates.get(*at))
    }

    pub fn location(&self, line: u32, name: &str) -> RuleLocation {
        RuleLocation {
            namespace: self.file.namespace.clone(),
            file: self.path_on_disk.clone(),
            line,
            name: name.to_owned(),
        }
    }
}

/// A placement: a requirement that allows nodes, or a preference that some nodes satisfy.
#[derive(Debug)]
pub(crate) struct Placed {
    /// Where in `Compiled::rules` it is.
    pub rule: usize,
    pub nodes: NodeKindSet,
}

/// The placements of a namespace, indexed by tenant.
#[derive(Debug, Default)]
pub(crate) struct Placements {
    pub all: Vec<Placed>,
    /// Positions in `all` of those that name a tenant.
    by_tenant: HashMap<String, Vec<usize>>,
    /// Positions in `all` of those for any tenant.
    any_tenant: Vec<usize>,
}

impl Placements {
    /// Adds the placement of a rule at this position.
    pub fn push(&mut self, position: usize, rule: &Rule, nodes: NodeKindSet) {
        let at = self.all.len();
        if rule.on.tenants.is_empty() {
            self.any_tenant.push(at);
        }
        for tenant in &rule.on.tenants {
            self.by_tenant.entry(tenant.clone()).or_default().push(at);
        }
        self.all.push(Placed { rule: position, nodes });
    }

    /// The placements that can match a request of this tenant.
    fn matching(&self, tenant: Option<&str>) -> impl Iterator<Item = &Placed> {
        let named = tenant.and_then(|tenant| self.by_tenant.get(tenant)).map_or(&[][..], Vec::as_slice);
        self.any_tenant.iter().chain(named).map(|at| &self.all[*at])
    }
}

/// What a child was given: its path, its part of the connections, and what it has.
pub(crate) type Grant = (String, Option<u64>, Scope);

/// A namespace under one chain of parents. It depends on nothing but the chain's contents and the inventory.
#[derive(Debug)]
pub(crate) struct Compiled {
    /// A digest of all that it depends on.
    pub key: [u8; 32],
    pub read: Arc<ParsedFile>,
    pub parent: Option<Arc<Compiled>>,
    pub depth: u32,
    pub scope: Scope,
    /// What each child was given, as far as it counts.
    pub grants: Vec<Grant>,
    /// By name.
    pub rules: Vec<Rule>,
    pub placements: Placements,
    /// The children that it gives what it doesn't have itself.
    pub unowned_children: BTreeSet<String>,
    /// The conflicts of its own with the chain above it, and among its delegations.
    pub conflicts: Vec<Conflict>,
}

impl Compiled {
    /// The digest for a content under a parent; `void` are the children whose delegations don't count.
    pub fn key(parent: Option<&Compiled>, read: &ParsedFile, void: &[&str]) -> [u8; 32] {
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

    pub fn path(&self) -> &str {
        &self.read.file.namespace
    }

    /// The placements that can match a request of this tenant, with their rules.
    pub fn placed_for(&self, tenant: Option<&str>) -> impl Iterator<Item = (&Rule, &NodeKindSet)> {
        self.placements.matching(tenant).map(|placed| (&self.rules[placed.rule], &placed.nodes))
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

//! The content of a namespace, compiled to rules of the book under the chain of namespaces above it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::book::Rule;
use crate::conflict::{Conflict, RuleLocation};
use crate::file::{Delegate, NamespaceFile};
use crate::node_kind_set::NodeKindSet;
use crate::scope::Scope;

/// A file that was parsed, with its text.
#[derive(Debug)]
pub(crate) struct ParsedFile {
    pub file: NamespaceFile,
    pub path_on_disk: String,
    pub text: Arc<str>,
    pub hash: [u8; 32],
    /// The index in `file.delegates` of the delegation to each child.
    pub children: HashMap<String, usize>,
}

impl ParsedFile {
    pub fn new(file: NamespaceFile, path_on_disk: String, text: Arc<str>) -> ParsedFile {
        let children =
            file.delegates.iter().enumerate().map(|(index, delegate)| (delegate.to.clone(), index)).collect();
        let hash = *blake3::hash(text.as_bytes()).as_bytes();
        ParsedFile { file, path_on_disk, text, hash, children }
    }

    pub fn delegate(&self, child: &str) -> Option<&Delegate> {
        self.children.get(child).and_then(|index| self.file.delegates.get(*index))
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

/// A rule of kind [`crate::RuleKind::Place`], and the node kinds that satisfy it.
#[derive(Debug)]
pub(crate) struct Placement {
    /// The index of the rule in `Compiled::rules`.
    pub rule: usize,
    pub nodes: NodeKindSet,
}

/// The placements of a namespace, indexed by tenant.
#[derive(Debug, Default)]
pub(crate) struct Placements {
    pub all: Vec<Placement>,
    /// The indices in `all` of the placements that name a tenant, by tenant.
    by_tenant: HashMap<String, Vec<usize>>,
    /// The indices in `all` of the placements for any tenant.
    any_tenant: Vec<usize>,
}

impl Placements {
    /// Adds a placement: the rule at index `rule_index` of `Compiled::rules`, and the nodes that satisfy it.
    pub fn push(&mut self, rule_index: usize, rule: &Rule, nodes: NodeKindSet) {
        let index = self.all.len();
        if rule.on.tenants.is_empty() {
            self.any_tenant.push(index);
        }
        for tenant in &rule.on.tenants {
            self.by_tenant.entry(tenant.clone()).or_default().push(index);
        }
        self.all.push(Placement { rule: rule_index, nodes });
    }

    /// The placements that can match a request of the tenant.
    fn matching(&self, tenant: Option<&str>) -> impl Iterator<Item = &Placement> {
        let with_tenant = tenant.and_then(|tenant| self.by_tenant.get(tenant)).map_or(&[][..], Vec::as_slice);
        self.any_tenant.iter().chain(with_tenant).map(|index| &self.all[*index])
    }
}

/// A child's path, its quota of connections if it has one, and its scope.
pub(crate) type Grant = (String, Option<u64>, Scope);

/// A namespace compiled under one chain of parents. The result depends only on the contents of the chain, the void delegations
/// and the inventory.
#[derive(Debug)]
pub(crate) struct Compiled {
    /// A digest of everything except the inventory that the result depends on.
    pub key: [u8; 32],
    pub parsed: Arc<ParsedFile>,
    pub parent: Option<Arc<Compiled>>,
    pub depth: u32,
    pub scope: Scope,
    /// The grants to the children, sorted by child, without the void ones.
    pub grants: Vec<Grant>,
    /// The rules, sorted by name.
    pub rules: Vec<Rule>,
    pub placements: Placements,
    /// The children that are granted something outside the namespace's own scope.
    pub out_of_scope_children: BTreeSet<String>,
    /// The conflicts of the namespace with the chain above it, and among its delegations.
    pub conflicts: Vec<Conflict>,
}

impl Compiled {
    /// The cache key of a content under a parent. `void` lists the children whose delegations are void.
    pub fn key(parent: Option<&Compiled>, parsed: &ParsedFile, void: &[&str]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&parent.map_or([0; 32], |parent| parent.key));
        hasher.update(&parsed.hash);
        // The rules contain the file's path, so the key does as well. The length prefixes keep two different lists of names from
        // hashing the same bytes.
        for name in std::iter::once(parsed.path_on_disk.as_str()).chain(void.iter().copied()) {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        *hasher.finalize().as_bytes()
    }

    pub fn path(&self) -> &str {
        &self.parsed.file.namespace
    }

    /// The rules and node kinds of the placements that can match a request of the tenant.
    pub fn placements_for(&self, tenant: Option<&str>) -> impl Iterator<Item = (&Rule, &NodeKindSet)> {
        self.placements.matching(tenant).map(|placement| (&self.rules[placement.rule], &placement.nodes))
    }

    /// This namespace and its ancestors, from the root down.
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

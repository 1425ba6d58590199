//! The scope of a namespace: the requests that its rules may match, and the nodes and connections that it may use.

use std::collections::BTreeSet;

use crate::book::{GroupRange, Request, RuleKind, Selector};
use crate::conflict::{RuleLocation, Witness};
use crate::file::{DeclaredRule, Delegate};
use crate::groups;
use crate::inventory::Inventory;

/// The scope that a namespace was granted. An empty set means any.
#[derive(Clone, Debug)]
pub(crate) struct Scope {
    pub on: Selector,
    pub halls: BTreeSet<String>,
    pub hardware: BTreeSet<String>,
    /// The namespace's quota of connections, or that of the nearest ancestor that has one.
    pub connections: Option<u64>,
    /// The location of the delegation that grants the scope.
    pub location: RuleLocation,
}

impl Scope {
    /// The scope of the root: everything.
    pub fn root(inventory: &Inventory) -> Scope {
        Scope {
            on: Selector::default(),
            halls: BTreeSet::new(),
            hardware: BTreeSet::new(),
            connections: Some(inventory.connections),
            location: RuleLocation {
                namespace: inventory.root.clone(),
                file: String::new(),
                line: 0,
                name: "world".to_owned(),
            },
        }
    }

    /// The scope that a delegation grants to a child. It may exceed the parent's scope; the caller reports that as a conflict.
    pub fn child(&self, delegate: &Delegate, location: RuleLocation) -> Scope {
        Scope {
            on: self.narrow(&delegate.tenants, &delegate.classes, &delegate.groups),
            halls: non_empty_or(&delegate.halls, &self.halls),
            hardware: non_empty_or(&delegate.hardware, &self.hardware),
            connections: delegate.connections.or(self.connections),
            location,
        }
    }

    /// A selector of the named tenants, classes and groups. Where nothing is named, the scope's own set applies.
    pub fn narrow(
        &self,
        tenants: &BTreeSet<String>,
        classes: &BTreeSet<String>,
        groups: &[GroupRange],
    ) -> Selector {
        let groups = if groups.is_empty() { &self.on.groups } else { groups };
        Selector {
            tenants: non_empty_or(tenants, &self.on.tenants),
            classes: non_empty_or(classes, &self.on.classes),
            groups: groups.to_vec(),
        }
    }

    /// The kind and name of the first item that a rule names outside the scope, with a witness.
    pub fn first_outside_of_rule(
        &self,
        rule: &DeclaredRule,
        inventory: &Inventory,
    ) -> Option<(String, Witness)> {
        let none = BTreeSet::new();
        let (halls, hardware) = match &rule.kind {
            RuleKind::Place { halls, hardware, .. } | RuleKind::Cap { halls, hardware, .. } => {
                (halls, hardware)
            }
            _ => (&none, &none),
        };
        self.first_outside(&rule.tenants, &rule.classes, &rule.groups, halls, hardware, inventory)
    }

    /// The kind and name of the first item that a delegation names outside the scope, with a witness.
    pub fn first_outside_of_delegate(
        &self,
        delegate: &Delegate,
        inventory: &Inventory,
    ) -> Option<(String, Witness)> {
        self.first_outside(
            &delegate.tenants,
            &delegate.classes,
            &delegate.groups,
            &delegate.halls,
            &delegate.hardware,
            inventory,
        )
    }

    fn first_outside(
        &self,
        tenants: &BTreeSet<String>,
        classes: &BTreeSet<String>,
        groups: &[GroupRange],
        halls: &BTreeSet<String>,
        hardware: &BTreeSet<String>,
        inventory: &Inventory,
    ) -> Option<(String, Witness)> {
        let on = self.narrow(tenants, classes, groups);
        let sample = inventory.sample(&on);
        let outside = |kind: &str, name: &str, request: Request| {
            Some((format!("{kind} {name}"), Witness::new(&request, None)))
        };
        if let Some(tenant) = first_missing(tenants, &self.on.tenants) {
            return outside("tenant", tenant, Request { tenant: Some(tenant), ..sample });
        }
        if let Some(class) = first_missing(classes, &self.on.classes) {
            return outside("class", class, Request { class, ..sample });
        }
        if !self.on.groups.is_empty()
            && let Some(group) = groups::first_missing(groups, &self.on.groups)
        {
            return outside("group", &format!("{group:#x}"), Request { group: Some(group), ..sample });
        }
        let outside_node = |kind: &str, name: &str, hall: &str, class: &str| {
            let node = crate::book::Node { hall, hardware: class };
            Some((format!("{kind} {name}"), Witness::new(&sample, Some(node))))
        };
        if let Some(hall) = first_missing(halls, &self.halls) {
            let class = inventory
                .nodes()
                .find(|node| node.hall == hall && (hardware.is_empty() || hardware.contains(node.hardware)));
            let class = class.map(|node| node.hardware).or(hardware.first().map(String::as_str));
            return outside_node("hall", hall, hall, class.unwrap_or_default());
        }
        if let Some(class) = first_missing(hardware, &self.hardware) {
            let hall = inventory
                .nodes()
                .find(|node| node.hardware == class && (halls.is_empty() || halls.contains(node.hall)));
            let hall = hall.map(|node| node.hall).or(halls.first().map(String::as_str));
            return outside_node("hardware", class, hall.unwrap_or_default(), class);
        }
        None
    }
}

fn non_empty_or(named: &BTreeSet<String>, granted: &BTreeSet<String>) -> BTreeSet<String> {
    if named.is_empty() { granted.clone() } else { named.clone() }
}

/// The first of the names that is not in `given`. `None` if `given` is empty, which means any.
fn first_missing<'a>(names: &'a BTreeSet<String>, given: &BTreeSet<String>) -> Option<&'a str> {
    if given.is_empty() {
        return None;
    }
    names.iter().find(|name| !given.contains(*name)).map(String::as_str)
}

/// A request that the inventory allows and that both selectors match.
pub(crate) fn common_request<'a>(
    one: &'a Selector,
    other: &'a Selector,
    inventory: &'a Inventory,
) -> Option<Request<'a>> {
    let tenant = match (one.tenants.is_empty(), other.tenants.is_empty()) {
        (true, true) => None,
        (true, false) => Some(other.tenants.iter().find(|tenant| inventory.tenants.contains(*tenant))?),
        (false, true) => Some(one.tenants.iter().find(|tenant| inventory.tenants.contains(*tenant))?),
        (false, false) => Some(
            one.tenants
                .iter()
                .find(|tenant| other.tenants.contains(*tenant) && inventory.tenants.contains(*tenant))?,
        ),
    };
    let in_both = |class: &&String| {
        (one.classes.is_empty() || one.classes.contains(*class))
            && (other.classes.is_empty() || other.classes.contains(*class))
    };
    let class = inventory.classes.iter().find(in_both)?;
    let group = match (one.groups.first(), other.groups.first()) {
        (None, None) => None,
        (Some(range), None) | (None, Some(range)) => Some(range.first),
        (Some(_), Some(_)) => Some(groups::intersection(&one.groups, &other.groups).first()?.first),
    };
    Some(Request { tenant: tenant.map(String::as_str), class, group })
}

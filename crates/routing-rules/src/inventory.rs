//! The inventory that rules are merged for: the tenants, classes and nodes that exist.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::book::{Node, Request, Selector};

/// The tenants, classes, node kinds and connections that exist. A request is possible if its class and, if it names one, its
/// tenant are in the inventory; its group can be any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// The path of the namespace that owns everything.
    pub root: String,
    /// The tenants that exist.
    pub tenants: BTreeSet<String>,
    /// The classes that exist.
    pub classes: BTreeSet<String>,
    /// The kinds of node that exist: hall and hardware class.
    pub nodes: BTreeSet<(String, String)>,
    /// The total number of connections of the fleet.
    pub connections: u64,
}

impl Inventory {
    /// Creates an inventory in which each hall has nodes of each hardware class.
    pub fn of(
        root: &str,
        tenants: &[&str],
        classes: &[&str],
        halls: &[&str],
        hardware: &[&str],
        connections: u64,
    ) -> Inventory {
        let set = |names: &[&str]| names.iter().map(ToString::to_string).collect();
        let nodes = halls.iter().flat_map(|hall| hardware.iter().map(|h| (hall.to_string(), h.to_string())));
        Inventory {
            root: root.to_owned(),
            tenants: set(tenants),
            classes: set(classes),
            nodes: nodes.collect(),
            connections,
        }
    }

    /// The kinds of node, in ascending order.
    pub fn nodes(&self) -> impl Iterator<Item = Node<'_>> {
        self.nodes.iter().map(|(hall, hardware)| Node { hall, hardware })
    }

    /// Whether the request is possible: its class and its tenant, if any, exist.
    pub fn is_possible(&self, request: &Request) -> bool {
        request.tenant.is_none_or(|tenant| self.tenants.contains(tenant))
            && self.classes.contains(request.class)
    }

    /// A request that the selector matches, if possible one that the inventory allows.
    pub(crate) fn sample<'a>(&'a self, on: &'a Selector) -> Request<'a> {
        let existing = on.tenants.iter().find(|tenant| self.tenants.contains(*tenant));
        let tenant = existing.or(on.tenants.first()).map(String::as_str);
        let class = if on.classes.is_empty() {
            self.classes.first()
        } else {
            on.classes.iter().find(|class| self.classes.contains(*class)).or(on.classes.first())
        };
        let group = on.groups.first().map(|range| range.first);
        Request { tenant, class: class.map_or("", String::as_str), group }
    }
}

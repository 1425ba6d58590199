//! Finds out whether proxies may act on two plans at the same time.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use cottonnotch_routing_rules::{GroupRange, Node, Request, Selector};

use crate::index::{ANY, Names, Slot};
use crate::lookup::{Lookup, NodeKey};
use crate::plan::Plan;
use crate::plan_body::{CompiledForm, CompiledRule};

/// A request and a node on which two plans differ, with a requirement of each plan that matches the request. The
/// requirement's name is empty for a plan without a matching requirement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Witness {
    /// The request's tenant.
    pub tenant: Option<String>,
    /// The request's class.
    pub class: String,
    /// The request's group.
    pub group: Option<u64>,
    /// The node's hall.
    pub hall: String,
    /// The node's hardware class.
    pub hardware: String,
    /// The old plan's requirement, as `namespace:name`.
    pub old_rule: String,
    /// The new plan's requirement, as `namespace:name`.
    pub new_rule: String,
}

/// Finds a request for which the requirements of two plans differ: one plan allows a node that the other forbids, or a bound
/// exists in one plan only or has another value. Swapping the plans doesn't change whether a request is found, because a
/// process that lags behind may still act on either of them. Preferences never contradict.
///
/// The search is exact. The names and the interval bounds in either plan divide the requests into finitely many cells, and
/// only cells that a changed requirement matches can differ.
pub fn contradiction(old: &Plan, new: &Plan) -> Option<Witness> {
    if old.hash() == new.hash() {
        return None;
    }
    Search::new(old, new).find_witness()
}

/// A tenant and a class; `None` means any.
type Key<'a> = (Option<&'a str>, Option<&'a str>);
/// The keys whose slots have different effects in the two plans, each with the groups for which the effects differ and
/// whether they also differ for requests without a group.
type UnequalSlots<'a> = Vec<(Key<'a>, (Vec<GroupRange>, bool))>;

/// How two lookups differ: on the node with this index, or in a limit of rules of the matching form.
enum Difference {
    Node(usize),
    Limit(fn(&CompiledForm) -> bool),
}

struct Search<'a> {
    old: &'a Plan,
    new: &'a Plan,
    /// Every hall and hardware class of either plan, and one of each that is in neither plan, with the node's key in the
    /// old and in the new plan.
    nodes: Vec<(String, String, NodeKey, NodeKey)>,
    other_class: String,
    /// Whether both plans number the pairs of halls and classes in the same way.
    same_pair_numbers: bool,
    /// The index of every hardware class in the old and in the new plan, and of one class that is in neither. The index of
    /// a class that a plan doesn't list is one past the plan's last class.
    hardware: Vec<(u16, u16)>,
}

/// A name that isn't in the set.
fn unused_name(names: &BTreeSet<&str>) -> String {
    let mut name = String::from("other");
    while names.contains(name.as_str()) {
        name.push('-');
    }
    name
}

impl<'a> Search<'a> {
    fn new(old: &'a Plan, new: &'a Plan) -> Self {
        let both = [&old.index, &new.index];
        let halls: BTreeSet<&str> =
            both.iter().flat_map(|index| index.halls.keys()).map(|name| &**name).collect();
        let classes: BTreeSet<&str> =
            both.iter().flat_map(|index| index.hardware.keys()).map(|name| &**name).collect();
        let (other_hall, other_hardware) = (unused_name(&halls), unused_name(&classes));
        let mut nodes = Vec::new();
        for hall in halls.iter().copied().chain([other_hall.as_str()]) {
            for hardware in classes.iter().copied().chain([other_hardware.as_str()]) {
                let node = Node { hall, hardware };
                nodes.push((hall.into(), hardware.into(), old.node_key(&node), new.node_key(&node)));
            }
        }
        let place = |plan: &Plan, name: &str| {
            plan.index.hardware.get(name).copied().unwrap_or(plan.body.hardware.len() as u32) as u16
        };
        let hardware = classes.iter().copied().chain([other_hardware.as_str()]);
        let hardware = hardware.map(|name| (place(old, name), place(new, name))).collect();
        let classes: BTreeSet<&str> =
            both.iter().flat_map(|index| index.classes.keys()).map(|name| &**name).collect();
        let other_class = unused_name(&classes);
        let same_pair_numbers =
            old.index.halls == new.index.halls && old.index.hardware == new.index.hardware;
        Self { old, new, nodes, other_class, same_pair_numbers, hardware }
    }

    /// The selectors of the requirements that only one plan has or that differ between the plans.
    fn changed(&self) -> Vec<&'a Selector> {
        let requirements = |plan: &'a Plan| -> Vec<&'a CompiledRule> {
            plan.body.rules.iter().filter(|rule| !rule.form.is_preference()).collect()
        };
        let (old, new) = (requirements(self.old), requirements(self.new));
        let (mut old, mut new) = (old.into_iter().peekable(), new.into_iter().peekable());
        let mut changed = Vec::new();
        loop {
            let order = match (old.peek(), new.peek()) {
                (Some(a), Some(b)) => (&a.namespace, &a.name).cmp(&(&b.namespace, &b.name)),
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (None, None) => return changed,
            };
            let a = if order.is_le() { old.next() } else { None };
            let b = if order.is_ge() { new.next() } else { None };
            if let (Some(a), Some(b)) = (a, b)
                && self.same(a, b)
            {
                continue;
            }
            changed.extend(a.into_iter().chain(b).map(|rule| &rule.on));
        }
    }

    /// Whether two requirements of the same name have the same effect. The two plans may list different classes, so class
    /// indices are compared by the classes that they stand for.
    fn same(&self, a: &CompiledRule, b: &CompiledRule) -> bool {
        let form = match (&a.form, &b.form) {
            (
                CompiledForm::Move { when: a, drains_only: old },
                CompiledForm::Move { when: b, drains_only: new },
            ) => a == b && self.hardware.iter().all(|(a, b)| old.contains(a) == new.contains(b)),
            (a, b) => a == b,
        };
        form && a.on == b.on && self.hardware.iter().all(|(x, y)| a.out.contains(x) == b.out.contains(y))
    }

    /// The slots of changed requirements whose own effects differ between the plans. Slots with equal effects need no
    /// search: combining equal effects with other effects can't cause a difference.
    fn unequal_slots(&self) -> UnequalSlots<'a> {
        let mut keys: BTreeSet<Key> = BTreeSet::new();
        let names = |set: &'a BTreeSet<String>| -> Vec<Option<&'a str>> {
            if set.is_empty() { vec![None] } else { set.iter().map(|name| Some(name.as_str())).collect() }
        };
        for on in self.changed() {
            let classes = names(&on.classes);
            let tenants = names(&on.tenants);
            keys.extend(tenants.iter().flat_map(|tenant| classes.iter().map(move |class| (*tenant, *class))));
        }
        let unequal = keys.into_iter().map(|key| (key, self.unequal_groups(key)));
        unequal.filter(|(_, (groups, none))| *none || !groups.is_empty()).collect()
    }

    fn unequal_groups(&self, key: Key) -> (Vec<GroupRange>, bool) {
        let slots = [self.old, self.new].map(|plan| slot(plan, key));
        let differ = |group: Option<u64>| {
            let [old, new] = [(self.old, slots[0]), (self.new, slots[1])]
                .map(|(plan, slot)| Lookup::of_slot(plan, slot, group));
            self.difference(&old, &new).is_some()
        };
        let mut starts: BTreeSet<u64> = BTreeSet::from([0]);
        for (plan, slot) in [self.old, self.new].into_iter().zip(slots) {
            let groups = slot.and_then(|slot| plan.index.groups_of(slot));
            starts.extend(groups.into_iter().flat_map(|groups| groups.starts()));
        }
        let ends = starts.iter().skip(1).map(|start| start - 1).chain([u64::MAX]);
        let ranges = starts.iter().zip(ends).map(|(&first, last)| GroupRange { first, last });
        (ranges.filter(|range| differ(Some(range.first))).collect(), differ(None))
    }

    /// A request for which the plans differ. Only the cells of unequal slots are searched. The effect in any other cell is
    /// the combination of the effects in cells with fewer names, so it is equal if those are.
    fn find_witness(&self) -> Option<Witness> {
        self.unequal_slots().into_iter().find_map(|((tenant, class), (ranges, none))| {
            let name = class.unwrap_or(&self.other_class);
            let groups = self.groups(tenant, class, &ranges, none);
            groups.into_iter().find_map(|group| self.differs(&Request { tenant, class: name, group }))
        })
    }

    /// One group of each interval within the ranges on which both plans' effects are constant for this tenant and class.
    fn groups(
        &self,
        tenant: Option<&str>,
        class: Option<&str>,
        ranges: &[GroupRange],
        none: bool,
    ) -> BTreeSet<Option<u64>> {
        let keys: BTreeSet<Key> = [(None, None), (tenant, None), (None, class), (tenant, class)].into();
        let mut starts: BTreeSet<u64> = BTreeSet::new();
        for plan in [self.old, self.new] {
            for slot in keys.iter().filter_map(|key| slot(plan, *key)) {
                let groups = plan.index.groups_of(slot);
                starts.extend(groups.into_iter().flat_map(|groups| groups.starts()));
            }
        }
        let mut groups: BTreeSet<Option<u64>> = none.then_some(None).into_iter().collect();
        for range in ranges {
            groups.insert(Some(range.first));
            groups.extend(starts.range(range.first..=range.last).map(|&start| Some(start)));
        }
        groups
    }

    fn differs(&self, request: &Request) -> Option<Witness> {
        let (old, new) = (self.old.lookup(request), self.new.lookup(request));
        self.difference(&old, &new).map(|difference| self.witness(request, &old, &new, &difference))
    }

    fn difference(&self, old: &Lookup, new: &Lookup) -> Option<Difference> {
        let differs = |node: &(_, _, NodeKey, NodeKey)| old.allows_key(node.2) != new.allows_key(node.3);
        if !(self.same_pair_numbers && old.allows_as(new))
            && let Some(at) = self.nodes.iter().position(differs)
        {
            return Some(Difference::Node(at));
        }
        if old.attempts() != new.attempts() {
            return Some(Difference::Limit(|form| matches!(form, CompiledForm::Attempts(_))));
        }
        if old.spread() != new.spread() {
            return Some(Difference::Limit(|form| matches!(form, CompiledForm::Spread { .. })));
        }
        if sorted(old.paces()) != sorted(new.paces()) {
            return Some(Difference::Limit(|form| matches!(form, CompiledForm::Pace(_))));
        }
        if sorted(old.caps()) != sorted(new.caps()) {
            return Some(Difference::Limit(CompiledForm::is_connection_limit));
        }
        let moves = |a, b| old.required_move_at(a) != new.required_move_at(b);
        if self.hardware.iter().any(|&(a, b)| moves(a, b)) {
            return Some(Difference::Limit(|form| matches!(form, CompiledForm::Move { .. })));
        }
        None
    }

    fn witness(&self, request: &Request, old: &Lookup, new: &Lookup, difference: &Difference) -> Witness {
        // The witness for a differing number is a node that the requirements allow, if they allow any.
        let allowed = || self.nodes.iter().position(|node| old.allows_key(node.2));
        let at = match difference {
            Difference::Node(at) => *at,
            Difference::Limit(_) => allowed().unwrap_or(0),
        };
        let (hall, hardware, old_node, new_node) = &self.nodes[at];
        let rule = |plan: &Plan, lookup: &Lookup, node: NodeKey| {
            let requirements: Vec<usize> = lookup.requirements().collect();
            let explains = |&&requirement: &&usize| match difference {
                Difference::Node(_) => !plan.index.allows(requirement, node.0),
                Difference::Limit(is) => is(&plan.body.rules[requirement].form),
            };
            let requirement = requirements.iter().find(explains).or(requirements.first());
            requirement.map_or_else(String::new, |&requirement| plan.index.ids[requirement].to_string())
        };
        Witness {
            tenant: request.tenant.map(String::from),
            class: request.class.into(),
            group: request.group,
            hall: hall.clone(),
            hardware: hardware.clone(),
            old_rule: rule(self.old, old, *old_node),
            new_rule: rule(self.new, new, *new_node),
        }
    }
}

/// The plan's slot for a key, if the slot has rules.
fn slot(plan: &Plan, (tenant, class): Key) -> Option<Slot> {
    let number = |names: &Names, name: Option<&str>| match name {
        Some(name) => names.get(name).copied(),
        None => Some(ANY),
    };
    plan.index.slot(number(&plan.index.tenants, tenant)?, number(&plan.index.classes, class)?)
}

fn sorted<T: Ord>(items: impl Iterator<Item = T>) -> Vec<T> {
    let mut items: Vec<T> = items.collect();
    items.sort();
    items
}

//! The index over a plan's rules. It is built when the plan is built or decoded and isn't part of the plan's bytes.
//!
//! A slot holds the rules for one pair of a tenant (or any tenant) and a class (or any class). Each rule is in the slot of
//! every such pair that its selector names. A request matches at most four slots, and each slot stores the combined effect
//! of its rules, also for the request's group.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use cottonnotch_routing_rules::{GroupRange, Node};
use fnv::FnvBuildHasher;

use crate::bits::{SetId, Sets, SetsBuilder};
use crate::effects::{Effects, EffectsBuilder, RuleEffect};
use crate::groups::{Groups, NONE};
use crate::plan_body::{Body, CompiledForm, CompiledRule, MAX_PAIRS, PlanError};

/// Stands for any tenant or any class.
pub(crate) const ANY: u32 = u32::MAX;
/// The maximum number of rule entries in all slots; a rule counts once plus once for each of its intervals of groups.
const MAX_ENTRIES: usize = 1 << 20;
/// The maximum size of effects and sets, in bytes.
const MAX_EFFECT_BYTES: usize = 256 << 20;

pub(crate) type Names = HashMap<Box<str>, u32, FnvBuildHasher>;

/// The effects of one slot's rules.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    /// The effect of the rules without groups, which applies to every request of the slot, or [`NONE`].
    pub plain: u32,
    /// The index in [`Index::groups`] of the effects on requests with a group, or [`NONE`].
    pub groups: u32,
}

/// The slots of one tenant, or of any tenant. They are stored next to each other, because the memory that a lookup touches
/// dominates its cost.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// The slot of any class.
    any: Slot,
    /// The slots of single classes: the start and the length of a slice of [`Index::class_slots`].
    class_slots: (u32, u32),
}

const EMPTY: Row = Row { any: Slot { plain: NONE, groups: NONE }, class_slots: (0, 0) };

/// Maps the tenant, class and group of a request to the combined effects of the rules that match the request.
#[derive(Debug)]
pub(crate) struct Index {
    pub tenants: Names,
    pub classes: Names,
    pub halls: Names,
    pub hardware: Names,
    /// The row of any tenant, followed by the row of each tenant.
    rows: Vec<Row>,
    /// The slots of single classes, each with its class's number, sorted by tenant and then by class.
    class_slots: Vec<(u32, Slot)>,
    pub groups: Vec<Groups>,
    pub effects: Effects,
    pub sets: Sets,
    /// The pairs that each preference prefers, by the preference's position among all preferences.
    pub preferences: Vec<SetId>,
    /// For each rule: the pairs that it allows if it is a requirement, and its position if it is a preference.
    pub rule_effects: Vec<RuleEffect>,
    /// For each rule: `namespace:name`.
    pub ids: Vec<Box<str>>,
    /// For each rule: the number in its [`LimitId`](crate::LimitId), the same in every plan.
    pub limits: Vec<u64>,
}

/// Numbers the distinct names in alphabetical order.
fn names<'a>(names: impl IntoIterator<Item = &'a String>) -> Names {
    let sorted: BTreeSet<&String> = names.into_iter().collect();
    sorted.into_iter().zip(0..).map(|(name, number)| (name.as_str().into(), number)).collect()
}

impl Index {
    pub(crate) fn new(body: &Body) -> Result<Self, PlanError> {
        let rules = &body.rules;
        let tenants = names(rules.iter().flat_map(|rule| &rule.on.tenants));
        let classes = names(rules.iter().flat_map(|rule| &rule.on.classes));
        let halls = names(rules.iter().filter_map(|rule| rule.form.nodes()).flat_map(|nodes| &nodes.halls));
        let hardware = names(&body.hardware);
        let pairs = (halls.len() + 1) * (hardware.len() + 1);
        if pairs > MAX_PAIRS {
            return Err(PlanError::TooLarge("halls and hardware classes"));
        }
        let mut sets = SetsBuilder::new(pairs as u32);
        let numbers = PairNumbers { halls: &halls, hardware: &hardware };
        let mut rule_effects: Vec<RuleEffect> =
            rules.iter().map(|rule| numbers.rule_effect(rule, &mut sets)).collect();
        let preferences = rank_preferences(rules, &mut rule_effects);
        let slot_members = slot_members(rules, &tenants, &classes)?;
        let mut effects =
            EffectsBuilder::new(rules, &rule_effects, &preferences, &mut sets, MAX_EFFECT_BYTES);
        let mut slots = SlotTable::new(tenants.len());
        for ((tenant, class), members) in slot_members {
            let slot = slot(rules, &members, &mut effects, &mut slots.groups);
            slots.push(tenant, class, slot);
        }
        let SlotTable { rows, class_slots, groups } = slots;
        let ids = rules.iter().map(|rule| format!("{}:{}", rule.namespace, rule.name).into_boxed_str());
        let ids: Vec<Box<str>> = ids.collect();
        let limits = ids.iter().map(|id| limit(id)).collect();
        let effects = effects.finish().ok_or(PlanError::TooLarge("rules that overlap"))?;
        let sets = sets.finish();
        Ok(Self {
            tenants,
            classes,
            halls,
            hardware,
            rows,
            class_slots,
            groups,
            effects,
            sets,
            preferences,
            rule_effects,
            ids,
            limits,
        })
    }

    /// The number of a node's (hall, hardware class) pair. Unknown halls share one number, and so do unknown classes.
    pub(crate) fn pair(&self, node: &Node) -> u32 {
        let hall = self.halls.get(node.hall).copied().unwrap_or(self.halls.len() as u32);
        let hardware = self.hardware.get(node.hardware).copied().unwrap_or(self.hardware.len() as u32);
        hall * (self.hardware.len() as u32 + 1) + hardware
    }

    /// Whether one requirement allows a pair.
    pub(crate) fn allows(&self, rule: usize, pair: u32) -> bool {
        self.rule_effects[rule].allow == NONE || self.sets.contains(self.rule_effects[rule].allow, pair)
    }

    /// The numbers of a pair's hall and hardware class.
    pub(crate) fn split(&self, pair: u32) -> (u32, u32) {
        let width = self.hardware.len() as u32 + 1;
        (pair / width, pair % width)
    }

    /// The numbers of a tenant and a class, each [`ANY`] if no rule names it.
    pub(crate) fn numbers(&self, tenant: Option<&str>, class: &str) -> (u32, u32) {
        let tenant = tenant.and_then(|tenant| self.tenants.get(tenant)).copied().unwrap_or(ANY);
        (tenant, self.classes.get(class).copied().unwrap_or(ANY))
    }

    /// The slot of a tenant or [`ANY`], and a class or [`ANY`], if the slot has rules.
    pub(crate) fn slot(&self, tenant: u32, class: u32) -> Option<Slot> {
        let row = &self.rows[row_of(tenant)];
        if class == ANY {
            return (row.any.plain != NONE || row.any.groups != NONE).then_some(row.any);
        }
        let class_slots = &self.class_slots[row.class_slots.0 as usize..][..row.class_slots.1 as usize];
        class_slots.binary_search_by_key(&class, |(class, _)| *class).ok().map(|at| class_slots[at].1)
    }

    /// Visits the slots that match a request of this tenant and class.
    pub(crate) fn each_slot(&self, tenant: u32, class: u32, mut visit: impl FnMut(Slot)) {
        self.slot(ANY, ANY).into_iter().for_each(&mut visit);
        if class != ANY {
            self.slot(ANY, class).into_iter().for_each(&mut visit);
        }
        if tenant != ANY {
            self.slot(tenant, ANY).into_iter().for_each(&mut visit);
            if class != ANY {
                self.slot(tenant, class).into_iter().for_each(&mut visit);
            }
        }
    }

    /// The effects of a slot on requests with a group, if the slot has any.
    pub(crate) fn groups_of(&self, slot: Slot) -> Option<&Groups> {
        self.groups.get(slot.groups as usize)
    }

    /// The approximate size of the index in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let names = [&self.tenants, &self.classes, &self.halls, &self.hardware];
        let names: usize = names.iter().flat_map(|names| names.keys()).map(|name| name.len() + 32).sum();
        let groups: usize = self.groups.iter().map(|groups| groups.bytes() + size_of::<Groups>()).sum();
        let slots = size_of_val(&*self.rows) + size_of_val(&*self.class_slots) + groups;
        let ids: usize = self.ids.iter().map(|id| id.len() + 24).sum();
        names + slots + ids + self.effects.bytes() + self.sets.bytes() + self.preferences.len() * 4
    }
}

/// Assigns each preference its position, and moves the pairs that it prefers from `rule_effects` into the returned list, which is
/// ordered by position.
fn rank_preferences(rules: &[CompiledRule], rule_effects: &mut [RuleEffect]) -> Vec<SetId> {
    let mut order: Vec<usize> = (0..rules.len()).filter(|&at| rules[at].form.is_preference()).collect();
    // The rules are sorted by namespace and name, and the stable sort keeps that order among equals.
    order.sort_by_key(|&at| (rules[at].depth, Reverse(rules[at].priority)));
    let mut preferences = Vec::with_capacity(order.len());
    for at in order {
        rule_effects[at].position = preferences.len() as u32;
        preferences.push(std::mem::replace(&mut rule_effects[at].allow, NONE));
    }
    preferences
}

/// The slots of an index under construction.
struct SlotTable {
    rows: Vec<Row>,
    class_slots: Vec<(u32, Slot)>,
    groups: Vec<Groups>,
}

impl SlotTable {
    fn new(tenants: usize) -> Self {
        Self { rows: vec![EMPTY; tenants + 1], class_slots: Vec::new(), groups: Vec::new() }
    }

    /// Adds a slot. Slots must be added sorted by tenant and then by class, with [`ANY`] last.
    fn push(&mut self, tenant: u32, class: u32, slot: Slot) {
        let row = &mut self.rows[row_of(tenant)];
        if class == ANY {
            row.any = slot;
            return;
        }
        if row.class_slots.1 == 0 {
            row.class_slots.0 = self.class_slots.len() as u32;
        }
        row.class_slots.1 += 1;
        self.class_slots.push((class, slot));
    }
}

/// A rule's number as a limit. It depends on the rule's id only, so that counts carry over from one plan to the next.
fn limit(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    hash.as_bytes().iter().take(8).fold(0, |number, &byte| number << 8 | u64::from(byte))
}

/// Numbers of halls and hardware classes, from which the numbers of pairs are computed.
struct PairNumbers<'a> {
    halls: &'a Names,
    hardware: &'a Names,
}

impl PairNumbers<'_> {
    /// The pairs that a requirement allows or a preference prefers.
    fn rule_effect(&self, rule: &CompiledRule, sets: &mut SetsBuilder) -> RuleEffect {
        let (meant, nodes) = match &rule.form {
            CompiledForm::Require(nodes) => (true, Some(nodes)),
            CompiledForm::Avoid(nodes) => (false, Some(nodes)),
            CompiledForm::Preference { avoid, nodes } => (!avoid, Some(nodes)),
            CompiledForm::RejectAll => {
                return RuleEffect { allow: sets.intern(std::iter::empty()), position: NONE };
            }
            _ if rule.out.is_empty() => return RuleEffect { allow: NONE, position: NONE },
            _ => (true, None),
        };
        let numbers = |set: &BTreeSet<String>, names: &Names| -> Option<Vec<bool>> {
            let mut has = vec![false; names.len() + 1];
            set.iter().filter_map(|name| names.get(name.as_str())).for_each(|&at| has[at as usize] = true);
            (!set.is_empty()).then_some(has)
        };
        let halls = nodes.and_then(|nodes| numbers(&nodes.halls, self.halls));
        let hardware = nodes.and_then(|nodes| numbers(&nodes.hardware, self.hardware));
        let width = self.hardware.len() as u32 + 1;
        let pairs = (0..(self.halls.len() as u32 + 1) * width).filter(|pair| {
            let (hall, class) = (pair / width, pair % width);
            let selects_node = halls.as_ref().is_none_or(|halls| halls[hall as usize])
                && hardware.as_ref().is_none_or(|hardware| hardware[class as usize]);
            selects_node == meant && !rule.out.contains(&(class as u16))
        });
        RuleEffect { allow: sets.intern(pairs), position: NONE }
    }
}

/// The indices of the rules in each slot, by the numbers of the slot's tenant and class.
type SlotMembers = BTreeMap<(u32, u32), Vec<u32>>;

/// Assigns each rule to the slots that its selector names.
fn slot_members(rules: &[CompiledRule], tenants: &Names, classes: &Names) -> Result<SlotMembers, PlanError> {
    let mut slots = SlotMembers::new();
    let mut entries: usize = 0;
    let numbers = |set: &BTreeSet<String>, names: &Names| -> Vec<u32> {
        if set.is_empty() {
            return vec![ANY];
        }
        set.iter().filter_map(|name| names.get(name.as_str()).copied()).collect()
    };
    for (rule, at) in rules.iter().zip(0..) {
        let (tenants, classes) = (numbers(&rule.on.tenants, tenants), numbers(&rule.on.classes, classes));
        let more = tenants.len().saturating_mul(classes.len()).saturating_mul(1 + rule.on.groups.len());
        entries = entries.saturating_add(more);
        // A rule with many tenants, classes and intervals at once would take far more memory than its bytes suggest.
        if entries > MAX_ENTRIES {
            return Err(PlanError::TooLarge("tenants, classes and groups of rules"));
        }
        for &tenant in &tenants {
            for &class in &classes {
                slots.entry((tenant, class)).or_default().push(at);
            }
        }
    }
    Ok(slots)
}

/// The index in `rows` of a tenant's row.
fn row_of(tenant: u32) -> usize {
    if tenant == ANY { 0 } else { tenant as usize + 1 }
}

/// Builds the slot of these rules.
fn slot(
    rules: &[CompiledRule],
    members: &[u32],
    effects: &mut EffectsBuilder,
    groups: &mut Vec<Groups>,
) -> Slot {
    let groups_of = |&at: &u32| -> &[GroupRange] { &rules[at as usize].on.groups };
    let (plain, grouped): (Vec<u32>, Vec<u32>) = members.iter().partition(|at| groups_of(at).is_empty());
    let plain = if plain.is_empty() { NONE } else { effects.intern(&plain) };
    let ranges: Vec<_> = grouped.iter().map(|at| (*at, groups_of(at))).collect();
    if ranges.is_empty() {
        return Slot { plain, groups: NONE };
    }
    groups.push(Groups::new(&ranges, |members| effects.intern(members)));
    Slot { plain, groups: groups.len() as u32 - 1 }
}

//! Looks up the rules of a plan that match a request, and what they allow.

use cottonnotch_routing_rules::{MoveCondition, Node, Request, UncertaintyPolicy, stricter};

use crate::effects::{Effect, least};
use crate::groups::NONE;
use crate::index::Slot;
use crate::plan::Plan;
use crate::plan_body::{CompiledForm, NodeSet};

/// The maximum number of effects that apply to a request. Each of the four slots has one effect for rules without groups,
/// and one for each level of a segment tree over less than 2^22 intervals.
const MAX_EFFECTS: usize = 96;
/// The maximum number of preferences that order a request's nodes. Later preferences are ignored.
pub(crate) const MAX_PREFERENCES: usize = 31;

/// Identifies a limit under which connections are counted. A rule's limit has the same id in every plan. A counted spread
/// has one limit for each group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitId {
    /// A hash of the rule's namespace and name.
    pub rule: u64,
    /// The group, if the limit applies to one group.
    pub group: Option<u64>,
}

/// The number of a node's hall and hardware class. It is valid only for the plan that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub(crate) u32);

/// The rules of a plan that match one request.
#[derive(Clone, Copy, Debug)]
pub struct Lookup<'a> {
    plan: &'a Plan,
    group: Option<u64>,
    effect_ids: [u32; MAX_EFFECTS],
    len: usize,
    /// Positions of the preferences that order the nodes, in ascending order and padded with [`NONE`].
    preferences: [u32; MAX_PREFERENCES],
    preference_count: usize,
}

impl Plan {
    /// Looks up the rules that match a request.
    pub fn lookup(&self, request: &Request) -> Lookup<'_> {
        Lookup::new(self, request)
    }

    /// The key of a node's hall and class. It saves searching their names in repeated lookups in this plan.
    pub fn node_key(&self, node: &Node) -> NodeKey {
        NodeKey(self.index.pair(node))
    }
}

impl<'a> Lookup<'a> {
    fn empty(plan: &'a Plan, group: Option<u64>) -> Self {
        Self {
            plan,
            group,
            effect_ids: [NONE; MAX_EFFECTS],
            len: 0,
            preferences: [NONE; MAX_PREFERENCES],
            preference_count: 0,
        }
    }

    pub(crate) fn new(plan: &'a Plan, request: &Request) -> Self {
        let mut lookup = Self::empty(plan, request.group);
        let (tenant, class) = plan.index.numbers(request.tenant, request.class);
        plan.index.each_slot(tenant, class, |slot| lookup.add_slot(slot));
        lookup
    }

    /// The rules of one slot only.
    pub(crate) fn of_slot(plan: &'a Plan, slot: Option<Slot>, group: Option<u64>) -> Self {
        let mut lookup = Self::empty(plan, group);
        slot.into_iter().for_each(|slot| lookup.add_slot(slot));
        lookup
    }

    fn add_slot(&mut self, slot: Slot) {
        if slot.plain != NONE {
            self.add(slot.plain);
        }
        if let (Some(groups), Some(group)) = (self.plan.index.groups_of(slot), self.group) {
            groups.each(group, |effect| self.add(effect));
        }
    }

    fn add(&mut self, effect: u32) {
        self.effect_ids[self.len] = effect;
        self.len += 1;
        let effects = &self.plan.index.effects;
        self.merge_preferences(effects.span(effects.all[effect as usize].preferences));
    }

    /// Merges sorted positions of preferences into `preferences` and keeps the first [`MAX_PREFERENCES`].
    fn merge_preferences(&mut self, span: &[u32]) {
        if span.first().is_none_or(|first| *first >= self.preferences[MAX_PREFERENCES - 1]) {
            return;
        }
        let before = self.preferences;
        let (mut old, mut new) = (0, 0);
        // Past the end of either list, its next position is NONE, which is above every position.
        for position in &mut self.preferences {
            let (a, b) = (before[old], span.get(new).copied().unwrap_or(NONE));
            *position = a.min(b);
            if *position == NONE {
                break;
            }
            (old, new) = if a < b { (old + 1, new) } else { (old, new + 1) };
            self.preference_count = old + new;
        }
    }

    pub(crate) fn effect_ids(&self) -> &[u32] {
        &self.effect_ids[..self.len]
    }

    fn effects(&self) -> impl Iterator<Item = &'a Effect> {
        let all = &self.plan.index.effects.all;
        self.effect_ids().iter().map(move |&effect_id| &all[effect_id as usize])
    }

    fn of(&self, span: impl Fn(&Effect) -> (u32, u32)) -> impl Iterator<Item = usize> {
        let effects = &self.plan.index.effects;
        self.effects().flat_map(move |effect| effects.span(span(effect))).map(|&at| at as usize)
    }

    /// Whether the requirements allow a node.
    pub fn allows(&self, node: &Node) -> bool {
        self.allows_key(self.plan.node_key(node))
    }

    /// Whether the requirements allow the node with this key.
    pub fn allows_key(&self, node: NodeKey) -> bool {
        let index = &self.plan.index;
        self.effect_ids().iter().all(|&effect_id| {
            let allow = index.effects.all[effect_id as usize].allow;
            allow == NONE || index.sets.contains(allow, node.0)
        })
    }

    /// Whether this lookup allows the same pairs as a lookup in a plan that numbers pairs in the same way.
    pub(crate) fn allows_as(&self, other: &Lookup) -> bool {
        let word = |lookup: &Lookup, at: usize| {
            let sets = &lookup.plan.index.sets;
            let allows = lookup.effects().map(|effect| effect.allow).filter(|allow| *allow != NONE);
            allows.fold(sets.full_word(at), |word, allow| word & sets.words(allow)[at])
        };
        (0..self.plan.index.sets.len()).all(|at| word(self, at) == word(other, at))
    }

    /// The rank of a node by the preferences, where lower ranks are preferred. Each preference outweighs all later ones. The
    /// lowest bit is set for a node outside the hall that is chosen for a group with a counted spread. A node has rank 0 if
    /// all preferences prefer the node and that bit isn't set.
    pub fn rank(&self, node: &Node) -> u32 {
        self.rank_key(self.plan.node_key(node))
    }

    /// The [`rank`](Self::rank) of the node with this key.
    pub fn rank_key(&self, node: NodeKey) -> u32 {
        let index = &self.plan.index;
        let preferences = self.preferences[..self.preference_count].iter();
        let rank = preferences.fold(0, |rank, &position| {
            rank << 1 | u32::from(!index.sets.contains(index.preferences[position as usize], node.0))
        });
        rank << 1 | u32::from(self.is_outside_group_hall(node))
    }

    /// How many matching preferences don't order the nodes, because the maximum of 31 is reached.
    pub fn ignored_preferences(&self) -> usize {
        let all: usize = self.effects().map(|effect| effect.preferences.1 as usize).sum();
        all - self.preference_count
    }

    /// Whether the node is of a class on which a spread is counted, and is outside the hall chosen for the request's group.
    /// Preferring one hall keeps the few connections of such a group close to each other.
    fn is_outside_group_hall(&self, node: NodeKey) -> bool {
        let index = &self.plan.index;
        let (Some(group), halls) = (self.group, index.halls.len() as u64) else { return false };
        if self.effects().all(|effect| effect.counted.1 == 0) {
            return false;
        }
        let (hall, class) = index.split(node.0);
        let Some(class) = self.plan.body.hardware.get(class as usize) else { return false };
        if halls == 0 || u64::from(hall) == hashed(group) % halls {
            return false;
        }
        self.of(|effect| effect.counted).any(|at| match &self.plan.body.rules[at].form {
            CompiledForm::Spread { counted: Some(counted), .. } => counted.nodes.hardware.contains(class),
            _ => false,
        })
    }

    /// The maximum number of attempts, if a requirement bounds attempts.
    pub fn attempts(&self) -> Option<u32> {
        self.effects().fold(None, |most, effect| least(most, effect.attempts))
    }

    /// The maximum number of nodes that may hold connections of the request's group, if a requirement bounds it.
    pub fn spread(&self) -> Option<u32> {
        self.effects().fold(None, |most, effect| least(most, effect.spread))
    }

    /// The limits on connection set-ups over the whole fleet, in thousandths of a set-up per second. All limits apply.
    pub fn paces(&self) -> impl Iterator<Item = (LimitId, u64)> {
        let plan = self.plan;
        self.of(|effect| effect.paces).filter_map(move |at| match plan.body.rules[at].form {
            CompiledForm::Pace(pace) => Some((LimitId { rule: plan.index.limits[at], group: None }, pace)),
            _ => None,
        })
    }

    /// The limits on established connections over the whole fleet, each with the nodes whose connections are counted. All
    /// limits apply.
    pub fn caps(&self) -> impl Iterator<Item = (LimitId, u64, &'a NodeSet)> {
        let (plan, group) = (self.plan, self.group);
        self.of(|effect| effect.limits).filter_map(move |at| {
            let rule = plan.index.limits[at];
            match &plan.body.rules[at].form {
                CompiledForm::Cap { connections, nodes } => {
                    Some((LimitId { rule, group: None }, *connections, nodes))
                }
                CompiledForm::Spread { counted: Some(counted), .. } => {
                    group?;
                    Some((LimitId { rule, group }, u64::from(counted.connections), &counted.nodes))
                }
                _ => None,
            }
        })
    }

    /// When the request's connections may be moved, whatever node they are on: the strictest condition that a requirement
    /// sets on any class or, without such a requirement, the condition of the first preference.
    pub fn move_when(&self) -> Option<MoveCondition> {
        self.required_move(|drains_only| !drains_only.is_empty()).or_else(|| self.preferred_move(|_| true))
    }

    /// When the request's connections on this node may be moved.
    pub fn move_when_on(&self, node: &Node) -> Option<MoveCondition> {
        let index = &self.plan.index;
        let class = index.hardware.get(node.hardware).copied().unwrap_or(index.hardware.len() as u32) as u16;
        self.required_move_at(class).or_else(|| self.preferred_move(|out| !out.contains(&class)))
    }

    /// When the requirements allow the request's connections on the class with this index to be moved.
    pub(crate) fn required_move_at(&self, class: u16) -> Option<MoveCondition> {
        self.required_move(|drains_only| drains_only.contains(&class))
    }

    fn required_move(&self, strict: impl Fn(&[u16]) -> bool) -> Option<MoveCondition> {
        let rules = &self.plan.body.rules;
        let requirement = self.of(|effect| effect.moves).filter_map(|at| match &rules[at].form {
            CompiledForm::Move { drains_only, .. } if strict(drains_only) => Some(MoveCondition::DrainsOnly),
            CompiledForm::Move { when, .. } => Some(*when),
            _ => None,
        });
        requirement.max()
    }

    fn preferred_move(&self, is_ordered: impl Fn(&[u16]) -> bool) -> Option<MoveCondition> {
        let (rules, rule_effects) = (&self.plan.body.rules, &self.plan.index.rule_effects);
        let preferences = self.of(|effect| effect.moves).filter_map(|at| match &rules[at].form {
            CompiledForm::MovePreference(when) if is_ordered(&rules[at].out) => {
                Some((rule_effects[at].position, *when))
            }
            _ => None,
        });
        preferences.min().map(|(_, when)| when)
    }

    /// Whether any requirement matches the request.
    pub fn has_requirements(&self) -> bool {
        self.effects().any(|effect| effect.requirements.1 > 0)
    }

    /// The strictest policy for an uncertain version among the owners of the matching requirements. `None` if no requirement
    /// matches.
    pub fn uncertainty_policy(&self) -> Option<UncertaintyPolicy> {
        self.effects()
            .fold(None, |uncertainty_policy, effect| stricter(uncertainty_policy, effect.uncertainty_policy))
    }

    /// The ids of the matching requirements, as `namespace:name`.
    pub fn rule_names(&self) -> impl Iterator<Item = &'a str> {
        let ids = &self.plan.index.ids;
        self.requirements().map(move |at| &*ids[at])
    }

    pub(crate) fn requirements(&self) -> impl Iterator<Item = usize> {
        self.of(|effect| effect.requirements)
    }
}

/// Hashes a group's number, so that consecutive groups are spread over the halls.
fn hashed(group: u64) -> u64 {
    let hashed = (group ^ group >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (hashed ^ hashed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb) >> 33
}

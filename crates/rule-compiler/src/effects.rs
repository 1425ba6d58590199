//! The combined effect of a set of rules, computed once for each distinct set.

use std::collections::{HashMap, HashSet};

use cottonnotch_routing_rules::{UncertaintyPolicy, stricter};
use fnv::FnvBuildHasher;

use crate::bits::{SetId, SetsBuilder};
use crate::groups::NONE;
use crate::plan_body::{CompiledForm, CompiledRule};

/// The start and the length of a slice of [`Effects::lists`].
pub(crate) type Span = (u32, u32);

/// The combined effect of some rules.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Effect {
    /// The pairs that the requirements allow, or [`NONE`] if they allow all pairs.
    pub allow: SetId,
    pub attempts: Option<u32>,
    pub spread: Option<u32>,
    pub uncertainty_policy: Option<UncertaintyPolicy>,
    /// The indices of the requirements.
    pub requirements: Span,
    /// The indices of the requirements that limit established connections.
    pub limits: Span,
    /// The indices of the requirements that are counted spreads.
    pub counted: Span,
    pub paces: Span,
    /// The indices of the requirements and preferences about moving connections.
    pub moves: Span,
    /// The positions, among all preferences, of the preferences that order nodes, in ascending order.
    pub preferences: Span,
}

/// The effects of all distinct sets of rules.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub all: Vec<Effect>,
    pub lists: Vec<u32>,
}

impl Effects {
    pub(crate) fn span(&self, span: Span) -> &[u32] {
        &self.lists[span.0 as usize..][..span.1 as usize]
    }

    pub(crate) fn bytes(&self) -> usize {
        self.all.len() * size_of::<Effect>() + self.lists.len() * size_of::<u32>()
    }
}

/// The effect of one rule on its own: the pairs that it allows, and its position among the preferences.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuleEffect {
    /// The pairs that the rule allows, or [`NONE`] if it allows all pairs.
    pub allow: SetId,
    /// The rule's position among all preferences, or [`NONE`] for a requirement.
    pub position: u32,
}

/// Interns sets of rules and builds [`Effects`].
pub(crate) struct EffectsBuilder<'a> {
    rules: &'a [CompiledRule],
    rule_effects: &'a [RuleEffect],
    /// The pairs that each preference prefers, by the preference's position.
    preferences: &'a [SetId],
    sets: &'a mut SetsBuilder,
    effects: Effects,
    ids: HashMap<Box<[u32]>, u32, FnvBuildHasher>,
    max_bytes: usize,
}

/// The lower of two optional bounds.
pub(crate) fn least(a: Option<u32>, b: Option<u32>) -> Option<u32> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl<'a> EffectsBuilder<'a> {
    pub(crate) fn new(
        rules: &'a [CompiledRule],
        rule_effects: &'a [RuleEffect],
        preferences: &'a [SetId],
        sets: &'a mut SetsBuilder,
        max_bytes: usize,
    ) -> Self {
        Self {
            rules,
            rule_effects,
            preferences,
            sets,
            effects: Effects::default(),
            ids: HashMap::default(),
            max_bytes,
        }
    }

    /// The effects, or `None` if they exceed the limit on bytes. In that case the ids that were handed out are invalid.
    pub(crate) fn finish(self) -> Option<Effects> {
        (!self.is_full()).then_some(self.effects)
    }

    /// Whether the effects exceed the limit on bytes.
    pub(crate) fn is_full(&self) -> bool {
        self.effects.bytes() + self.sets.sets().bytes() > self.max_bytes
    }

    /// Interns the effect of these rules and returns its id. The rules must be sorted.
    pub(crate) fn intern(&mut self, members: &[u32]) -> u32 {
        // Nothing is added past the limit, because one slot alone could exceed it by far.
        if self.is_full() {
            return NONE;
        }
        if let Some(&id) = self.ids.get(members) {
            return id;
        }
        let id = self.effects.all.len() as u32;
        let effect = self.combine(members);
        self.effects.all.push(effect);
        self.ids.insert(members.into(), id);
        id
    }

    /// Computes the combined effect of these rules.
    fn combine(&mut self, members: &[u32]) -> Effect {
        let rules = self.rules;
        let form = |&member: &u32| &rules[member as usize].form;
        let member_rules = || members.iter().map(|&member| &rules[member as usize]);
        let required = || member_rules().filter(|rule| !rule.form.is_preference());
        Effect {
            allow: self.allowed_pairs(members),
            attempts: member_rules().fold(None, |most, rule| least(most, rule.form.attempts())),
            spread: member_rules().fold(None, |most, rule| least(most, rule.form.spread())),
            uncertainty_policy: required()
                .fold(None, |policy, rule| stricter(policy, Some(rule.uncertainty_policy))),
            requirements: self.list(members, |member| !form(member).is_preference()),
            limits: self.list(members, |member| form(member).is_connection_limit()),
            counted: self.list(members, |member| form(member).is_counted_spread()),
            paces: self.list(members, |member| matches!(form(member), CompiledForm::Pace(_))),
            moves: self.list(members, |member| form(member).is_move()),
            preferences: self.ordering_preferences(members),
        }
    }

    /// The pairs that every one of the rules allows, or [`NONE`] if the rules allow all pairs.
    fn allowed_pairs(&mut self, members: &[u32]) -> SetId {
        let mut allowed: Option<Vec<u64>> = None;
        let allows = members.iter().map(|&member| self.rule_effects[member as usize].allow);
        for allow in allows.filter(|allow| *allow != NONE) {
            let words = self.sets.sets().words(allow);
            match &mut allowed {
                Some(allowed) => allowed.iter_mut().zip(words).for_each(|(a, b)| *a &= b),
                None => allowed = Some(words.to_vec()),
            }
        }
        allowed.map_or(NONE, |words| self.sets.intern_words(words))
    }

    /// The positions of the preferences that order nodes, in ascending order.
    fn ordering_preferences(&mut self, members: &[u32]) -> Span {
        let is_ordering =
            |&&member: &&u32| matches!(self.rules[member as usize].form, CompiledForm::Preference { .. });
        let ordering = members.iter().filter(is_ordering);
        let mut positions: Vec<u32> =
            ordering.map(|&member| self.rule_effects[member as usize].position).collect();
        positions.sort_unstable();
        // A preference for the same nodes as an earlier one doesn't change the order, so it is left out.
        let mut seen = HashSet::with_hasher(FnvBuildHasher::default());
        positions.retain(|&position| seen.insert(self.preferences[position as usize]));
        self.list(&positions, |_| true)
    }

    fn list(&mut self, members: &[u32], which: impl Fn(&u32) -> bool) -> Span {
        let start = self.effects.lists.len();
        self.effects.lists.extend(members.iter().filter(|member| which(member)));
        (start as u32, (self.effects.lists.len() - start) as u32)
    }
}

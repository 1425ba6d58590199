//! What a set of rules says together, worked out once for each set that occurs.

use std::collections::{HashMap, HashSet};

use cottonnotch_routing_rules::{UncertaintyPolicy, stricter};
use fnv::FnvBuildHasher;

use crate::bits::{SetId, SetsBuilder};
use crate::groups::NONE;
use crate::plan::{Form, Lowrule};

/// A run of [`Effects::lists`].
pub(crate) type Run = (u32, u32);

/// What some rules say together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Effect {
    /// The pairs that the musts allow, or [`NONE`]: they allow all.
    pub allow: SetId,
    pub attempts: Option<u32>,
    pub spread: Option<u32>,
    pub doubt: Option<UncertaintyPolicy>,
    /// The musts.
    pub musts: Run,
    /// Those of them that limit standing connections.
    pub limits: Run,
    /// Those of them that are spreads.
    pub counted: Run,
    pub paces: Run,
    /// Musts and wishes.
    pub moves: Run,
    /// Places among all wishes of those that order nodes, the first first.
    pub wishes: Run,
}

/// Every effect that occurs.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub all: Vec<Effect>,
    pub lists: Vec<u32>,
}

impl Effects {
    pub(crate) fn run(&self, run: Run) -> &[u32] {
        &self.lists[run.0 as usize..][..run.1 as usize]
    }

    pub(crate) fn bytes(&self) -> usize {
        self.all.len() * size_of::<Effect>() + self.lists.len() * size_of::<u32>()
    }
}

/// What a rule does by itself, as far as pairs and order go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Own {
    /// The pairs that it allows, or [`NONE`].
    pub allow: SetId,
    /// Its place among all wishes, or [`NONE`].
    pub place: u32,
}

/// The effects while they are built.
pub(crate) struct EffectsBuilder<'a> {
    rules: &'a [Lowrule],
    own: &'a [Own],
    /// The pairs that each wish is for, by its place.
    wishes: &'a [SetId],
    sets: &'a mut SetsBuilder,
    effects: Effects,
    known: HashMap<Box<[u32]>, u32, FnvBuildHasher>,
    most_bytes: usize,
}

/// The lesser of two bounds, either of which may be missing.
pub(crate) fn least(a: Option<u32>, b: Option<u32>) -> Option<u32> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl<'a> EffectsBuilder<'a> {
    pub(crate) fn new(
        rules: &'a [Lowrule],
        own: &'a [Own],
        wishes: &'a [SetId],
        sets: &'a mut SetsBuilder,
        most_bytes: usize,
    ) -> Self {
        Self { rules, own, wishes, sets, effects: Effects::default(), known: HashMap::default(), most_bytes }
    }

    /// The effects, unless they take too many bytes; then what was numbered means nothing.
    pub(crate) fn finish(self) -> Option<Effects> {
        (!self.is_full()).then_some(self.effects)
    }

    /// Whether the effects take more bytes than they may.
    pub(crate) fn is_full(&self) -> bool {
        self.effects.bytes() + self.sets.sets().bytes() > self.most_bytes
    }

    /// The number of the effect of these rules, which are sorted.
    pub(crate) fn of(&mut self, members: &[u32]) -> u32 {
        // Nothing more is added past the bound, which one slot alone could pass by far.
        if self.is_full() {
            return NONE;
        }
        if let Some(&id) = self.known.get(members) {
            return id;
        }
        let id = self.effects.all.len() as u32;
        let effect = self.work_out(members);
        self.effects.all.push(effect);
        self.known.insert(members.into(), id);
        id
    }

    fn work_out(&mut self, members: &[u32]) -> Effect {
        let rules = self.rules;
        let mut allowed: Option<Vec<u64>> = None;
        let (mut attempts, mut spread, mut doubt) = (None, None, None);
        for &member in members {
            let (rule, own) = (&rules[member as usize], self.own[member as usize]);
            if own.allow != NONE {
                let words = self.sets.sets().words(own.allow);
                match &mut allowed {
                    Some(allowed) => allowed.iter_mut().zip(words).for_each(|(a, b)| *a &= b),
                    None => allowed = Some(words.to_vec()),
                }
            }
            match &rule.form {
                Form::Attempts(most) => attempts = least(attempts, Some(*most)),
                Form::Spread { nodes, .. } => spread = least(spread, Some(*nodes)),
                _ => {}
            }
            if !rule.form.is_wish() {
                doubt = stricter(doubt, Some(rule.on_doubt));
            }
        }
        let allow = allowed.map_or(NONE, |words| self.sets.of_words(words));
        let form = |&member: &u32| &rules[member as usize].form;
        let musts = self.list(members, |member| !form(member).is_wish());
        let limits = self.list(members, |member| {
            matches!(form(member), Form::Cap { .. } | Form::Spread { counted: Some(_), .. })
        });
        let counted =
            self.list(members, |member| matches!(form(member), Form::Spread { counted: Some(_), .. }));
        let paces = self.list(members, |member| matches!(form(member), Form::Pace(_)));
        let moves =
            self.list(members, |member| matches!(form(member), Form::Move { .. } | Form::WishMove(_)));
        let own = self.own;
        let ordering = members.iter().filter(|member| matches!(form(member), Form::Wish { .. }));
        let mut places: Vec<u32> = ordering.map(|&member| own[member as usize].place).collect();
        places.sort_unstable();
        // A wish for the same nodes as one before it tells no two nodes apart.
        let mut heard = HashSet::with_hasher(FnvBuildHasher::default());
        places.retain(|&place| heard.insert(self.wishes[place as usize]));
        let wishes = self.list(&places, |_| true);
        Effect { allow, attempts, spread, doubt, musts, limits, counted, paces, moves, wishes }
    }

    fn list(&mut self, members: &[u32], which: impl Fn(&u32) -> bool) -> Run {
        let start = self.effects.lists.len();
        self.effects.lists.extend(members.iter().filter(|member| which(member)));
        (start as u32, (self.effects.lists.len() - start) as u32)
    }
}

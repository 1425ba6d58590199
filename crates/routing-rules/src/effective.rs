//! What a book says of one request and one node, in the plainest way: the meaning that any faster form of a book has to keep.

use std::cmp::Reverse;

use crate::book::{
    Book, MoveCondition, Node, PlacementMode, Request, Rule, RuleKind, Strength, UncertaintyPolicy,
    selects_node,
};

/// What a book says of one request and one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effective {
    /// Whether the request may go to the node.
    pub allowed: bool,
    /// The preferences for nodes that speak of the request, the one that goes first first, and whether the node satisfies
    /// each. Of two nodes the one that satisfies the first wish that tells them apart is wished for more.
    pub preferences: Vec<(String, bool)>,
    /// Most attempts.
    pub attempts: Option<u32>,
    /// Most established connections, of the caps that count this node; each is a limit of its own: (rule, connections).
    pub caps: Vec<(String, u64)>,
    /// Most set-ups a second, in thousandths; each is a limit of its own: (rule, thousandths).
    pub paces: Vec<(String, u64)>,
    /// Most nodes for the request's group.
    pub spread: Option<u32>,
    /// When its connection may be moved: the strictest must; without one, the wish that goes first.
    pub move_when: Option<MoveCondition>,
    /// Whether any must speaks of the request.
    pub has_requirements: bool,
    /// What the strictest owner of these requirements asks for in doubt.
    pub uncertainty_policy: Option<UncertaintyPolicy>,
}

/// What the book says of a request on a node.
pub fn effective(book: &Book, request: &Request, node: &Node) -> Effective {
    let mut of = Effective { allowed: true, ..Effective::default() };
    let mut rules: Vec<&Rule> = book.rules.iter().filter(|rule| rule.on.matches(request)).collect();
    rules.sort_by(|a, b| a.preference_order().cmp(&b.preference_order()));
    let mut move_preference = None;
    for rule in rules {
        let id = format!("{}:{}", rule.namespace, rule.name);
        let is_required = rule.strength == Strength::Requirement;
        if is_required {
            of.has_requirements = true;
            let owner = book.namespaces.iter().find(|owner| owner.path == rule.namespace);
            of.uncertainty_policy =
                stricter(of.uncertainty_policy, owner.map(|owner| owner.uncertainty_policy));
        }
        match &rule.kind {
            RuleKind::Place { how, halls, hardware } => {
                let satisfied = selects_node(halls, hardware, node) != (*how == PlacementMode::Avoid);
                if is_required {
                    of.allowed &= satisfied;
                } else {
                    of.preferences.push((id, satisfied));
                }
            }
            RuleKind::Cap { connections, halls, hardware }
                if is_required && selects_node(halls, hardware, node) =>
            {
                of.caps.push((id, *connections));
            }
            RuleKind::Spread { nodes } if is_required => of.spread = least(of.spread, *nodes),
            RuleKind::Pace { per_s_milli } if is_required => of.paces.push((id, *per_s_milli)),
            RuleKind::Attempts { most } if is_required => of.attempts = least(of.attempts, *most),
            RuleKind::Move { when } if is_required => of.move_when = of.move_when.max(Some(*when)),
            RuleKind::Move { when } => move_preference = move_preference.or(Some(*when)),
            _ => {}
        }
    }
    of.move_when = of.move_when.or(move_preference);
    of
}

impl Rule {
    /// What orders preferences: that nearer the root goes first, then that of the higher priority, then by namespace and name.
    pub fn preference_order(&self) -> (u32, Reverse<i32>, &str, &str) {
        (self.depth, Reverse(self.priority), &self.namespace, &self.name)
    }
}

fn least(one: Option<u32>, other: u32) -> Option<u32> {
    Some(one.map_or(other, |one| one.min(other)))
}

/// Refusing is stricter than keeping; of two that refuse, the longer delay is.
pub fn stricter(
    one: Option<UncertaintyPolicy>,
    other: Option<UncertaintyPolicy>,
) -> Option<UncertaintyPolicy> {
    match (one, other) {
        (
            Some(UncertaintyPolicy::Refuse { retry_ms: a }),
            Some(UncertaintyPolicy::Refuse { retry_ms: b }),
        ) => Some(UncertaintyPolicy::Refuse { retry_ms: a.max(b) }),
        (Some(refuse @ UncertaintyPolicy::Refuse { .. }), _)
        | (_, Some(refuse @ UncertaintyPolicy::Refuse { .. })) => Some(refuse),
        (one, other) => one.or(other),
    }
}

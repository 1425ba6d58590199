//! The reference evaluation of a book for one request and one node. Every optimised form of a book must give the same result.

use std::cmp::Reverse;

use crate::book::{
    Book, MoveCondition, Node, PlacementMode, Request, Rule, RuleKind, Strength, UncertaintyPolicy,
    selects_node,
};

/// The combined effect of a book's rules on one request and one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effective {
    /// Whether the request may go to the node.
    pub allowed: bool,
    /// The preferences for nodes that match the request, in the order in which they apply, and whether the node satisfies each.
    /// Of two nodes, the preferred one is the one that satisfies the first preference that distinguishes them.
    pub preferences: Vec<(String, bool)>,
    /// The maximum number of attempts; `None` if no rule limits them.
    pub attempts: Option<u32>,
    /// The caps on established connections that include this node, as (rule, connections). Each cap is a separate limit.
    pub caps: Vec<(String, u64)>,
    /// The limits on the rate of set-ups, as (rule, thousandths of a set-up per second). Each is a separate limit.
    pub paces: Vec<(String, u64)>,
    /// The maximum number of nodes for the request's group; `None` if no rule limits it.
    pub spread: Option<u32>,
    /// When the request's connection may be moved: the condition of the strictest requirement or, without one, that of the first
    /// preference.
    pub move_when: Option<MoveCondition>,
    /// Whether any requirement matches the request.
    pub has_requirements: bool,
    /// The strictest uncertainty policy among the owners of the requirements that match the request.
    pub uncertainty_policy: Option<UncertaintyPolicy>,
}

/// Evaluates the rules of a book for a request on a node.
pub fn effective(book: &Book, request: &Request, node: &Node) -> Effective {
    let mut result = Effective { allowed: true, ..Effective::default() };
    let mut rules: Vec<&Rule> = book.rules.iter().filter(|rule| rule.on.matches(request)).collect();
    rules.sort_by(|first, second| first.preference_order().cmp(&second.preference_order()));
    let mut move_preference = None;
    for rule in rules {
        let id = format!("{}:{}", rule.namespace, rule.name);
        let is_required = rule.strength == Strength::Requirement;
        if is_required {
            result.has_requirements = true;
            let owner = book.namespaces.iter().find(|owner| owner.path == rule.namespace);
            result.uncertainty_policy =
                stricter(result.uncertainty_policy, owner.map(|owner| owner.uncertainty_policy));
        }
        match &rule.kind {
            RuleKind::Place { how, halls, hardware } => {
                let satisfied = selects_node(halls, hardware, node) != (*how == PlacementMode::Avoid);
                if is_required {
                    result.allowed &= satisfied;
                } else {
                    result.preferences.push((id, satisfied));
                }
            }
            RuleKind::Cap { connections, halls, hardware }
                if is_required && selects_node(halls, hardware, node) =>
            {
                result.caps.push((id, *connections));
            }
            RuleKind::Spread { nodes } if is_required => result.spread = minimum(result.spread, *nodes),
            RuleKind::Pace { per_s_milli } if is_required => result.paces.push((id, *per_s_milli)),
            RuleKind::Attempts { most } if is_required => result.attempts = minimum(result.attempts, *most),
            RuleKind::Move { when } if is_required => result.move_when = result.move_when.max(Some(*when)),
            RuleKind::Move { when } => move_preference = move_preference.or(Some(*when)),
            _ => {}
        }
    }
    result.move_when = result.move_when.or(move_preference);
    result
}

impl Rule {
    /// The sort key of preferences: those nearer the root come first, then those of higher priority, then by namespace and name.
    pub fn preference_order(&self) -> (u32, Reverse<i32>, &str, &str) {
        (self.depth, Reverse(self.priority), &self.namespace, &self.name)
    }
}

fn minimum(one: Option<u32>, other: u32) -> Option<u32> {
    Some(one.map_or(other, |one| one.min(other)))
}

/// The stricter of two policies. `Refuse` is stricter than `Keep`; of two `Refuse`, the one with the longer delay is stricter.
pub fn stricter(
    one: Option<UncertaintyPolicy>,
    other: Option<UncertaintyPolicy>,
) -> Option<UncertaintyPolicy> {
    match (one, other) {
        (
            Some(UncertaintyPolicy::Refuse { retry_ms: first }),
            Some(UncertaintyPolicy::Refuse { retry_ms: second }),
        ) => Some(UncertaintyPolicy::Refuse { retry_ms: first.max(second) }),
        (Some(refuse @ UncertaintyPolicy::Refuse { .. }), _)
        | (_, Some(refuse @ UncertaintyPolicy::Refuse { .. })) => Some(refuse),
        (one, other) => one.or(other),
    }
}

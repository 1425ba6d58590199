//! Maps each group to the effects that apply to it. The map is a list of disjoint intervals or, where the rules overlap too
//! much, a segment tree. This bounds the memory to some tens of entries for each interval of a rule.

use std::collections::BTreeSet;

use cottonnotch_routing_rules::GroupRange;

/// Marks the absence of an effect, a set or a position.
pub(crate) const NONE: u32 = u32::MAX;
/// The average number of rules per interval up to which a flat list is used. Above it, a segment tree is used, which keeps
/// at most two entries per level for each range of a rule.
const MAX_FLAT_RULES_PER_INTERVAL: u64 = 16;

/// The effects that apply to each group.
#[derive(Debug)]
pub(crate) struct Groups {
    /// The first group of each interval. An interval ends where the next one starts.
    starts: Box<[u64]>,
    /// The effect of each interval, or the effects of the nodes of a segment tree, in which the leaf of interval `i` has the
    /// index `starts.len() + i`.
    effects: Box<[u32]>,
    tree: bool,
}

impl Groups {
    /// Builds the map from each rule's ranges. `intern` returns the id of the effect of a set of rules.
    pub(crate) fn new(rules: &[(u32, &[GroupRange])], mut intern: impl FnMut(&[u32]) -> u32) -> Self {
        let mut starts = BTreeSet::from([0]);
        for range in rules.iter().flat_map(|(_, ranges)| *ranges) {
            starts.insert(range.first);
            starts.extend(range.last.checked_add(1));
        }
        let starts: Box<[u64]> = starts.into_iter().collect();
        let place = |group| starts.partition_point(|&start| start <= group) - 1;
        let mut covers: Vec<(usize, usize, u32)> = Vec::new();
        for (rule, ranges) in rules {
            covers.extend(ranges.iter().map(|range| (place(range.first), place(range.last) + 1, *rule)));
        }
        let entries: u64 = covers.iter().map(|(from, to, _)| (to - from) as u64).sum();
        let tree = entries > MAX_FLAT_RULES_PER_INTERVAL * starts.len() as u64;
        let mut lists: Vec<Vec<u32>> = vec![Vec::new(); starts.len() * if tree { 2 } else { 1 }];
        for (from, to, rule) in covers {
            if !tree {
                lists[from..to].iter_mut().for_each(|list| list.push(rule));
                continue;
            }
            let (mut from, mut to) = (from + starts.len(), to + starts.len());
            while from < to {
                if from % 2 == 1 {
                    lists[from].push(rule);
                    from += 1;
                }
                if to % 2 == 1 {
                    to -= 1;
                    lists[to].push(rule);
                }
                (from, to) = (from / 2, to / 2);
            }
        }
        let effects = lists.into_iter().map(|mut list| {
            list.sort_unstable();
            list.dedup();
            if list.is_empty() { NONE } else { intern(&list) }
        });
        Self { effects: effects.collect(), starts, tree }
    }

    /// Visits each effect that applies to a group.
    pub(crate) fn each(&self, group: u64, mut visit: impl FnMut(u32)) {
        let at = self.starts.partition_point(|&start| start <= group) - 1;
        if !self.tree {
            if self.effects[at] != NONE {
                visit(self.effects[at]);
            }
            return;
        }
        let mut node = at + self.starts.len();
        while node > 0 {
            if self.effects[node] != NONE {
                visit(self.effects[node]);
            }
            node /= 2;
        }
    }

    /// The first group of each interval.
    pub(crate) fn starts(&self) -> &[u64] {
        &self.starts
    }

    /// The size in bytes.
    pub(crate) fn bytes(&self) -> usize {
        size_of_val(&*self.starts) + size_of_val(&*self.effects)
    }
}

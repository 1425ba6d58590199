//! What holds of each group: disjoint intervals, or where rules overlap too much, a segment tree, so that what is kept stays
//! within some tens of entries for each interval of a rule.

use std::collections::BTreeSet;

use cottonnotch_routing_rules::GroupRange;

/// No effect.
pub(crate) const NONE: u32 = u32::MAX;
/// Entries per interval up to which a plain list is kept: past that, a tree keeps at most two by the levels.
const FLAT: u64 = 16;

/// Which effects hold for a group.
#[derive(Debug)]
pub(crate) struct Groups {
    /// Where an interval starts; it ends where the next one starts.
    starts: Box<[u64]>,
    /// Each interval's effect, or the nodes of a tree whose leaf for interval `i` is `starts.len() + i`.
    effects: Box<[u32]>,
    tree: bool,
}

impl Groups {
    /// From each rule's ranges; `intern` numbers a set of rules.
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
        let tree = entries > FLAT * starts.len() as u64;
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

    /// Visits the effects that hold for a group, each once.
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

    /// Where its intervals start.
    pub(crate) fn starts(&self) -> &[u64] {
        &self.starts
    }

    /// The bytes it takes.
    pub(crate) fn bytes(&self) -> usize {
        size_of_val(&*self.starts) + size_of_val(&*self.effects)
    }
}

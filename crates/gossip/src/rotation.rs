//! Selects members in a random order, each of them once before any is repeated.

use rand::RngExt;
use rand::seq::SliceRandom;

/// A random order of members. It is shuffled again after each round, so that members don't synchronize (SWIM, section 4.3).
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    order: Vec<u16>,
    position: usize,
}

impl Rotation {
    /// Creates a rotation of all members except `excluded`.
    pub(crate) fn new(members: u16, excluded: u16, rng: &mut impl RngExt) -> Self {
        let mut order: Vec<u16> = (0..members).filter(|ordinal| *ordinal != excluded).collect();
        order.shuffle(rng);
        Rotation { order, position: 0 }
    }

    /// Returns up to `count` next members for which `selected` holds, none of them twice.
    pub(crate) fn next(
        &mut self,
        count: usize,
        rng: &mut impl RngExt,
        selected: impl Fn(u16) -> bool,
    ) -> Vec<u16> {
        let mut taken = Vec::with_capacity(count.min(self.order.len()));
        for _ in 0..self.order.len() {
            if taken.len() == count {
                break;
            }
            if self.position == self.order.len() {
                self.order.shuffle(rng);
                self.position = 0;
            }
            let next = self.order[self.position];
            self.position += 1;
            if selected(next) && !taken.contains(&next) {
                taken.push(next);
            }
        }
        taken
    }
}

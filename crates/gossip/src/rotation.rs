//! Members in a random order, each once before any is repeated.

use rand::RngExt;
use rand::seq::SliceRandom;

/// The order. Shuffled anew after each round, so that members don't fall into step (SWIM, section 4.3).
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    order: Vec<u16>,
    position: usize,
}

impl Rotation {
    /// Of all members but one.
    pub(crate) fn new(members: u16, excluded: u16, rng: &mut impl RngExt) -> Self {
        let mut order: Vec<u16> = (0..members).filter(|ordinal| *ordinal != excluded).collect();
        order.shuffle(rng);
        Rotation { order, position: 0 }
    }

    /// The next `count` selected members at most; none twice.
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

//! Members in a random order, each once before any comes again.

use rand::RngExt;
use rand::seq::SliceRandom;

/// The order. Shuffled anew after each round, so that members don't fall into step (SWIM, section 4.3).
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    order: Vec<u16>,
    at: usize,
}

impl Rotation {
    /// Of all members but one.
    pub(crate) fn new(members: u16, but: u16, chance: &mut impl RngExt) -> Self {
        let mut order: Vec<u16> = (0..members).filter(|ordinal| *ordinal != but).collect();
        order.shuffle(chance);
        Rotation { order, at: 0 }
    }

    /// The next so many that are wanted; none twice.
    pub(crate) fn next(
        &mut self,
        most: usize,
        chance: &mut impl RngExt,
        wanted: impl Fn(u16) -> bool,
    ) -> Vec<u16> {
        let mut taken = Vec::with_capacity(most.min(self.order.len()));
        for _ in 0..self.order.len() {
            if taken.len() == most {
                break;
            }
            if self.at == self.order.len() {
                self.order.shuffle(chance);
                self.at = 0;
            }
            let next = self.order[self.at];
            self.at += 1;
            if wanted(next) && !taken.contains(&next) {
                taken.push(next);
            }
        }
        taken
    }
}

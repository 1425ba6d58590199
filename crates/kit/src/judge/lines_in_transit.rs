//! Lines on their way from one end to the other.

use crate::time::Micros;

/// Lines by number. Both ends note them, on threads of their own, so an arrival can be noted before the departure.
#[derive(Clone, Debug, Default)]
pub(super) struct Crossing {
    out: Vec<(u32, Micros)>,
    early: Vec<u32>,
}

impl Crossing {
    /// A line has left; false if it has arrived already.
    pub fn leaves(&mut self, line: u32, at: Micros) -> bool {
        if let Some(place) = self.early.iter().position(|l| *l == line) {
            self.early.swap_remove(place);
            return false;
        }
        self.out.push((line, at));
        true
    }

    /// It has arrived.
    pub fn arrives(&mut self, line: u32) {
        match self.out.iter().position(|(l, _)| *l == line) {
            Some(place) => drop(self.out.swap_remove(place)),
            // A render node that runs wild could fill it; no client is ahead by more.
            None if self.early.len() < 64 => self.early.push(line),
            None => {}
        }
    }

    /// When it left, if it is still on its way.
    pub fn since(&self, line: u32) -> Option<Micros> {
        self.out.iter().find(|(l, _)| *l == line).map(|(_, at)| *at)
    }
}

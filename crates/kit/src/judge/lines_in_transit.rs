//! Lines on their way from one end to the other.

use crate::time::Micros;

/// Lines by number. Both ends note them, on threads of their own, so an arrival can be noted before the departure.
#[derive(Clone, Debug, Default)]
pub(super) struct LinesInTransit {
    in_transit: Vec<(u32, Micros)>,
    arrived_early: Vec<u32>,
}

impl LinesInTransit {
    /// A line has left; false if it has arrived already.
    pub fn record_departure(&mut self, line: u32, at: Micros) -> bool {
        if let Some(place) = self.arrived_early.iter().position(|number| *number == line) {
            self.arrived_early.swap_remove(place);
            return false;
        }
        self.in_transit.push((line, at));
        true
    }

    /// It has arrived.
    pub fn record_arrival(&mut self, line: u32) {
        match self.in_transit.iter().position(|(number, _)| *number == line) {
            Some(place) => drop(self.in_transit.swap_remove(place)),
            // A render node that runs wild could fill it; no client is ahead by more.
            None if self.arrived_early.len() < 64 => self.arrived_early.push(line),
            None => {}
        }
    }

    /// When it left, if it is still on its way.
    pub fn departed_at(&self, line: u32) -> Option<Micros> {
        self.in_transit.iter().find(|(number, _)| *number == line).map(|(_, at)| *at)
    }
}

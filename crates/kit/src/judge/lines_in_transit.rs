//! Tracks the lines in transit from one end of a connection to the other.

use crate::time::Micros;

/// Lines in transit in one direction, by line number. The two ends are observed on separate threads, so the observation
/// of a line's arrival can precede that of its departure.
#[derive(Clone, Debug, Default)]
pub(super) struct LinesInTransit {
    in_transit: Vec<(u32, Micros)>,
    arrived_early: Vec<u32>,
}

impl LinesInTransit {
    /// Records that a line was sent. Returns false if the line has already arrived.
    pub fn record_departure(&mut self, line: u32, at: Micros) -> bool {
        if let Some(index) = self.arrived_early.iter().position(|number| *number == line) {
            self.arrived_early.swap_remove(index);
            return false;
        }
        self.in_transit.push((line, at));
        true
    }

    /// Records that a line arrived.
    pub fn record_arrival(&mut self, line: u32) {
        match self.in_transit.iter().position(|(number, _)| *number == line) {
            Some(index) => drop(self.in_transit.swap_remove(index)),
            // The limit bounds the memory if a faulty render node returns lines that were never sent. No client sends
            // this many lines ahead.
            None if self.arrived_early.len() < 64 => self.arrived_early.push(line),
            None => {}
        }
    }

    /// When the line was sent, if it is still in transit.
    pub fn departed_at(&self, line: u32) -> Option<Micros> {
        self.in_transit.iter().find(|(number, _)| *number == line).map(|(_, at)| *at)
    }
}

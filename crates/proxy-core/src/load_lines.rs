//! What a render node's `LOAD` lines tell. Two kinds of notes come under that one name, and nothing in the line says which:
//!
//! 1. a connection's load, microseconds of work a second, whenever that changes;
//! 2. how long a message takes at the render node, milliseconds, once a second on one connection of each proxy while that is
//!    over a third of the shortest aim, and once more when it is back under (the settings say whether these are sent).
//!
//! They are told apart by their time: notes of the second kind come in step, a second after one another, at the same moment of
//! the second for as long as the render node lives, whichever connection they come on. The first one is undecided until the
//! second is there, or until that is overdue; from then on the moment is known. No I/O, no clock.

use cottonnotch_decision::{Micros, RequestId, ServerId};
use std::collections::BTreeMap;

/// Between two notes of a delay.
const STEP: Micros = 1_000_000;
/// How far such a note may be from its moment: it waits for its turn in the loop, here and there.
const IN_STEP: Micros = 15_000;
/// A delay in milliseconds is no more than this: render nodes drop connections, or clients give up, long before.
const MOST_MS: f64 = 10_000.0;
/// Undecided lines of one render node; a flood of them is taken for loads at once.
const MOST_UNDECIDED: usize = 256;

/// What a line is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadLine {
    /// The load of its connection, microseconds of work a second.
    Load(f64),
    /// What a message takes at the render node.
    Delay(Micros),
    /// Not known yet: [`LoadLines::settle`] tells if it was a load after all.
    Undecided,
}

#[derive(Debug, Default)]
struct Node {
    /// The moment of the second, once two notes have shown it.
    moment: Option<Micros>,
    undecided: Vec<(Micros, RequestId, f64)>,
}

/// The lines of all render nodes.
#[derive(Debug, Default)]
pub struct LoadLines {
    nodes: BTreeMap<ServerId, Node>,
}

/// Whether two times are whole seconds apart.
fn in_step(a: Micros, b: Micros) -> bool {
    let apart = (a - b).rem_euclid(STEP);
    apart.min(STEP - apart) <= IN_STEP
}

impl LoadLines {
    /// A line with this figure has come on a connection to that render node.
    pub fn classify(&mut self, now: Micros, server: ServerId, request: RequestId, figure: f64) -> LoadLine {
        let node = self.nodes.entry(server).or_default();
        if figure > MOST_MS {
            // What came before on this connection is outdated as a load; it may still be a delay's first note.
            node.undecided
                .iter_mut()
                .filter(|(_, id, _)| *id == request)
                .for_each(|(.., load)| *load = f64::NAN);
            return LoadLine::Load(figure);
        }
        let follows = |at: Micros| now - at > STEP / 2 && now - at < 2 * STEP && in_step(now, at);
        let before = node.undecided.iter().position(|(at, ..)| follows(*at));
        if let Some(before) = before {
            node.undecided.remove(before);
            node.moment = Some(now);
        }
        if node.moment.is_some_and(|moment| in_step(now, moment)) {
            // The moment follows a clock that drifts.
            node.moment = Some(now);
            return LoadLine::Delay((figure.max(0.0) * 1_000.0) as Micros);
        }
        if node.undecided.len() >= MOST_UNDECIDED {
            return LoadLine::Load(figure);
        }
        node.undecided.push((now, request, figure));
        LoadLine::Undecided
    }

    /// Lines that were loads after all, as nothing followed them: to be called once a second.
    pub fn settle(&mut self, now: Micros) -> Vec<(RequestId, f64)> {
        let overdue = |at: Micros| now - at > STEP + IN_STEP;
        let mut loads = Vec::new();
        for node in self.nodes.values_mut() {
            let loads_after_all =
                node.undecided.iter().filter(|(at, _, load)| overdue(*at) && load.is_finite());
            loads.extend(loads_after_all.map(|(_, id, load)| (*id, *load)));
            node.undecided.retain(|(at, ..)| !overdue(*at));
        }
        loads
    }

    /// A new life of a render node's process begins a new second.
    pub fn forget(&mut self, server: ServerId) {
        self.nodes.remove(&server);
    }
}

#[cfg(test)]
#[path = "load_lines_tests.rs"]
mod tests;

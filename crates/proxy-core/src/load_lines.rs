//! What a render node's `LOAD` lines mean. Two kinds of figures come under that one name, and nothing in the line says which:
//!
//! 1. a connection's load, microseconds of work a second, whenever that changes;
//! 2. how long a message takes at the render node, milliseconds, once a second on one connection of each proxy while that is
//!    over a third of the shortest latency objective, and once more when it is back under (the settings say whether these are
//!    sent).
//!
//! Their timing tells them apart: figures of the second kind are periodic, a second after one another, at the same phase of
//! the second for as long as the render node lives, whichever connection they come on. The first one is undecided until the
//! second has arrived, or until that is overdue; from then on the phase is known.
//!
//! It grows with the render nodes, each with a bounded number of undecided lines. No I/O, no clock.

use cottonnotch_decision::{Micros, RequestId, ServerId};
use std::collections::BTreeMap;

/// Between two advertised latencies, in microseconds.
const PERIOD: Micros = 1_000_000;
/// How far an advertised latency may be from its phase: it waits for its turn in two event loops.
const JITTER: Micros = 15_000;
/// A latency in milliseconds is no more than this: render nodes drop connections, or clients give up, long before.
const MAX_LATENCY_MS: f64 = 10_000.0;
/// Undecided lines of one render node; in a flood of them the rest is taken for loads at once.
const MAX_UNDECIDED: usize = 256;

/// What one `LOAD` line means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadLine {
    /// The load of its connection, microseconds of work a second.
    Load(f64),
    /// The time that a message takes at the render node, in microseconds.
    Latency(Micros),
    /// Not known yet: [`LoadLines::settle`] returns it if it was a load after all.
    Undecided,
}

/// A line that may be a load or a latency.
#[derive(Debug)]
struct UndecidedLine {
    at: Micros,
    request: RequestId,
    /// The figure as a load; `None`: a later load of its connection has replaced it.
    load: Option<f64>,
}

#[derive(Debug, Default)]
struct NodeLines {
    /// The time of the latest advertised latency, whose phase the next ones have; `None`: no two have shown it yet.
    phase: Option<Micros>,
    undecided: Vec<UndecidedLine>,
}

/// The `LOAD` lines of all render nodes.
#[derive(Debug, Default)]
pub struct LoadLines {
    nodes: BTreeMap<ServerId, NodeLines>,
}

/// Whether two times are whole periods apart.
fn is_in_phase(a: Micros, b: Micros) -> bool {
    let apart = (a - b).rem_euclid(PERIOD);
    apart.min(PERIOD - apart) <= JITTER
}

/// Whether a line now comes one period after that time.
fn follows(now: Micros, at: Micros) -> bool {
    now - at > PERIOD / 2 && now - at < 2 * PERIOD && is_in_phase(now, at)
}

impl NodeLines {
    /// A load came on a connection: an undecided line of the same connection is outdated as a load, and may still be the
    /// first advertised latency.
    fn supersede_load(&mut self, request: RequestId) {
        let of_request = self.undecided.iter_mut().filter(|line| line.request == request);
        of_request.for_each(|line| line.load = None);
    }

    /// Looks for the line one period earlier, which makes this one the second latency in phase.
    fn learn_phase(&mut self, now: Micros) {
        if let Some(earlier) = self.undecided.iter().position(|line| follows(now, line.at)) {
            self.undecided.remove(earlier);
            self.phase = Some(now);
        }
    }
}

impl LoadLines {
    /// Classifies a line with this figure that came on a connection to that render node.
    pub fn classify(&mut self, now: Micros, server: ServerId, request: RequestId, figure: f64) -> LoadLine {
        let node = self.nodes.entry(server).or_default();
        if figure > MAX_LATENCY_MS {
            node.supersede_load(request);
            return LoadLine::Load(figure);
        }
        node.learn_phase(now);
        if node.phase.is_some_and(|phase| is_in_phase(now, phase)) {
            // The phase follows a clock that drifts.
            node.phase = Some(now);
            return LoadLine::Latency((figure.max(0.0) * 1_000.0) as Micros);
        }
        if node.undecided.len() >= MAX_UNDECIDED {
            return LoadLine::Load(figure);
        }
        node.undecided.push(UndecidedLine {
            at: now,
            request,
            load: Some(figure).filter(|load| load.is_finite()),
        });
        LoadLine::Undecided
    }

    /// Returns the undecided lines that were loads after all, as nothing followed them. To be called once a second.
    pub fn settle(&mut self, now: Micros) -> Vec<(RequestId, f64)> {
        let is_overdue = |line: &UndecidedLine| now - line.at > PERIOD + JITTER;
        let mut loads = Vec::new();
        for node in self.nodes.values_mut() {
            let overdue = node.undecided.iter().filter(|line| is_overdue(line));
            loads.extend(overdue.filter_map(|line| Some((line.request, line.load?))));
            node.undecided.retain(|line| !is_overdue(line));
        }
        loads
    }

    /// Forgets a render node: a restarted process has another phase.
    pub fn forget(&mut self, server: ServerId) {
        self.nodes.remove(&server);
    }
}

#[cfg(test)]
#[path = "load_lines_tests.rs"]
mod tests;

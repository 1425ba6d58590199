//! Classifies the `LOAD` lines of render nodes. A `LOAD` line carries one of two kinds of figures, and the line itself does not
//! say which:
//!
//! 1. the load of a connection in microseconds of work per second, sent when the load changes;
//! 2. the latency of a message at the render node in milliseconds, sent once a second on one connection of each proxy while the
//!    latency is over a third of the shortest latency objective, and once more when it is back under that threshold (the
//!    settings say whether render nodes send latencies).
//!
//! The kinds are distinguished by their timing: latencies are one second apart, at the same phase of the second as long as the
//! render node's process runs, on whichever connection they arrive. The first latency is undecided until the second one
//! arrives, after which the phase is known, or until the second one is overdue.
//!
//! Memory use is proportional to the number of render nodes, each with a bounded number of undecided lines. The module has no
//! I/O and no clock.

use cottonnotch_decision::{Micros, RequestId, ServerId};
use std::collections::BTreeMap;

/// Time between two advertised latencies, in microseconds.
const PERIOD: Micros = 1_000_000;
/// Maximum deviation of an advertised latency from its phase, in microseconds. The line is delayed by two event loops.
const JITTER: Micros = 15_000;
/// Maximum plausible latency, in milliseconds. At far lower latencies, render nodes drop connections or clients give up.
const MAX_LATENCY_MS: f64 = 10_000.0;
/// Maximum number of undecided lines per render node. Further lines are classified as loads at once.
const MAX_UNDECIDED: usize = 256;

/// The meaning of one `LOAD` line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadLine {
    /// The load of the line's connection, in microseconds of work per second.
    Load(f64),
    /// The latency of a message at the render node, in microseconds.
    Latency(Micros),
    /// The meaning is not known yet. [`LoadLines::settle`] returns the line later if it was a load.
    Undecided,
}

/// A line that may be a load or a latency.
#[derive(Debug)]
struct UndecidedLine {
    at: Micros,
    request: RequestId,
    /// The figure as a load. `None` if a later load of the connection has replaced it, or the figure is not finite.
    load: Option<f64>,
}

#[derive(Debug, Default)]
struct NodeLines {
    /// The time of the latest advertised latency, which gives the phase of the next ones. `None` until two latencies have arrived.
    phase: Option<Micros>,
    undecided: Vec<UndecidedLine>,
}

/// The `LOAD` lines of all render nodes.
#[derive(Debug, Default)]
pub struct LoadLines {
    nodes: BTreeMap<ServerId, NodeLines>,
}

/// Whether two times are a whole number of periods apart, within [`JITTER`].
fn is_in_phase(a: Micros, b: Micros) -> bool {
    let distance = (a - b).rem_euclid(PERIOD);
    distance.min(PERIOD - distance) <= JITTER
}

/// Whether `now` is one period after `at`, within [`JITTER`].
fn follows(now: Micros, at: Micros) -> bool {
    now - at > PERIOD / 2 && now - at < 2 * PERIOD && is_in_phase(now, at)
}

impl NodeLines {
    /// Handles a load on a connection. Undecided lines of the same connection are outdated as loads, but may still be the first
    /// advertised latency.
    fn supersede_load(&mut self, request: RequestId) {
        let of_request = self.undecided.iter_mut().filter(|line| line.request == request);
        of_request.for_each(|line| line.load = None);
    }

    /// Looks for an undecided line one period earlier. If there is one, both lines are latencies and the phase is known.
    fn learn_phase(&mut self, now: Micros) {
        if let Some(earlier) = self.undecided.iter().position(|line| follows(now, line.at)) {
            self.undecided.remove(earlier);
            self.phase = Some(now);
        }
    }
}

impl LoadLines {
    /// Classifies a line that arrived on the connection of `request` to the render node `server`.
    pub fn classify(&mut self, now: Micros, server: ServerId, request: RequestId, figure: f64) -> LoadLine {
        let node = self.nodes.entry(server).or_default();
        if figure > MAX_LATENCY_MS {
            node.supersede_load(request);
            return LoadLine::Load(figure);
        }
        node.learn_phase(now);
        if node.phase.is_some_and(|phase| is_in_phase(now, phase)) {
            // The phase is updated, since the render node's clock drifts.
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

    /// Returns the undecided lines that were loads, since no line followed them after one period. To be called once a second.
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

    /// Forgets a render node's phase and undecided lines, since a restarted process has another phase.
    pub fn forget(&mut self, server: ServerId) {
        self.nodes.remove(&server);
    }
}

#[cfg(test)]
#[path = "load_lines_tests.rs"]
mod tests;

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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Micros = 1_000;
    const NODE: ServerId = ServerId(3);

    fn classify(lines: &mut LoadLines, at: Micros, request: u64, figure: f64) -> LoadLine {
        lines.classify(at, NODE, RequestId(request), figure)
    }

    /// Found on zone+vast, seed 9: 1,230 ms at a node came as `LOAD 1230` and was taken for a load of next to nothing, so that
    /// the fullest node looked the emptiest.
    #[test]
    fn what_comes_in_step_is_a_delay_whichever_connection_it_comes_on() {
        let mut lines = LoadLines::default();
        assert_eq!(classify(&mut lines, 23 * MS, 1, 41_000.0), LoadLine::Load(41_000.0));
        assert_eq!(classify(&mut lines, 523 * MS, 1, 46.0), LoadLine::Undecided, "it may be a small load");
        assert_eq!(classify(&mut lines, 1_525 * MS, 2, 475.0), LoadLine::Delay(475 * MS));
        assert_eq!(classify(&mut lines, 1_900 * MS, 2, 475.0), LoadLine::Undecided, "out of step");
        // Back after a time without: the moment is known.
        assert_eq!(classify(&mut lines, 9_521 * MS, 1, 31.0), LoadLine::Delay(31 * MS));
        assert_eq!(
            classify(&mut lines, 10_522 * MS, 1, 12.0),
            LoadLine::Delay(12 * MS),
            "once more when it is back under"
        );
        assert_eq!(lines.settle(10_600 * MS), [(RequestId(2), 475.0)], "what nothing followed was a load");
        assert_eq!(lines.settle(10_600 * MS), []);
    }

    #[test]
    fn a_new_life_of_the_process_has_another_moment() {
        let mut lines = LoadLines::default();
        for at in [100, 1_100, 2_100] {
            classify(&mut lines, at * MS, 1, 80.0);
        }
        lines.forget(NODE);
        assert_eq!(classify(&mut lines, 3_100 * MS, 1, 80.0), LoadLine::Undecided);
    }

    #[test]
    fn a_flood_of_small_loads_is_bounded() {
        let mut lines = LoadLines::default();
        for n in 0..10_000 {
            classify(&mut lines, n * 20, n as u64, 50.0);
        }
        assert!(lines.nodes[&NODE].undecided.len() <= MOST_UNDECIDED);
    }

    proptest! {
        // Loads that change at random moments, delays in step between them: nearly each is taken for what it is.
        #[test]
        fn loads_and_delays_are_told_apart(
            loads in prop::collection::vec((0..20_000_i64, 400.0..60_000.0_f64), 0..40),
            moment in 0..1_000_i64,
            delays in prop::collection::vec(prop::option::weighted(0.7, 20.0..1_500.0_f64), 20),
        ) {
            let mut all: Vec<(Micros, bool, f64)> = loads.iter().map(|(at, load)| (at * MS, false, *load)).collect();
            let noted = delays.iter().enumerate().filter_map(|(s, d)| Some(((s as i64 * 1_000 + moment) * MS, true, (*d)?)));
            all.extend(noted);
            all.sort_by_key(|(at, ..)| *at);
            let mut lines = LoadLines::default();
            let (mut wrong, mut small, mut missed) = (0, 0, 0);
            let mut noted_at = Micros::MIN / 2;
            for (at, delay, figure) in &all {
                let told = lines.classify(*at, NODE, RequestId(1), *figure);
                small += usize::from(!delay && *figure <= MOST_MS);
                wrong += usize::from(matches!(told, LoadLine::Delay(_)) != *delay && !(*delay && told == LoadLine::Undecided));
                prop_assert!(!*delay || !matches!(told, LoadLine::Load(_)), "{told:?}");
                if *delay {
                    // One that follows another after a second is known for what it is.
                    missed += usize::from(at - noted_at == STEP && told == LoadLine::Undecided);
                    noted_at = *at;
                }
            }
            // Two small loads a second apart move the moment, and the next note is missed.
            prop_assert!(missed <= small / 2, "{missed} missed among {small} small loads");
            // One in 33 small loads is in step by chance; the first may be taken for the beat until the next.
            prop_assert!(wrong <= 3 + small / 3, "{wrong} of {}", all.len());
        }
    }
}

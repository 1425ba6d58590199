use super::*;
use proptest::prelude::*;

const MS: Micros = 1_000;
const NODE: ServerId = ServerId(3);

fn classify(lines: &mut LoadLines, at: Micros, request: u64, figure: f64) -> LoadLine {
    lines.classify(at, NODE, RequestId(request), figure)
}

/// Guards against taking a latency for a load: in scenario zone+vast with seed 9, a render node sent its latency of 1,230 ms as
/// `LOAD 1230`. It was taken for a very small load, so that the fullest node looked the emptiest.
#[test]
fn periodic_figures_are_latencies_on_any_connection() {
    let mut lines = LoadLines::default();
    assert_eq!(classify(&mut lines, 23 * MS, 1, 41_000.0), LoadLine::Load(41_000.0));
    assert_eq!(
        classify(&mut lines, 523 * MS, 1, 46.0),
        LoadLine::Undecided,
        "the figure may be a small load"
    );
    assert_eq!(classify(&mut lines, 1_525 * MS, 2, 475.0), LoadLine::Latency(475 * MS));
    assert_eq!(classify(&mut lines, 1_900 * MS, 2, 475.0), LoadLine::Undecided, "out of phase");
    // After a pause without latencies, the phase is still known.
    assert_eq!(classify(&mut lines, 9_521 * MS, 1, 31.0), LoadLine::Latency(31 * MS));
    assert_eq!(
        classify(&mut lines, 10_522 * MS, 1, 12.0),
        LoadLine::Latency(12 * MS),
        "the latency is sent once more when it is back under the threshold"
    );
    assert_eq!(
        lines.settle(10_600 * MS),
        [(RequestId(2), 475.0)],
        "a line that no other followed was a load"
    );
    assert_eq!(lines.settle(10_600 * MS), []);
}

#[test]
fn a_restarted_process_has_another_phase() {
    let mut lines = LoadLines::default();
    for at in [100, 1_100, 2_100] {
        classify(&mut lines, at * MS, 1, 80.0);
    }
    lines.forget(NODE);
    assert_eq!(classify(&mut lines, 3_100 * MS, 1, 80.0), LoadLine::Undecided);
}

#[test]
fn undecided_lines_are_bounded() {
    let mut lines = LoadLines::default();
    for n in 0..10_000 {
        classify(&mut lines, n * 20, n as u64, 50.0);
    }
    assert!(lines.nodes[&NODE].undecided.len() <= MAX_UNDECIDED);
}

proptest! {
    // Loads at random times and periodic latencies are mixed. Nearly all lines must be classified correctly.
    #[test]
    fn separates_loads_from_latencies(
        loads in prop::collection::vec((0..20_000_i64, 400.0..60_000.0_f64), 0..40),
        phase in 0..1_000_i64,
        latencies in prop::collection::vec(prop::option::weighted(0.7, 20.0..1_500.0_f64), 20),
    ) {
        let mut all: Vec<(Micros, bool, f64)> = loads.iter().map(|(at, load)| (at * MS, false, *load)).collect();
        let advertised = latencies.iter().enumerate().filter_map(|(s, d)| Some(((s as i64 * 1_000 + phase) * MS, true, (*d)?)));
        all.extend(advertised);
        all.sort_by_key(|(at, ..)| *at);
        let mut lines = LoadLines::default();
        let (mut wrong, mut small, mut missed) = (0, 0, 0);
        let mut latest = Micros::MIN / 2;
        for (at, is_latency, figure) in &all {
            let line = lines.classify(*at, NODE, RequestId(1), *figure);
            small += usize::from(!is_latency && *figure <= MAX_LATENCY_MS);
            wrong += usize::from(matches!(line, LoadLine::Latency(_)) != *is_latency && !(*is_latency && line == LoadLine::Undecided));
            prop_assert!(!*is_latency || !matches!(line, LoadLine::Load(_)), "{line:?}");
            if *is_latency {
                // A latency that follows another one after a second must be recognized.
                missed += usize::from(at - latest == PERIOD && line == LoadLine::Undecided);
                latest = *at;
            }
        }
        // Two small loads a second apart move the phase, and the next latency is missed.
        prop_assert!(missed <= small / 2, "{missed} missed among {small} small loads");
        // One in 33 small loads is in phase by chance, and may be classified as a latency.
        prop_assert!(wrong <= 3 + small / 3, "{wrong} of {}", all.len());
    }
}

use super::*;

const S: Micros = SECOND;

fn settings(overload_window: Micros) -> Settings {
    Settings {
        slow_start_from: 0.3,
        slow_start_window: 9 * S,
        overload_multiple: 3.0,
        overload_window,
        ..Settings::default()
    }
}

#[test]
fn servers_that_are_out_are_counted_on_for_a_while_and_not_for_ever() {
    let mut whole = FleetTotal::default();
    whole.listed(0, 16.0);
    whole.listed(S, 12.0);
    whole.listed(2 * S, 8.0);
    assert_eq!(whole.weight(2 * S), 16.0);
    whole.listed(30 * S, 16.0);
    assert_eq!(whole.weight(200 * S), 16.0, "all are back");
    whole.listed(200 * S, 8.0);
    assert_eq!(
        (whole.weight(259 * S), whole.weight(260 * S)),
        (16.0, 8.0),
        "made smaller, and no list since"
    );
    whole.listed(300 * S, 6.0);
    assert_eq!(whole.weight(300 * S), 6.0);
    whole.listed(301 * S, 5.0);
    assert_eq!(whole.weight(301 * S), 6.0, "the next one that is out");
}

/// A file that names no window for the rule has cold servers filled as before, and short ones don't shut them out.
#[test]
fn a_window_of_nothing_or_next_to_it_shuts_no_cold_server_out() {
    for window in [0, 1, S / 100, S] {
        let bound = |now| Bound::of(&settings(window), now, (1.0, 0.2), 1.0, Some(0), None);
        let (mut budget, mut taken) = (0.0, 0);
        for step in 1..160_i64 {
            let now = step * S / 20;
            budget = bound(now).expect("it is cold").filled(budget, S / 20);
            if budget >= 1.0 {
                (budget, taken) = (budget - 1.0, taken + 1);
            }
        }
        assert!(taken >= 1, "a window of {window} us: {taken}");
    }
}

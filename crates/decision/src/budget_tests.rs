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

/// Servers that left the list count towards the size of the fleet for a minute and no longer.
#[test]
fn fleet_total_counts_lost_servers_for_a_minute() {
    let mut total = FleetTotal::default();
    total.record(0, 16.0);
    total.record(S, 12.0);
    total.record(2 * S, 8.0);
    assert_eq!(total.size(2 * S), 16.0);
    total.record(30 * S, 16.0);
    assert_eq!(total.size(200 * S), 16.0, "all servers are back");
    total.record(200 * S, 8.0);
    assert_eq!(
        (total.size(259 * S), total.size(260 * S)),
        (16.0, 8.0),
        "lost servers stop counting after a minute, also without a new list"
    );
    total.record(300 * S, 6.0);
    assert_eq!(total.size(300 * S), 6.0);
    total.record(301 * S, 5.0);
    assert_eq!(total.size(301 * S), 6.0, "a server that is lost later counts again");
}

/// A warming server still gets connections if the settings state no overload window, or one shorter than
/// the timers can resolve.
#[test]
fn short_or_missing_window_admits_connections_to_warming_server() {
    for window in [0, 1, S / 100, S] {
        let usual = UsualRates { per_size: 1.0, fill: 0.2 };
        let limit = |now| SetupLimit::of(&settings(window), now, usual, 1.0, Some(0), None);
        let (mut budget, mut taken) = (SetupBudget::new(0.0, 0), 0);
        for step in 1..160_i64 {
            let now = step * S / 20;
            assert!(limit(now).is_some(), "the server is still warming up");
            budget.refill(limit(now), now);
            if budget.has_token() {
                budget.spend();
                taken += 1;
            }
        }
        assert!(taken >= 1, "{taken} connections with a window of {window} us");
    }
}

use super::*;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const OURS: ServerId = ServerId(1);
const OTHERS: ServerId = ServerId(2);

/// The keeper says that both subchannels are full; we have a connection at one of them, since the time 0.
fn full_by_the_keeper() -> MessageLatencies {
    let mut delays = MessageLatencies::new(100, Some(60 * MS), true);
    for server in [OURS, OTHERS] {
        delays.listed(server, 2.0, false);
    }
    delays.connection_opened(0, RequestId(1), OURS, None, None);
    let used = BTreeMap::from([(OURS, 2.0), (OTHERS, 2.0)]);
    delays.fleet = Some(FleetUtilisation::new(0, 20 * S, 40_000.0, used));
    delays
}

fn noted(delays: &mut MessageLatencies, now: Micros) -> Vec<ServerId> {
    let over = |note: &LatencyReport| note.delay > 20 * MS;
    delays.due_reports(now).iter().filter(|note| over(note)).map(|note| note.server).collect()
}

#[test]
fn where_none_tells_a_delay_the_estimate_counts_for_all() {
    let mut delays = full_by_the_keeper();
    assert_eq!(noted(&mut delays, 3 * S), [OURS, OTHERS]);
}

/// Found on the vast days: estimates kept clients off nodes that told this proxy nothing, having no delay to tell.
#[test]
fn one_that_could_tell_us_and_does_not_has_no_delay() {
    let mut delays = full_by_the_keeper();
    delays.latency_advertised(3 * S, OTHERS, 90 * MS);
    assert_eq!(noted(&mut delays, 5 * S), [OTHERS], "silent to our connection; the other one's note is old");
    delays.connection_closed(RequestId(1));
    assert_eq!(noted(&mut delays, 6 * S), [OURS, OTHERS], "nobody there is ours, who could be told");
    delays.connection_opened(7 * S, RequestId(2), OURS, None, None);
    assert_eq!(noted(&mut delays, 8 * S), [OURS, OTHERS], "too new to have been told");
}

#[test]
fn what_is_told_is_noted_at_once_and_once() {
    let mut delays = full_by_the_keeper();
    assert_eq!(
        delays.latency_advertised(3 * S, OURS, 300 * MS),
        Some(LatencyReport { server: OURS, delay: 300 * MS })
    );
    let tick: Vec<ServerId> = delays.due_reports(3 * S + S / 2).iter().map(|note| note.server).collect();
    assert_eq!(tick, [OTHERS], "not a second time with the tick, nor as back under");
    assert_eq!(delays.latency_advertised(4 * S, ServerId(9), 300 * MS), None, "never listed");
    // A new life of the process is not judged by what the old one told.
    delays.listed(OURS, 2.0, true);
    delays.connection_closed(RequestId(1));
    assert_eq!(noted(&mut delays, 4 * S), [OURS, OTHERS]);
}

use super::*;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const OURS: ServerId = ServerId(1);
const OTHERS: ServerId = ServerId(2);

fn settings() -> LatencySettings {
    LatencySettings { proxies: 100, objective: Some(60 * MS), sizes_are_listed: true }
}

/// The aggregator reports both render nodes as full; this proxy has had a connection to one of them since time 0.
fn reported_full() -> MessageLatencies {
    let mut latencies = MessageLatencies::new(settings());
    for server in [OURS, OTHERS] {
        latencies.endpoint_listed(server, 2.0);
    }
    latencies.connection_opened(0, RequestId(1), OURS, None, None);
    let ratios = BTreeMap::from([(OURS, 2.0), (OTHERS, 2.0)]);
    latencies.fleet = Some(FleetUtilisation::new(0, 20 * S, 40_000.0, ratios));
    latencies
}

/// Returns the render nodes that are reported over the threshold.
fn reported_over(latencies: &mut MessageLatencies, now: Micros) -> Vec<ServerId> {
    let is_over = |report: &LatencyReport| report.latency > 20 * MS;
    latencies.due_reports(now).iter().filter(|report| is_over(report)).map(|report| report.server).collect()
}

#[test]
fn estimates_count_where_no_node_advertises() {
    let mut latencies = reported_full();
    assert_eq!(reported_over(&mut latencies, 3 * S), [OURS, OTHERS]);
}

/// Guards against estimates that keep clients off render nodes which advertise nothing to this proxy because their latency is
/// under the threshold, as happened in the vast scenarios.
#[test]
fn a_node_silent_to_a_connection_has_no_latency() {
    let mut latencies = reported_full();
    latencies.latency_advertised(3 * S, OTHERS, 90 * MS);
    assert_eq!(
        reported_over(&mut latencies, 5 * S),
        [OTHERS],
        "one node is silent on our connection; the latency advertised by the other is too old"
    );
    latencies.connection_closed(RequestId(1));
    assert_eq!(
        reported_over(&mut latencies, 6 * S),
        [OURS, OTHERS],
        "no connection on which the node could advertise"
    );
    latencies.connection_opened(7 * S, RequestId(2), OURS, None, None);
    assert_eq!(
        reported_over(&mut latencies, 8 * S),
        [OURS, OTHERS],
        "the connection is too new to have received a latency"
    );
}

#[test]
fn advertised_latency_is_reported_at_once_and_once() {
    let mut latencies = reported_full();
    assert_eq!(
        latencies.latency_advertised(3 * S, OURS, 300 * MS),
        Some(LatencyReport { server: OURS, latency: 300 * MS })
    );
    let due: Vec<ServerId> =
        latencies.due_reports(3 * S + S / 2).iter().map(|report| report.server).collect();
    assert_eq!(
        due,
        [OTHERS],
        "the advertised latency is not reported again, nor as back under the threshold"
    );
    assert_eq!(latencies.latency_advertised(4 * S, ServerId(9), 300 * MS), None, "never listed");
    // The latency advertised by the old process does not count for the restarted one.
    latencies.endpoint_listed(OURS, 2.0);
    latencies.process_restarted(OURS);
    latencies.connection_closed(RequestId(1));
    assert_eq!(reported_over(&mut latencies, 4 * S), [OURS, OTHERS]);
}

/// A render node's capacity is known only where lists state sizes.
#[test]
fn live_weights_are_no_capacities() {
    for (weights, are_sizes) in
        [(WeightMeaning::Nothing, false), (WeightMeaning::Size, true), (WeightMeaning::Live, false)]
    {
        let settings = Settings { weights, ..Settings::default() };
        assert_eq!(LatencySettings::from(&settings).sizes_are_listed, are_sizes, "{weights:?}");
    }
}

use super::*;
use crate::FleetSection;
use crate::wire::{Entry, Fragment, HealthVerdict, MIN_REPORTED_UTILIZATION, Totals};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    FleetSection { members_from: Some(4), ..Default::default() }.check().unwrap().unwrap()
}

fn report(sequence: u16, fragment: (u8, u8), entries: &[(u32, f64)]) -> Report {
    let entry = |(node, load): &(u32, f64)| Entry {
        endpoint: EndpointDigest(*node),
        load: *load,
        groups: Vec::new(),
        health: HealthVerdict::Unknown,
    };
    let entries: Vec<Entry> = entries.iter().map(entry).collect();
    let totals = Totals { connections: entries.len() as u32, ..Totals::default() };
    Report {
        sequence,
        fragment: Fragment { index: fragment.0, count: fragment.1 },
        leaving: false,
        advance_notice: false,
        next_report_in: SECOND,
        totals,
        entries,
    }
}

fn endpoint_utilizations(aggregation: &mut Aggregation, now: Micros) -> BTreeMap<u32, f64> {
    aggregation.cached_summary = None;
    let summary = aggregation.summary(&settings(), now, |_| Some(100.0));
    summary.endpoints.into_iter().map(|node| (node.endpoint.0, node.utilization)).collect()
}

proptest! {
    // No report is lost or counted twice when datagrams are duplicated, delayed or reordered.
    #[test]
    fn counts_newest_report_of_each_member(
        order in prop::collection::vec((0..5_u32, 0..4_u16), 1..60),
    ) {
        let mut aggregation = Aggregation::default();
        let mut newest: BTreeMap<u32, u16> = BTreeMap::new();
        for (step, (member, sequence)) in order.iter().enumerate() {
            let load = f64::from(*sequence + 1);
            aggregation.record(step as i64, *member, 40, report(*sequence, (0, 1), &[(*member, load)]));
            let newest_sequence = newest.entry(*member).or_insert(*sequence);
            *newest_sequence = (*newest_sequence).max(*sequence);
        }
        let sums = endpoint_utilizations(&mut aggregation, 100);
        for (member, sequence) in newest {
            prop_assert_eq!(sums.get(&member).copied(), Some(f64::from(sequence + 1) / 100.0));
        }
    }
}

/// Entries of the previous report replace a lost fragment until a complete report arrives.
#[test]
fn previous_report_stands_in_for_lost_fragment() {
    let mut aggregation = Aggregation::default();
    let mut record = |now, report| aggregation.record(now, 1, 40, report);
    record(0, report(1, (0, 2), &[(1, 10.0)]));
    record(0, report(1, (1, 2), &[(2, 20.0)]));
    record(SECOND, report(2, (0, 2), &[(1, 11.0)]));
    assert_eq!(endpoint_utilizations(&mut aggregation, SECOND), BTreeMap::from([(1, 0.11), (2, 0.2)]));
    aggregation.record(2 * SECOND, 1, 40, report(3, (0, 1), &[(1, 12.0)]));
    assert_eq!(endpoint_utilizations(&mut aggregation, 2 * SECOND), BTreeMap::from([(1, 0.12)]));
}

/// The report of a restarted process replaces the previous one at once. The report of a member that is silent for three
/// intervals expires.
#[test]
fn restart_replaces_and_silence_expires() {
    let mut aggregation = Aggregation::default();
    aggregation.record(0, 1, 40, report(900, (0, 1), &[(1, 10.0)]));
    aggregation.record(0, 2, 40, report(5, (0, 1), &[(2, 10.0)]));
    aggregation.record(SECOND, 1, 40, report(0, (0, 1), &[(3, 30.0)]));
    assert_eq!(endpoint_utilizations(&mut aggregation, SECOND), BTreeMap::from([(2, 0.1), (3, 0.3)]));
    assert_eq!(
        endpoint_utilizations(&mut aggregation, 3 * SECOND),
        BTreeMap::from([(3, 0.3)]),
        "member 2 was silent for three intervals"
    );
    aggregation.record(3 * SECOND, 1, 40, Report { leaving: true, ..report(1, (0, 1), &[]) });
    assert!(endpoint_utilizations(&mut aggregation, 3 * SECOND).is_empty());
}

/// Two of forty members report far more load and connections than a member can have.
#[test]
fn faulty_members_move_sums_little() {
    let correct = |aggregation: &mut Aggregation| {
        for member in 0..38 {
            aggregation.record(0, member, 40, report(1, (0, 1), &[(member % 10, 10.0), (10, 10.0)]));
        }
    };
    let mut aggregation = Aggregation::default();
    correct(&mut aggregation);
    let before: f64 = endpoint_utilizations(&mut aggregation, 0).values().sum();
    for member in [38, 39] {
        let mut reported = report(1, (0, 1), &[(0, 4e6), (1, 4e6)]);
        reported.totals.connections = 4_000_000;
        aggregation.record(0, member, 40, reported);
    }
    let after: f64 = endpoint_utilizations(&mut aggregation, 0).values().sum();
    // Correct members have 2 connections each. A faulty one counts with 8 connections of four times the median load.
    assert!(
        after - before <= 2.0 * 8.0 * 4.0 * 10.0 / 100.0 + 1e-9,
        "total utilization {before} without and {after} with faulty members"
    );
}

/// Most members report few requests and no failures. Two members report a very high rate of requests and of failed set-ups.
#[test]
fn faulty_members_move_rates_little() {
    let mut aggregation = Aggregation::default();
    for member in 0..40 {
        let mut reported = report(1, (0, 1), &[(member % 10, 10.0)]);
        reported.totals =
            Totals { connections: 1, requests_per_s: 0.3, successes_per_s: 0.3, failures_per_s: 0.0 };
        if member >= 38 {
            reported.totals =
                Totals { connections: 1, requests_per_s: 1e6, successes_per_s: 0.0, failures_per_s: 1e6 };
        }
        aggregation.record(0, member, 40, reported);
    }
    let FleetSummary { totals, .. } = aggregation.summary(&settings(), 0, |_| Some(100.0));
    assert!(
        totals.failures_per_s <= 1.0
            && totals.failures_per_s / (totals.successes_per_s + totals.failures_per_s) < 0.1,
        "{totals:?}"
    );
    assert!(totals.requests_per_s < 15.0, "{totals:?}");
}

#[test]
fn report_lives_until_announced_next_one() {
    let mut aggregation = Aggregation::default();
    aggregation.record(0, 1, 40, Report { next_report_in: 6 * SECOND, ..report(1, (0, 1), &[(1, 10.0)]) });
    aggregation.record(5 * SECOND, 2, 40, report(1, (0, 1), &[(2, 10.0)]));
    assert_eq!(endpoint_utilizations(&mut aggregation, 7 * SECOND), BTreeMap::from([(1, 0.1), (2, 0.1)]));
    assert_eq!(endpoint_utilizations(&mut aggregation, 8 * SECOND), BTreeMap::from([(1, 0.1)]));
}

/// Ten nodes: if the proxies are spread evenly, no node counts as crowded. If 20 proxies choose one node, that node does.
#[test]
fn crowded_endpoint_is_reported_as_utilized() {
    let utilizations = |proxies_at_first_node: u32| {
        let mut aggregation = Aggregation::default();
        for member in 0..60 {
            let node = if member < proxies_at_first_node { 0 } else { member % 10 };
            let mut reported = report(1, (0, 1), &[(node, 0.1)]);
            reported.entries[0].health = HealthVerdict::Healthy;
            aggregation.record(0, member, 40, reported);
        }
        endpoint_utilizations(&mut aggregation, 0)
    };
    assert!(utilizations(0).values().all(|value| *value < MIN_REPORTED_UTILIZATION), "{:?}", utilizations(0));
    let crowded = utilizations(20);
    assert!(crowded[&0] >= MIN_REPORTED_UTILIZATION, "{crowded:?}");
    assert!((1..10).all(|node| crowded[&node] < MIN_REPORTED_UTILIZATION), "{crowded:?}");
}

/// A verdict needs two members, and an equal number of contrary verdicts cancels it.
#[test]
fn verdict_needs_two_and_a_majority() {
    let mut aggregation = Aggregation::default();
    let verdict_after = |aggregation: &mut Aggregation, member, health| {
        let mut reported = report(1, (0, 1), &[(1, 1.0)]);
        reported.entries[0].health = health;
        aggregation.record(0, member, 40, reported);
        aggregation.cached_summary = None;
        aggregation.summary(&settings(), 0, |_| Some(100.0)).endpoints[0].health
    };
    assert_eq!(
        verdict_after(&mut aggregation, 1, HealthVerdict::Unhealthy),
        HealthVerdict::Unknown,
        "a single member may be partitioned off"
    );
    assert_eq!(verdict_after(&mut aggregation, 2, HealthVerdict::Unhealthy), HealthVerdict::Unhealthy);
    assert_eq!(verdict_after(&mut aggregation, 3, HealthVerdict::Healthy), HealthVerdict::Unhealthy);
    assert_eq!(
        verdict_after(&mut aggregation, 4, HealthVerdict::Healthy),
        HealthVerdict::Unknown,
        "as many members report the endpoint as healthy"
    );
}

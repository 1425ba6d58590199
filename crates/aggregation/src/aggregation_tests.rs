use super::*;
use crate::FleetSection;
use proptest::prelude::*;

const S: Micros = 1_000_000;

fn settings() -> Settings {
    FleetSection { members_from: Some(4), ..Default::default() }.check().unwrap().unwrap()
}

fn report(generation: u16, part: (u8, u8), entries: &[(u32, f64)]) -> Report {
    let entry = |(node, load): &(u32, f64)| Entry {
        endpoint: EndpointDigest(*node),
        load: *load,
        groups: Vec::new(),
        health: HealthVerdict::Unknown,
    };
    let entries: Vec<Entry> = entries.iter().map(entry).collect();
    let totals = Totals { connections: entries.len() as u32, ..Totals::default() };
    Report { generation, part, leaving: false, no_answer: false, next: S, totals, entries }
}

fn used(aggregation: &mut Aggregation, now: Micros) -> BTreeMap<u32, f64> {
    aggregation.table = None;
    let table = aggregation.table(&settings(), now, |_| Some(100.0));
    table.nodes.into_iter().map(|(node, used, _)| (node.0, used)).collect()
}

proptest! {
    // What is summed is neither lost nor counted twice, whatever is doubled, late or overtaken.
    #[test]
    fn each_member_counts_once_with_its_newest_report(
        order in prop::collection::vec((0..5_u32, 0..4_u16), 1..60),
    ) {
        let mut aggregation = Aggregation::default();
        let mut newest: BTreeMap<u32, u16> = BTreeMap::new();
        for (step, (member, generation)) in order.iter().enumerate() {
            let load = f64::from(*generation + 1);
            aggregation.take(step as i64, *member, 40, report(*generation, (0, 1), &[(*member, load)]));
            let known = newest.entry(*member).or_insert(*generation);
            *known = (*known).max(*generation);
        }
        let sums = used(&mut aggregation, 100);
        for (member, generation) in newest {
            prop_assert_eq!(sums.get(&member).copied(), Some(f64::from(generation + 1) / 100.0));
        }
    }
}

#[test]
fn a_lost_part_is_stood_for_by_the_last_report_and_what_is_told_no_more_is_gone() {
    let mut aggregation = Aggregation::default();
    let mut take = |now, report| aggregation.take(now, 1, 40, report);
    take(0, report(1, (0, 2), &[(1, 10.0)]));
    take(0, report(1, (1, 2), &[(2, 20.0)]));
    take(S, report(2, (0, 2), &[(1, 11.0)]));
    assert_eq!(used(&mut aggregation, S), BTreeMap::from([(1, 0.11), (2, 0.2)]));
    aggregation.take(2 * S, 1, 40, report(3, (0, 1), &[(1, 12.0)]));
    assert_eq!(used(&mut aggregation, 2 * S), BTreeMap::from([(1, 0.12)]));
}

#[test]
fn a_new_process_replaces_the_old_one_and_the_silent_age_out() {
    let mut aggregation = Aggregation::default();
    aggregation.take(0, 1, 40, report(900, (0, 1), &[(1, 10.0)]));
    aggregation.take(0, 2, 40, report(5, (0, 1), &[(2, 10.0)]));
    aggregation.take(S, 1, 40, report(0, (0, 1), &[(3, 30.0)]));
    assert_eq!(used(&mut aggregation, S), BTreeMap::from([(2, 0.1), (3, 0.3)]));
    assert_eq!(used(&mut aggregation, 3 * S), BTreeMap::from([(3, 0.3)]), "2 was silent for three periods");
    aggregation.take(3 * S, 1, 40, Report { leaving: true, ..report(1, (0, 1), &[]) });
    assert!(used(&mut aggregation, 3 * S).is_empty());
}

#[test]
fn two_liars_of_forty_move_the_sums_by_little() {
    let honest = |aggregation: &mut Aggregation| {
        for member in 0..38 {
            aggregation.take(0, member, 40, report(1, (0, 1), &[(member % 10, 10.0), (10, 10.0)]));
        }
    };
    let mut aggregation = Aggregation::default();
    honest(&mut aggregation);
    let before: f64 = used(&mut aggregation, 0).values().sum();
    for liar in [38, 39] {
        let mut lie = report(1, (0, 1), &[(0, 4e6), (1, 4e6)]);
        lie.totals.connections = 4_000_000;
        aggregation.take(0, liar, 40, lie);
    }
    let after: f64 = used(&mut aggregation, 0).values().sum();
    // Honest ones have 2 connections each; a liar counts for 8 of four times the usual load.
    assert!(after - before <= 2.0 * 8.0 * 4.0 * 10.0 / 100.0 + 1e-9, "{before} {after}");
}

/// Few requests and few failures at most members; two say that all set-ups fail, and that many come.
#[test]
fn two_liars_of_forty_neither_stop_the_tier_nor_raise_its_price() {
    let mut aggregation = Aggregation::default();
    for member in 0..40 {
        let mut told = report(1, (0, 1), &[(member % 10, 10.0)]);
        told.totals =
            Totals { connections: 1, requests_per_s: 0.3, successes_per_s: 0.3, failures_per_s: 0.0 };
        if member >= 38 {
            told.totals =
                Totals { connections: 1, requests_per_s: 1e6, successes_per_s: 0.0, failures_per_s: 1e6 };
        }
        aggregation.take(0, member, 40, told);
    }
    let FleetSummary { totals, .. } = aggregation.table(&settings(), 0, |_| Some(100.0));
    assert!(
        totals.failures_per_s <= 1.0
            && totals.failures_per_s / (totals.successes_per_s + totals.failures_per_s) < 0.1,
        "{totals:?}"
    );
    assert!(totals.requests_per_s < 15.0, "{totals:?}");
}

#[test]
fn a_member_with_a_long_way_to_its_next_report_does_not_age_out_before() {
    let mut aggregation = Aggregation::default();
    aggregation.take(0, 1, 40, Report { next: 6 * S, ..report(1, (0, 1), &[(1, 10.0)]) });
    aggregation.take(5 * S, 2, 40, report(1, (0, 1), &[(2, 10.0)]));
    assert_eq!(used(&mut aggregation, 7 * S), BTreeMap::from([(1, 0.1), (2, 0.1)]));
    assert_eq!(used(&mut aggregation, 8 * S), BTreeMap::from([(1, 0.1)]));
}

/// Ten nodes; where all take as many, nobody is held off, however many that is.
#[test]
fn a_node_that_took_far_more_than_others_settles_and_an_even_rush_holds_nobody_off() {
    let told = |crowd: u32| {
        let mut aggregation = Aggregation::default();
        for member in 0..60 {
            let node = if member < crowd { 0 } else { member % 10 };
            let mut told = report(1, (0, 1), &[(node, 0.1)]);
            told.entries[0].health = HealthVerdict::Healthy;
            aggregation.take(0, member, 40, told);
        }
        used(&mut aggregation, 0)
    };
    assert!(told(0).values().all(|used| *used < MIN_REPORTED_UTILIZATION), "{:?}", told(0));
    let crowded = told(20);
    assert!(crowded[&0] >= MIN_REPORTED_UTILIZATION, "{crowded:?}");
    assert!((1..10).all(|node| crowded[&node] < MIN_REPORTED_UTILIZATION), "{crowded:?}");
}

#[test]
fn a_word_needs_two_and_no_majority_against_it() {
    let mut aggregation = Aggregation::default();
    let word = |aggregation: &mut Aggregation, member, word| {
        let mut told = report(1, (0, 1), &[(1, 1.0)]);
        told.entries[0].health = word;
        aggregation.take(0, member, 40, told);
        aggregation.table = None;
        aggregation.table(&settings(), 0, |_| Some(100.0)).nodes[0].2
    };
    assert_eq!(
        word(&mut aggregation, 1, HealthVerdict::Unhealthy),
        HealthVerdict::Unknown,
        "one may be cut off itself"
    );
    assert_eq!(word(&mut aggregation, 2, HealthVerdict::Unhealthy), HealthVerdict::Unhealthy);
    assert_eq!(word(&mut aggregation, 3, HealthVerdict::Healthy), HealthVerdict::Unhealthy);
    assert_eq!(
        word(&mut aggregation, 4, HealthVerdict::Healthy),
        HealthVerdict::Unknown,
        "as many say otherwise"
    );
}

use super::*;
use crate::FleetSection;
use crate::wire::Fragment;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const MEAN_LOAD: f64 = 100.0;

fn settings() -> Settings {
    let section = FleetSection { members_from: Some(4), group_homes: Some(3), ..FleetSection::default() };
    section.check().unwrap().unwrap()
}

fn group_report(sequence: u16, fragment: (u8, u8), groups: &[(u64, f64)]) -> GroupReport {
    GroupReport {
        sequence,
        fragment: Fragment { index: fragment.0, count: fragment.1 },
        advance_notice: false,
        next_report_in: SECOND,
        groups: groups.to_vec(),
    }
}

fn fleet_totals(members: u32) -> FleetTotals {
    let connections = f64::from(members) * 10.0;
    let endpoints = EndpointPool { count: 90, mean_capacity: 1e4 };
    FleetTotals {
        configured_members: members,
        reporting_members: members,
        connections,
        connections_with_groups: connections,
        mean_load: MEAN_LOAD,
        endpoints,
    }
}

proptest! {
    /// Reference model: the sum over the newest report of each member. The loads are similar, so no limit applies.
    #[test]
    fn sums_match_plain_addition(
        order in prop::collection::vec((0..30_u32, 0..4_u16, 0..5_u64), 1..200),
    ) {
        let mut sums = GroupSums::default();
        let mut newest: BTreeMap<u32, (u16, u64)> = BTreeMap::new();
        for (step, (member, sequence, group)) in order.iter().enumerate() {
            let load = 50.0 + f64::from(*sequence);
            let seen = newest.get(member).copied();
            if seen.is_none_or(|(known, _)| known < *sequence) {
                newest.insert(*member, (*sequence, *group));
            } else if seen.is_some_and(|(known, known_group)| known == *sequence && known_group != *group) {
                continue;
            }
            sums.record(&settings(), step as i64, *member, 40, group_report(*sequence, (0, 1), &[(*group, load)]));
        }
        let mut expected: BTreeMap<u64, f64> = BTreeMap::new();
        for (sequence, group) in newest.values() {
            *expected.entry(*group).or_default() += 50.0 + f64::from(*sequence);
        }
        prop_assert_eq!(sums.sums(MEAN_LOAD, 30), expected.into_iter().collect::<Vec<_>>());
    }

    /// Two of forty members report arbitrary loads.
    #[test]
    fn faulty_members_move_sums_within_bound(
        correct in prop::collection::vec(0.0..2_000.0, 38),
        faulty in prop::collection::vec(0.0..1e15, 2),
    ) {
        let mut sums = GroupSums::default();
        for (member, load) in correct.iter().enumerate() {
            sums.record(&settings(), 0, member as u32, 40, group_report(1, (0, 1), &[(1, *load)]));
        }
        for (member, load) in faulty.iter().enumerate() {
            sums.record(&settings(), 0, 38 + member as u32, 40, group_report(1, (0, 1), &[(1, *load), (9, *load)]));
        }
        let sums_by_group: BTreeMap<u64, f64> = sums.sums(MEAN_LOAD, 30).into_iter().collect();
        let (sum_of_correct, max_load): (f64, f64) =
            (correct.iter().sum(), correct.iter().copied().fold(0.0, f64::max));
        prop_assert!(
            sums_by_group[&1] <= sum_of_correct + 2.0 * (2.0 * max_load + 4.0 * MEAN_LOAD) + 1e-6,
            "sum {}, correct members only {sum_of_correct}",
            sums_by_group[&1]
        );
        prop_assert!(
            sums_by_group[&9] <= 2.0 * 4.0 * MEAN_LOAD,
            "sum of a group reported by faulty members only: {}",
            sums_by_group[&9]
        );
    }
}

/// At an aggregator with few reports, a group that only one member reports counts with at most four connections.
#[test]
fn few_members_set_no_usual_load() {
    let mut sums = GroupSums::default();
    sums.record(&settings(), 0, 1, 40, group_report(1, (0, 1), &[(2, 1e9)]));
    assert_eq!(sums.sums(MEAN_LOAD, 40), [(2, 4.0 * MEAN_LOAD)]);
    (2..18).for_each(|member| {
        sums.record(&settings(), 0, member, 40, group_report(1, (0, 1), &[(3, 500.0)]));
    });
    assert_eq!(sums.sums(MEAN_LOAD, 40), [(2, 4.0 * MEAN_LOAD), (3, 16.0 * 500.0)]);
}

#[test]
fn huge_reported_load_is_limited() {
    let mut sums = GroupSums::default();
    (0..39).for_each(|member| {
        sums.record(&settings(), 0, member, 40, group_report(1, (0, 1), &[(1, 500.0)]));
    });
    sums.record(&settings(), 0, 39, 40, group_report(1, (0, 1), &[(2, 1e9 * MEAN_LOAD)]));
    let affinity = settings().affinity.unwrap();
    // 39 * 500 / (10,000 / 4 - 3 * 100), rounded up: nine endpoints.
    assert_eq!(sums.subset_sizes(&affinity, 0, &fleet_totals(40)), [(1, 9)]);
}

/// An answer contains the groups with the largest subsets; the others are counted as truncated.
#[test]
fn names_largest_groups_and_counts_truncated() {
    let mut sums = GroupSums::default();
    let groups: Vec<(u64, f64)> = (0..20).map(|group| (group, 1_000.0 + group as f64 * 100.0)).collect();
    (0..30).for_each(|member| {
        sums.record(&settings(), 0, member, 40, group_report(1, (0, 1), &groups));
    });
    let affinity = settings().affinity.unwrap();
    let sizes = sums.subset_sizes(&affinity, 0, &fleet_totals(30));
    let named: Vec<u64> = sizes.iter().map(|(group, _)| *group).collect();
    assert_eq!((named, sums.truncated), (vec![19, 18, 17], 17));
    assert_eq!(
        sums.subset_sizes(&affinity, SECOND / 2, &fleet_totals(30)),
        sizes,
        "sizes are reused for a second"
    );
}

/// The sums are extrapolated if half of the fleet runs an older program version that reports no groups, and if no reports
/// arrive from part of the fleet.
#[test]
fn extrapolates_to_members_without_groups() {
    let affinity = settings().affinity.unwrap();
    let required_size_with = |fleet: FleetTotals| {
        let mut sums = GroupSums::default();
        (0..30).for_each(|member| {
            sums.record(&settings(), 0, member, 40, group_report(1, (0, 1), &[(1, 1_000.0)]));
        });
        sums.subset_sizes(&affinity, 0, &fleet)[0].1
    };
    assert_eq!(required_size_with(fleet_totals(30)), 14);
    let mixed_versions = FleetTotals {
        configured_members: 60,
        reporting_members: 60,
        connections: 600.0,
        connections_with_groups: 300.0,
        ..fleet_totals(30)
    };
    assert_eq!(
        required_size_with(mixed_versions),
        28,
        "half of the connections belong to members without group reports"
    );
    assert_eq!(
        required_size_with(FleetTotals { configured_members: 60, ..fleet_totals(30) }),
        28,
        "no reports from half of the members"
    );
    assert_eq!(
        required_size_with(FleetTotals { configured_members: 440, ..fleet_totals(30) }),
        28,
        "extrapolated by at most a factor of two"
    );
}

/// Groups of the previous report replace a lost fragment. The report of a silent member expires even if the member announced a
/// very long interval.
#[test]
fn previous_report_stands_in_and_silence_expires() {
    let mut sums = GroupSums::default();
    let mut record = |now, report| sums.record(&settings(), now, 1, 40, report);
    record(0, group_report(1, (0, 2), &[(1, 10.0)]));
    record(0, group_report(1, (1, 2), &[(2, 20.0)]));
    record(SECOND, group_report(2, (0, 2), &[(1, 11.0)]));
    assert_eq!(sums.sums(MEAN_LOAD, 30), [(1, 11.0), (2, 20.0)]);
    sums.record(&settings(), 2 * SECOND, 1, 40, group_report(3, (0, 1), &[(1, 12.0)]));
    assert_eq!(sums.sums(MEAN_LOAD, 30), [(1, 12.0)]);
    sums.expire(4 * SECOND);
    assert_eq!(sums.sums(MEAN_LOAD, 30), [(1, 12.0)]);
    sums.expire(5 * SECOND);
    assert!(sums.sums(MEAN_LOAD, 30).is_empty() && sums.reports.is_empty());
    // A member that announces its next report in a year expires like others.
    sums.record(
        &settings(),
        5 * SECOND,
        1,
        40,
        GroupReport { next_report_in: 31_536_000 * SECOND, ..group_report(4, (0, 1), &[(1, 12.0)]) },
    );
    sums.expire(60 * SECOND);
    assert!(sums.reports.is_empty());
}

/// A member that reports the maximum number of groups, with new names in every report, does not make the stored groups
/// accumulate.
#[test]
fn holds_two_reports_per_member_at_most() {
    let mut sums = GroupSums::default();
    for sequence in 0..300_u16 {
        for fragment in 0..16_u8 {
            let base = u64::from(sequence) << 16 | u64::from(fragment) << 8;
            let groups: Vec<(u64, f64)> = (0..27).map(|index| (base | index, 1.0)).collect();
            sums.record(&settings(), 0, 1, 256, group_report(sequence, (fragment, 16), &groups));
        }
        assert!(sums.reports[&1].groups.len() <= 2 * 16 * 27, "{}", sums.reports[&1].groups.len());
    }
}

/// A member sends the same fragment of a report repeatedly, each time with other group names.
#[test]
fn contradictory_fragment_is_rejected() {
    let mut sums = GroupSums::default();
    let accepted = (0..1_000_u64).filter(|repetition| {
        let groups: Vec<(u64, f64)> = (0..27).map(|index| (repetition << 8 | index, 1.0)).collect();
        sums.record(&settings(), 0, 1, 256, group_report(1, (0, 2), &groups)) == RecordOutcome::Accepted
    });
    assert_eq!((accepted.count(), sums.reports[&1].groups.len()), (1, 27));
}

/// The only member that reports groups is aggregator of a fleet with an older program version: the load of its groups is
/// extrapolated by at most a factor of two.
#[test]
fn extrapolation_is_bounded() {
    let mut sums = GroupSums::default();
    sums.record(&settings(), 0, 1, 40, group_report(1, (0, 1), &[(1, 40.0)]));
    let fleet = FleetTotals {
        configured_members: 30,
        reporting_members: 30,
        connections: 1e6,
        connections_with_groups: 4.0,
        ..fleet_totals(30)
    };
    let sizes = sums.subset_sizes(&settings().affinity.unwrap(), 0, &fleet);
    assert!(sizes.is_empty(), "{sizes:?}");
}

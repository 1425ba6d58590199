use super::*;
use crate::FleetSection;
use proptest::prelude::*;

const S: Micros = 1_000_000;
const MEAN: f64 = 100.0;

fn settings() -> Settings {
    let section = FleetSection { members_from: Some(4), group_homes: Some(3), ..FleetSection::default() };
    section.check().unwrap().unwrap()
}

fn told(generation: u16, part: (u8, u8), groups: &[(u64, f64)]) -> GroupReport {
    GroupReport { generation, part, no_answer: false, next: S, groups: groups.to_vec() }
}

fn heard(members: u32) -> FleetTotals {
    let connections = f64::from(members) * 10.0;
    let nodes = Nodes { count: 90, size: 1e4 };
    FleetTotals { tier: members, members, connections, with_groups: connections, mean_load: MEAN, nodes }
}

proptest! {
    /// The plain oracle: the newest report of each, added up. Where all have about the same nobody is cut.
    #[test]
    fn sums_are_exact_where_nobody_lies(
        order in prop::collection::vec((0..30_u32, 0..4_u16, 0..5_u64), 1..200),
    ) {
        let mut sums = GroupSums::default();
        let mut newest: BTreeMap<u32, (u16, u64)> = BTreeMap::new();
        for (step, (member, generation, group)) in order.iter().enumerate() {
            let load = 50.0 + f64::from(*generation);
            let seen = newest.get(member).copied();
            if seen.is_none_or(|(known, _)| known < *generation) {
                newest.insert(*member, (*generation, *group));
            } else if seen.is_some_and(|(known, of)| known == *generation && of != *group) {
                continue;
            }
            sums.take(&settings(), step as i64, *member, 40, told(*generation, (0, 1), &[(*group, load)]));
        }
        let mut oracle: BTreeMap<u64, f64> = BTreeMap::new();
        for (generation, group) in newest.values() {
            *oracle.entry(*group).or_default() += 50.0 + f64::from(*generation);
        }
        prop_assert_eq!(sums.sums(MEAN, 30), oracle.into_iter().collect::<Vec<_>>());
    }

    /// Two of forty tell what they like.
    #[test]
    fn two_liars_of_forty_move_no_sum_by_more_than_stated(
        honest in prop::collection::vec(0.0..2_000.0, 38),
        lies in prop::collection::vec(0.0..1e15, 2),
    ) {
        let mut sums = GroupSums::default();
        for (member, load) in honest.iter().enumerate() {
            sums.take(&settings(), 0, member as u32, 40, told(1, (0, 1), &[(1, *load)]));
        }
        for (liar, load) in lies.iter().enumerate() {
            sums.take(&settings(), 0, 38 + liar as u32, 40, told(1, (0, 1), &[(1, *load), (9, *load)]));
        }
        let all: BTreeMap<u64, f64> = sums.sums(MEAN, 30).into_iter().collect();
        let (truth, most): (f64, f64) = (honest.iter().sum(), honest.iter().copied().fold(0.0, f64::max));
        prop_assert!(all[&1] <= truth + 2.0 * (2.0 * most + 4.0 * MEAN) + 1e-6, "{} {truth}", all[&1]);
        prop_assert!(all[&9] <= 2.0 * 4.0 * MEAN, "a group of their own: {}", all[&9]);
    }
}

/// A aggregator that hears few: of one member alone nothing is believed beyond four connections.
#[test]
fn where_few_are_heard_none_is_taken_for_the_usual() {
    let mut sums = GroupSums::default();
    sums.take(&settings(), 0, 1, 40, told(1, (0, 1), &[(2, 1e9)]));
    assert_eq!(sums.sums(MEAN, 40), [(2, 4.0 * MEAN)]);
    (2..18).for_each(|member| {
        sums.take(&settings(), 0, member, 40, told(1, (0, 1), &[(3, 500.0)]));
    });
    assert_eq!(sums.sums(MEAN, 40), [(2, 4.0 * MEAN), (3, 16.0 * 500.0)]);
}

#[test]
fn a_billion_listeners_make_no_home() {
    let mut sums = GroupSums::default();
    (0..39).for_each(|member| {
        sums.take(&settings(), 0, member, 40, told(1, (0, 1), &[(1, 500.0)]));
    });
    sums.take(&settings(), 0, 39, 40, told(1, (0, 1), &[(2, 1e9 * MEAN)]));
    let homes = settings().affinity.unwrap();
    // 39 x 500 over a quarter of 10,000 less 3 x 100: nine homes.
    assert_eq!(sums.table(&homes, 0, &heard(40)), [(1, 9)]);
}

#[test]
fn a_table_names_the_largest_and_counts_the_rest() {
    let mut sums = GroupSums::default();
    let groups: Vec<(u64, f64)> = (0..20).map(|group| (group, 1_000.0 + group as f64 * 100.0)).collect();
    (0..30).for_each(|member| {
        sums.take(&settings(), 0, member, 40, told(1, (0, 1), &groups));
    });
    let homes = settings().affinity.unwrap();
    let table = sums.table(&homes, 0, &heard(30));
    let named: Vec<u64> = table.iter().map(|(group, _)| *group).collect();
    assert_eq!((named, sums.cut), (vec![19, 18, 17], 17));
    assert_eq!(sums.table(&homes, S / 2, &heard(30)), table, "not made anew each time");
}

/// Half of the tier has an older program, which reports and tells no groups; a region can't be heard.
#[test]
fn those_that_tell_nothing_are_taken_to_be_like_the_others() {
    let homes = settings().affinity.unwrap();
    let needs = |heard: FleetTotals| {
        let mut sums = GroupSums::default();
        (0..30).for_each(|member| {
            sums.take(&settings(), 0, member, 40, told(1, (0, 1), &[(1, 1_000.0)]));
        });
        sums.table(&homes, 0, &heard)[0].1
    };
    assert_eq!(needs(heard(30)), 14);
    let older = FleetTotals { tier: 60, members: 60, connections: 600.0, with_groups: 300.0, ..heard(30) };
    assert_eq!(needs(older), 28, "half of the connections are of members that tell no groups");
    assert_eq!(needs(FleetTotals { tier: 60, ..heard(30) }), 28, "half isn't heard");
    assert_eq!(needs(FleetTotals { tier: 440, ..heard(30) }), 28, "no more than as many again");
}

#[test]
fn a_lost_part_is_stood_for_by_the_last_report_and_the_silent_age_out() {
    let mut sums = GroupSums::default();
    let mut take = |now, told| sums.take(&settings(), now, 1, 40, told);
    take(0, told(1, (0, 2), &[(1, 10.0)]));
    take(0, told(1, (1, 2), &[(2, 20.0)]));
    take(S, told(2, (0, 2), &[(1, 11.0)]));
    assert_eq!(sums.sums(MEAN, 30), [(1, 11.0), (2, 20.0)]);
    sums.take(&settings(), 2 * S, 1, 40, told(3, (0, 1), &[(1, 12.0)]));
    assert_eq!(sums.sums(MEAN, 30), [(1, 12.0)]);
    sums.forget_old(4 * S);
    assert_eq!(sums.sums(MEAN, 30), [(1, 12.0)]);
    sums.forget_old(5 * S);
    assert!(sums.sums(MEAN, 30).is_empty() && sums.reports.is_empty());
    // Who says that its next report comes in a year is forgotten as others are.
    sums.take(
        &settings(),
        5 * S,
        1,
        40,
        GroupReport { next: 31_536_000 * S, ..told(4, (0, 1), &[(1, 12.0)]) },
    );
    sums.forget_old(60 * S);
    assert!(sums.reports.is_empty());
}

/// As many names as datagrams hold, in each report others: nothing adds up.
#[test]
fn names_without_end_take_no_more_room_than_two_reports() {
    let mut sums = GroupSums::default();
    for generation in 0..300_u16 {
        for part in 0..16_u8 {
            let base = u64::from(generation) << 16 | u64::from(part) << 8;
            let groups: Vec<(u64, f64)> = (0..27).map(|name| (base | name, 1.0)).collect();
            sums.take(&settings(), 0, 1, 256, told(generation, (part, 16), &groups));
        }
        assert!(sums.reports[&1].groups.len() <= 2 * 16 * 27, "{}", sums.reports[&1].groups.len());
    }
}

/// One part of one report again and again, each time with other names.
#[test]
fn a_part_that_comes_again_changes_nothing_and_with_other_names_is_counted() {
    let mut sums = GroupSums::default();
    let sound = (0..1_000_u64).filter(|again| {
        let groups: Vec<(u64, f64)> = (0..27).map(|name| (again << 8 | name, 1.0)).collect();
        sums.take(&settings(), 0, 1, 256, told(1, (0, 2), &groups))
    });
    assert_eq!((sound.count(), sums.reports[&1].groups.len()), (1, 27));
}

/// The first new one of a tier of older programs is aggregator: what it has stands for no more than as much again.
#[test]
fn a_few_that_tell_groups_do_not_stand_for_all() {
    let mut sums = GroupSums::default();
    sums.take(&settings(), 0, 1, 40, told(1, (0, 1), &[(1, 40.0)]));
    let heard = FleetTotals { tier: 30, members: 30, connections: 1e6, with_groups: 4.0, ..heard(30) };
    let table = sums.table(&settings().affinity.unwrap(), 0, &heard);
    assert!(table.is_empty(), "{table:?}");
}

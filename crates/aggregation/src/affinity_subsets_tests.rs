use super::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;
const SETTINGS: AffinitySettings =
    AffinitySettings { groups: 4, home_use: 0.25, hold: 600 * S, keep: 180 * S };

proptest! {
    /// The plain oracle: the least number whose homes each have room for their part and what the group costs there.
    #[test]
    fn as_many_as_it_takes(load in 0.0..1e9, mean in 1.0..50_000.0, count in 5..4_096_u32, size in 1e6..8e6, used in 0.05..0.9) {
        let nodes = Nodes { count, size };
        let homes = needed(load, mean, nodes, used);
        let cost = (3.0_f64 * mean).min(used * size / 2.0);
        let fits = |homes: u32| load / f64::from(homes) + cost <= used * size * (1.0 + 1e-9);
        prop_assert!((5..=count).contains(&homes));
        prop_assert!(homes == count || fits(homes));
        prop_assert!(homes == 5 || !fits(homes - 1) || load / f64::from(homes - 1) + cost > used * size * (1.0 - 1e-9));
    }

    /// Whatever is told, and when: never below five, never more groups than stated, and no faster down than by half in a hold.
    #[test]
    fn homes_rise_at_once_and_fall_by_half_in_a_hold_at_most(
        steps in prop::collection::vec((0..200_i64, 0..12_u64, 0..3_000_u32), 1..300),
    ) {
        let mut homes = AffinitySubsets::new(&SETTINGS);
        let mut past: Vec<(Micros, BTreeMap<u64, u32>)> = Vec::new();
        let mut now = 0;
        for (wait, group, told) in steps {
            now += wait * S;
            let there = homes.of(group) > LEAST_HOMES || homes.all().count() < 8;
            homes.told(now, group, told);
            homes.settle(now);
            prop_assert!(!there || homes.of(group) >= told);
            prop_assert!(homes.all().count() <= 8);
            prop_assert!(homes.all().all(|(_, homes)| homes > LEAST_HOMES));
            let are: BTreeMap<u64, u32> = homes.all().collect();
            for (at, were) in past.iter().filter(|(at, _)| now - at < SETTINGS.hold) {
                for (group, were) in were {
                    let is = are.get(group).copied().unwrap_or(LEAST_HOMES);
                    prop_assert!(2 * is >= *were || is == LEAST_HOMES && *were <= 10, "{were} at {at}, {is} at {now}");
                }
            }
            past.push((now, are));
        }
    }
}

#[test]
fn without_sizes_five_and_never_fewer_or_more_than_nodes() {
    let nodes = |count, size| Nodes { count, size };
    assert_eq!(needed(1e12, 1.0, nodes(90, 0.0), 0.25), 5, "sizes are not listed");
    assert_eq!(needed(1e12, 1.0, nodes(0, 0.0), 0.25), 5);
    assert_eq!(needed(0.0, 0.0, nodes(90, 2e6), 0.25), 5);
    assert_eq!(needed(f64::NAN, 1.0, nodes(90, 2e6), 0.25), 5);
    assert_eq!(needed(f64::INFINITY, 1.0, nodes(90, 2e6), 0.25), 90);
    assert_eq!(needed(1e12, 1.0, nodes(3, 2e6), 0.25), 5);
}

#[test]
fn one_that_swings_keeps_the_most_of_a_hold() {
    let mut homes = AffinitySubsets::new(&SETTINGS);
    for second in 0..1_800 {
        homes.told(second * S, 1, if second % 7 == 0 { 40 } else { 36 });
        homes.settle(second * S);
        assert_eq!(homes.of(1), 40, "after {second} s");
    }
    // It shrinks to a third: half after a hold, the rest after the next.
    for (second, are) in [(1_801, 40), (2_300, 40), (2_402, 20), (2_900, 20), (3_003, 13)] {
        homes.told(second * S, 1, 13);
        homes.settle(second * S);
        assert_eq!(homes.of(1), are, "after {second} s");
    }
}

/// 100,000 names: those that came first have their room, the others are counted.
#[test]
fn a_flood_of_names_takes_no_more_room_than_stated() {
    let mut homes = AffinitySubsets::new(&SETTINGS);
    homes.told(0, 7, 9);
    (1_000..101_000).for_each(|name| assert_eq!(homes.told(S, name, 2_000), name < 1_007));
    assert_eq!((homes.of(7), homes.all().count()), (9, 8));
    assert_eq!(homes.dropped, 100_000 - 7);
}

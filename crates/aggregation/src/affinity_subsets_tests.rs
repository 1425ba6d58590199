use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const SETTINGS: AffinitySettings = AffinitySettings {
    max_groups: 4,
    target_utilization: 0.25,
    shrink_hold: 600 * SECOND,
    retention: 180 * SECOND,
};

proptest! {
    /// Reference model: the smallest number of endpoints at which each one has capacity for its share of the load plus the
    /// group's fixed cost.
    #[test]
    fn size_is_the_least_that_fits(
        load in 0.0..1e9,
        mean_load in 1.0..50_000.0,
        count in 5..4_096_u32,
        capacity in 1e6..8e6,
        target in 0.05..0.9,
    ) {
        let pool = EndpointPool { count, mean_capacity: capacity };
        let endpoints = required_size(load, mean_load, pool, target);
        let group_cost = (3.0_f64 * mean_load).min(target * capacity / 2.0);
        let fits = |endpoints: u32| load / f64::from(endpoints) + group_cost <= target * capacity * (1.0 + 1e-9);
        prop_assert!((5..=count).contains(&endpoints));
        prop_assert!(endpoints == count || fits(endpoints));
        prop_assert!(
            endpoints == 5
                || !fits(endpoints - 1)
                || load / f64::from(endpoints - 1) + group_cost > target * capacity * (1.0 - 1e-9)
        );
    }

    /// For any sequence of required sizes, no subset is smaller than five, the number of groups stays within the limit, and no
    /// subset shrinks by more than half within the hold time.
    #[test]
    fn grows_at_once_and_halves_at_most_per_hold(
        steps in prop::collection::vec((0..200_i64, 0..12_u64, 0..3_000_u32), 1..300),
    ) {
        let mut subsets = AffinitySubsets::new(&SETTINGS);
        let mut history: Vec<(Micros, BTreeMap<u64, u32>)> = Vec::new();
        let mut now = 0;
        for (wait_s, group, size) in steps {
            now += wait_s * SECOND;
            let has_space = subsets.size_of(group) > MIN_SUBSET_SIZE || subsets.iter().count() < 8;
            subsets.require(now, group, size);
            subsets.shrink(now);
            prop_assert!(!has_space || subsets.size_of(group) >= size);
            prop_assert!(subsets.iter().count() <= 8);
            prop_assert!(subsets.iter().all(|(_, size)| size > MIN_SUBSET_SIZE));
            let sizes: BTreeMap<u64, u32> = subsets.iter().collect();
            for (at, previous) in history.iter().filter(|(at, _)| now - at < SETTINGS.shrink_hold) {
                for (group, previous) in previous {
                    let current = sizes.get(group).copied().unwrap_or(MIN_SUBSET_SIZE);
                    prop_assert!(
                        2 * current >= *previous || current == MIN_SUBSET_SIZE && *previous <= 10,
                        "size {previous} at {at} us, {current} at {now} us"
                    );
                }
            }
            history.push((now, sizes));
        }
    }
}

#[test]
fn size_is_bounded_by_minimum_and_pool() {
    let pool = |count, capacity| EndpointPool { count, mean_capacity: capacity };
    assert_eq!(required_size(1e12, 1.0, pool(90, 0.0), 0.25), 5, "unknown capacities");
    assert_eq!(required_size(1e12, 1.0, pool(0, 0.0), 0.25), 5);
    assert_eq!(required_size(0.0, 0.0, pool(90, 2e6), 0.25), 5);
    assert_eq!(required_size(f64::NAN, 1.0, pool(90, 2e6), 0.25), 5);
    assert_eq!(required_size(f64::INFINITY, 1.0, pool(90, 2e6), 0.25), 90);
    assert_eq!(required_size(1e12, 1.0, pool(3, 2e6), 0.25), 5);
}

/// While the required size oscillates, the subset keeps the maximum. Once only smaller sizes are required, the subset halves
/// once per hold time.
#[test]
fn oscillating_size_keeps_its_maximum() {
    let mut subsets = AffinitySubsets::new(&SETTINGS);
    for now_s in 0..1_800 {
        subsets.require(now_s * SECOND, 1, if now_s % 7 == 0 { 40 } else { 36 });
        subsets.shrink(now_s * SECOND);
        assert_eq!(subsets.size_of(1), 40, "after {now_s} s");
    }
    // The subset shrinks to a third: to half after one hold time, and to the required size after the next.
    for (now_s, expected) in [(1_801, 40), (2_300, 40), (2_402, 20), (2_900, 20), (3_003, 13)] {
        subsets.require(now_s * SECOND, 1, 13);
        subsets.shrink(now_s * SECOND);
        assert_eq!(subsets.size_of(1), expected, "after {now_s} s");
    }
}

/// Of 100,000 group names, the first ones are stored up to the limit, and the others are counted as truncated.
#[test]
fn group_flood_is_bounded_and_counted() {
    let mut subsets = AffinitySubsets::new(&SETTINGS);
    subsets.require(0, 7, 9);
    (1_000..101_000).for_each(|name| assert_eq!(subsets.require(SECOND, name, 2_000), name < 1_007));
    assert_eq!((subsets.size_of(7), subsets.iter().count()), (9, 8));
    assert_eq!(subsets.truncated, 100_000 - 7);
}

use super::*;
use proptest::prelude::*;

proptest! {
    /// Reference model: a sort of all groups.
    #[test]
    fn keeps_heaviest_like_full_sort(
        loads in prop::collection::vec(0..50_u32, 0..200),
        max_groups in 1..40_usize,
        min_load in 0..20_u32,
    ) {
        let groups: Vec<GroupLoad> = (loads.iter().enumerate())
            .map(|(group, load)| GroupLoad { group: group as u64, connections: 1, load: f64::from(*load) })
            .collect();
        let mut expected: Vec<GroupLoad> =
            groups.iter().copied().filter(|group| group.load >= f64::from(min_load)).collect();
        expected.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.group.cmp(&b.group)));
        let truncated = expected.len().saturating_sub(max_groups);
        expected.truncate(max_groups);
        prop_assert_eq!(heaviest(groups, max_groups, f64::from(min_load)), (expected, truncated));
    }
}

#[test]
fn drops_groups_without_finite_load() {
    let group = |load| GroupLoad { group: 1, connections: 1, load };
    assert_eq!(heaviest(vec![group(f64::NAN), group(f64::INFINITY)], 4, 0.0), (vec![], 0));
}

use super::*;
use proptest::prelude::*;

#[test]
fn colliding_names_are_left_out() {
    // Among 20,000 names, about 12 pairs have the same 24-bit digest.
    let names: Vec<String> = (0..20_000).map(|n| format!("s-{n}")).collect();
    let mut digests: Vec<_> = names.iter().map(|name| (EndpointDigest::of(name), name)).collect();
    digests.sort();
    let pair = digests.windows(2).find(|two| two[0].0 == two[1].0).expect("a pair");
    let directory = Directory::new([pair[0].1.as_str(), pair[1].1, "another", "another"]);
    assert_eq!(directory.digest(pair[0].1), None);
    assert_eq!(directory.name(pair[1].0), None);
    assert_eq!(directory.name(directory.digest("another").unwrap()), Some("another"));
    assert_eq!(directory.digest("stranger"), None);
}

proptest! {
    #[test]
    fn loads_round_trip_in_order(one in 0u64..4_000_000_000_000, other in 0u64..4_000_000_000_000) {
        let load = Load::from_micros_per_s(one);
        prop_assert!(load.micros_per_s().abs_diff(one) <= one / 4096, "{} encoded as {}", one, load.micros_per_s());
        prop_assert_eq!(Load::from_micros_per_s(load.micros_per_s()), load);
        prop_assert!(one > other || load <= Load::from_micros_per_s(other));
    }
}

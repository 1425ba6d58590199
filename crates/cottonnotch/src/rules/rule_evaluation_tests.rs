use super::*;

#[test]
fn shares_add_up_to_the_total() {
    for proxies in [1, 2, 3, 7, 300] {
        for total in [0, 1, 2, 299, 300, 1_000] {
            let shares = (0..proxies).map(|ordinal| share_of_total(total, proxies, ordinal));
            assert_eq!(shares.sum::<u64>(), total, "{total} among {proxies}");
        }
    }
    assert_eq!(share_of_total(5, 0, 0), 5);
}

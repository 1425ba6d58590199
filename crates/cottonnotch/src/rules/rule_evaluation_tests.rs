use super::*;

#[test]
fn parts_of_a_number_are_the_number() {
    for proxies in [1, 2, 3, 7, 300] {
        for whole in [0, 1, 2, 299, 300, 1_000] {
            let parts = (0..proxies).map(|me| share(whole, proxies, me));
            assert_eq!(parts.sum::<u64>(), whole, "{whole} among {proxies}");
        }
    }
    assert_eq!(share(5, 0, 0), 5);
}

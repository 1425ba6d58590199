use super::*;
use std::time::Duration;

#[test]
fn never_goes_back() {
    let first = Clock.now();
    std::thread::sleep(Duration::from_millis(5));
    let second = Clock.now();
    assert!((5_000..5_000_000).contains(&(second - first)), "{first} {second}");
}

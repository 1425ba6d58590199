use super::*;
use std::time::Duration;

#[test]
fn it_goes_on_and_never_back() {
    let first = Clock.now();
    std::thread::sleep(Duration::from_millis(5));
    let second = Clock.now();
    assert!((5_000..5_000_000).contains(&(second - first)), "{first} {second}");
}

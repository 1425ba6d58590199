//! Tests of the limit on PINGs.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test panics")]

use super::{MAX_PINGS, PingLimit, WINDOW};

/// The limit holds within a window, and a new window admits as many again.
#[test]
fn admits_limited_number_in_each_window() {
    let mut limit = PingLimit::default();
    assert!(!limit.any());
    for window in 0..3 {
        let started = 5 + window * WINDOW;
        for _ in 0..MAX_PINGS {
            assert!(limit.admit(started));
        }
        assert!(!limit.admit(started + WINDOW - 1));
    }
    assert!(limit.any());
}

/// A health check that sends a PING every 100 ms is admitted for ever.
#[test]
fn admits_steady_health_check() {
    let mut limit = PingLimit::default();
    assert!((0..10_000).all(|number| limit.admit(number * 100_000)));
}

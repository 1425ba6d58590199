//! Scenarios of several daemon processes that agree on rules, over a network with faults.
//!
//! Each scenario starts real processes, with a relay between each two of them (`link`), stand-ins of discovery, render nodes and
//! clients (`standin`), and is judged from outside (`judge`): by what arrived where and when, and by what each client heard.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]
#![allow(dead_code, reason = "each scenario uses a part of the rig")]

mod cluster;
mod judge;
mod link;
mod model_member;
mod proxy;
mod rules;
mod scenarios;
mod stand_ins;
mod storm;

use std::time::{Duration, Instant};

/// The longest that a scenario waits for anything.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Waits until `look` finds something; fails the test if it doesn't within `time`.
fn wait_for<T>(time: Duration, what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + time;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

//! Stories of several processes of the program that agree on rules, over a network with faults.
//!
//! Each story starts real processes, with a relay between each two of them (`link`), stand-ins of discovery, render nodes and
//! clients (`standin`), and is judged from outside (`judge`): by what arrived where and when, and by what each client heard.
#![allow(dead_code, reason = "a rig that stories use in parts")]

mod judge;
mod link;
mod played;
mod proxy;
mod rules;
mod standin;
mod stories;
mod storm;
mod tier;

use std::time::{Duration, Instant};

/// No story waits longer for anything.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until `look` finds something; fails the story if it never does.
fn within<T>(time: Duration, what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + time;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

//! The test rig: a proxy process, and peers that a test scripts line by line. Ports are ephemeral and every wait is bounded.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod full_backlog;
mod messages;
mod process;
mod proxy;
mod scripted;
pub mod shims;

pub use messages::*;
pub use process::*;
pub use proxy::Proxy;
pub use scripted::*;
use std::time::{Duration, Instant};

/// No test waits longer for anything.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `look` finds something; fails the test if it never does.
pub fn wait_for<T>(time: Duration, what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + time;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

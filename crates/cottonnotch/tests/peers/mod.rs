//! The test rig: a proxy process, and peers that a test scripts line by line. Ports are ephemeral and every wait is bounded.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod flood;
pub mod full_backlog;
mod messages;
mod process;
mod proxy;
mod scripted;
pub mod shims;

pub use flood::Flood;
pub use messages::*;
pub use process::*;
pub use proxy::Proxy;
pub use scripted::*;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// No test waits longer for anything.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// The environment variable with the path of an earlier build of the program.
const EARLIER_BUILD: &str = "COTTONNOTCH_EARLIER_BUILD";

/// An earlier build, for tests of two builds side by side; says so where there is none.
pub fn earlier_build() -> Option<PathBuf> {
    let build = std::env::var_os(EARLIER_BUILD).map(PathBuf::from);
    if build.is_none() {
        println!("skipped: {EARLIER_BUILD} names no earlier build");
    }
    build
}

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

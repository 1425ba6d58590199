//! Invariants that are asserted in debug builds. In release builds a violation is counted and logged, because a
//! proxy that continues serves its clients better than one that has crashed.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Counts a violated invariant; returns the number of violations so far.
pub fn count_violation() -> u64 {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed) + 1
}

/// `invariant!(condition, "what must hold")` asserts the condition, or counts and logs its violation, and evaluates
/// to the value of the condition.
macro_rules! invariant {
    ($condition:expr, $what:literal) => {{
        let holds: bool = $condition;
        debug_assert!(holds, "invariant broken: {}", $what);
        if !holds {
            let count = $crate::net::invariant::count_violation();
            log::error!(invariant = $what, count; "invariant broken ({count} so far): {}", $what);
        }
        holds
    }};
}
pub(crate) use invariant;

//! Invariants: asserted in debug builds, counted and logged in release builds, where a proxy that carries on serves its
//! clients better than one that has crashed.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Counts a broken invariant; returns how many there have been.
pub fn count() -> u64 {
    BROKEN.fetch_add(1, Ordering::Relaxed) + 1
}

/// `invariant!(condition, "what must hold")`: the value of the condition, after asserting or counting it.
macro_rules! invariant {
    ($condition:expr, $what:literal) => {{
        let holds: bool = $condition;
        debug_assert!(holds, "invariant broken: {}", $what);
        if !holds {
            let count = $crate::net::invariant::count();
            log::error!(invariant = $what, count; "invariant broken ({count} so far): {}", $what);
        }
        holds
    }};
}
pub(crate) use invariant;

//! The wall clock, stepped. The monotonic clocks are never touched.

use crate::control::{count, value};
use crate::real::real;
use cottonnotch_shim_control::Setting;
use libc::{c_int, clockid_t, timespec};

real!(clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int);

const NANOSECONDS: i64 = 1_000_000_000;

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: as the caller promises.
    let result = unsafe { clock_gettime::call(clock, time) };
    let offset = value(Setting::WallOffset);
    let is_wall = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if result == 0 && is_wall && offset != 0 {
        count(Setting::WallOffset);
        // SAFETY: the call went well, so there is a time there.
        let time = unsafe { &mut *time };
        let all = time.tv_sec * NANOSECONDS + time.tv_nsec + offset * 1000;
        (time.tv_sec, time.tv_nsec) = (all.div_euclid(NANOSECONDS), all.rem_euclid(NANOSECONDS));
    }
    result
}

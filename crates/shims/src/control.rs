//! The control file, mapped into this process.

use cottonnotch_shim_control::{CONTROL_VARIABLE, COUNTS, FOLDER_VARIABLE, Setting, WORDS};
use libc::{c_char, c_int};
use std::ffi::{CStr, CString};
use std::ptr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// Descriptors that are told apart; higher ones are left alone.
const DESCRIPTORS: usize = 1 << 16;

/// What a descriptor is to the shims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Left alone.
    Other = 0,
    /// A stream or a pair of sockets.
    Socket = 1,
    /// A file in the folder whose files may fail.
    File = 2,
}

static KINDS: [AtomicU8; DESCRIPTORS] = [const { AtomicU8::new(0) }; DESCRIPTORS];
static CHANCE: AtomicU64 = AtomicU64::new(0);

/// Notes what a descriptor is.
pub fn note(descriptor: c_int, kind: Kind) {
    if let Some(place) = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index)) {
        place.store(kind as u8, Ordering::Relaxed);
    }
}

/// Whether a descriptor is of that kind.
pub fn is(descriptor: c_int, kind: Kind) -> bool {
    let place = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index));
    place.is_some_and(|place| place.load(Ordering::Relaxed) == kind as u8)
}

fn words() -> Option<&'static [AtomicI64]> {
    static MAPPED: OnceLock<Option<&'static [AtomicI64]>> = OnceLock::new();
    *MAPPED.get_or_init(map)
}

fn variable(name: &str) -> Option<&'static CStr> {
    let name = CString::new(name).ok()?;
    // SAFETY: the environment isn't changed in a process under test; the text lives as long as that.
    unsafe {
        let value = libc::getenv(name.as_ptr());
        (!value.is_null()).then(|| CStr::from_ptr(value))
    }
}

fn map() -> Option<&'static [AtomicI64]> {
    let path = variable(CONTROL_VARIABLE)?;
    // SAFETY: plain system calls, past this library's own stand-ins. The mapping is shared, of the file's whole length, and never
    // unmapped; words are only touched as atomics.
    unsafe {
        let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR) as c_int;
        if file < 0 {
            return None;
        }
        let length = 8 * WORDS;
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let start = libc::mmap(ptr::null_mut(), length, access, libc::MAP_SHARED, file, 0);
        libc::syscall(libc::SYS_close, file);
        (start != libc::MAP_FAILED).then(|| std::slice::from_raw_parts(start.cast::<AtomicI64>(), WORDS))
    }
}

/// The value that is set now.
pub fn value(setting: Setting) -> i64 {
    words().map_or(0, |words| words[setting.word()].load(Ordering::Relaxed))
}

/// Sleeps for the milliseconds that are set, and sets them back to 0; counted.
pub fn delay_once(setting: Setting) {
    let delay = words().map_or(0, |words| words[setting.word()].swap(0, Ordering::Relaxed));
    if delay > 0 {
        count(setting);
        std::thread::sleep(Duration::from_millis(delay as u64));
    }
}

/// Counts that a setting had an effect; returns how often it had before.
pub fn count(setting: Setting) -> i64 {
    words().map_or(0, |words| words[COUNTS + setting.word()].fetch_add(1, Ordering::Relaxed))
}

/// A number that looks random.
pub fn chance() -> u64 {
    let step = CHANCE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mut z = step ^ (u64::from(std::process::id()) << 32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Whether this call is one of those that the rate picks; counted if so.
pub fn picked(setting: Setting) -> bool {
    let rate = value(setting);
    let is_picked = rate > 0 && chance() % 1000 < rate as u64;
    if is_picked {
        count(setting);
    }
    is_picked
}

/// One of these in turn, if the rate picks this call.
pub fn failure(setting: Setting, errors: &[c_int]) -> Option<c_int> {
    let rate = value(setting);
    if rate <= 0 || chance() % 1000 >= rate as u64 {
        return None;
    }
    errors.get(count(setting) as usize % errors.len()).copied()
}

/// The error that is set for files, if any; counted if so. The call is delayed first, if that is set.
pub fn file_failure(setting: Setting) -> Option<c_int> {
    let delay = value(Setting::FileDelay);
    if delay > 0 {
        count(Setting::FileDelay);
        std::thread::sleep(Duration::from_millis(delay as u64));
    }
    let error = value(setting);
    (error > 0).then(|| {
        count(setting);
        error as c_int
    })
}

/// Fails the call with this error.
pub fn fail(error: c_int) {
    // SAFETY: the C library's own place for this thread's error.
    unsafe { *libc::__errno_location() = error };
}

/// A path lies in the folder whose files may fail.
///
/// # Safety
///
/// `path` is a text that ends with a zero, as for the C library's own calls.
pub unsafe fn is_in_folder(path: *const c_char) -> bool {
    static FOLDER: OnceLock<Option<&'static CStr>> = OnceLock::new();
    let Some(folder) = FOLDER.get_or_init(|| variable(FOLDER_VARIABLE)) else { return false };
    // SAFETY: as the caller promises.
    !path.is_null() && unsafe { CStr::from_ptr(path) }.to_bytes().starts_with(folder.to_bytes())
}

//! Files of one folder: creating, writing, syncing, renaming and reading them may fail. `read` and `write` serve sockets, too.

use crate::control::{Kind, fail, file_failure, is, is_in_folder, note};
use crate::real::real;
use crate::sockets::{is_broken, is_interrupted, part};
use cottonnotch_shim_control::Setting;
use libc::{DIR, c_char, c_int, c_void, mode_t, off64_t, size_t, ssize_t};

real!(open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
real!(opendir(path: *const c_char) -> *mut DIR);
real!(rename(from: *const c_char, to: *const c_char) -> c_int);
real!(read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t);
real!(write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t);
real!(pwrite64(descriptor: c_int, buffer: *const c_void, length: size_t, at: off64_t) -> ssize_t);
real!(pread64(descriptor: c_int, buffer: *mut c_void, length: size_t, at: off64_t) -> ssize_t);
real!(fsync(descriptor: c_int) -> c_int);
real!(fdatasync(descriptor: c_int) -> c_int);

/// The error with which a call on a file of the folder fails now.
fn failing(descriptor: c_int, setting: Setting) -> Option<c_int> {
    is(descriptor, Kind::File).then(|| file_failure(setting)).flatten()
}

/// Stands in front of the C library's call, whose third argument counts only where a file may be created.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: as the caller promises.
    let is_watched = unsafe { is_in_folder(path) };
    let setting = if flags & libc::O_CREAT == 0 { Setting::FileRead } else { Setting::FileWrite };
    if is_watched && let Some(error) = file_failure(setting) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    let opened = unsafe { open64::call(path, flags, mode) };
    note(opened, if is_watched { Kind::File } else { Kind::Other });
    opened
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn opendir(path: *const c_char) -> *mut DIR {
    // SAFETY: as the caller promises.
    let is_watched = unsafe { is_in_folder(path) };
    if is_watched && let Some(error) = file_failure(Setting::FileRead) {
        fail(error);
        return std::ptr::null_mut();
    }
    // SAFETY: as the caller promises.
    unsafe { opendir::call(path) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: as the caller promises.
    let is_watched = unsafe { is_in_folder(to) };
    if is_watched && let Some(error) = file_failure(Setting::FileWrite) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { rename::call(from, to) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if let Some(error) = failing(descriptor, Setting::FileRead) {
        fail(error);
        return -1;
    }
    if !is(descriptor, Kind::Socket) {
        // SAFETY: as the caller promises.
        return unsafe { read::call(descriptor, buffer, length) };
    }
    if is_interrupted() || is_broken(descriptor) {
        return -1;
    }
    // SAFETY: as the caller promises; a shorter length is inside the buffer.
    unsafe { read::call(descriptor, buffer, part(length)) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if let Some(error) = failing(descriptor, Setting::FileWrite) {
        fail(error);
        return -1;
    }
    if !is(descriptor, Kind::Socket) {
        // SAFETY: as the caller promises.
        return unsafe { write::call(descriptor, buffer, length) };
    }
    if is_interrupted() {
        return -1;
    }
    // SAFETY: as the caller promises; a shorter length is inside the buffer.
    unsafe { write::call(descriptor, buffer, part(length)) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    at: off64_t,
) -> ssize_t {
    if let Some(error) = failing(descriptor, Setting::FileWrite) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { pwrite64::call(descriptor, buffer, length, at) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pread64(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    at: off64_t,
) -> ssize_t {
    if let Some(error) = failing(descriptor, Setting::FileRead) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { pread64::call(descriptor, buffer, length, at) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if let Some(error) = failing(descriptor, Setting::FileSync) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { fsync::call(descriptor) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if let Some(error) = failing(descriptor, Setting::FileSync) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { fdatasync::call(descriptor) }
}

//! Calls on sockets: some fail, some are interrupted, some do only a part.

use crate::control::{Kind, chance, delay_once, fail, failure, is, note, picked};
use crate::real::real;
use cottonnotch_shim_control::Setting;
use libc::{c_int, c_void, epoll_event, size_t, sockaddr, socklen_t, ssize_t};

real!(accept4(socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
real!(socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);
real!(socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int);
real!(connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
real!(setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t) -> c_int);
real!(epoll_wait(poll: c_int, events: *mut epoll_event, most: c_int, timeout: c_int) -> c_int);
real!(epoll_ctl(poll: c_int, what: c_int, descriptor: c_int, event: *mut epoll_event) -> c_int);
real!(recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t);
real!(send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t);
real!(close(descriptor: c_int) -> c_int);

/// The first byte of a socket's kind, without its flags.
const KIND_BITS: c_int = 0xf;

/// What is left of a length for a call that does only a part.
pub fn part(length: size_t) -> size_t {
    if length > 1 && picked(Setting::Short) { 1 + chance() as usize % (length - 1) } else { length }
}

/// Fails a call on a socket now and then; true if it is to fail.
pub fn is_interrupted() -> bool {
    let interrupted = picked(Setting::Interrupt);
    if interrupted {
        fail(libc::EINTR);
    }
    interrupted
}

/// Breaks a connection now and then, for good; true if it was.
pub fn is_broken(descriptor: c_int) -> bool {
    let Some(error) = failure(Setting::Broken, &[libc::ETIMEDOUT, libc::EHOSTUNREACH]) else { return false };
    // What reads next must find it ended, as on a socket that is really broken.
    // SAFETY: a plain call on this process's own descriptor.
    unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
    fail(error);
    true
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let errors = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINTR, libc::EMFILE];
    if let Some(error) = failure(Setting::Accept, &errors) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    let accepted = unsafe { accept4::call(socket, address, length, flags) };
    note(accepted, Kind::Socket);
    accepted
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_stream = kind & KIND_BITS == libc::SOCK_STREAM;
    let errors = [libc::ENFILE, libc::ENOBUFS, libc::EMFILE, libc::ENOMEM];
    if is_stream && let Some(error) = failure(Setting::Socket, &errors) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    let made = unsafe { socket::call(domain, kind, protocol) };
    note(made, if is_stream { Kind::Socket } else { Kind::Other });
    made
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    // SAFETY: as the caller promises.
    let result = unsafe { socketpair::call(domain, kind, protocol, pair) };
    if result == 0 {
        // SAFETY: the call went well, so there are two.
        unsafe {
            note(*pair, Kind::Socket);
            note(*pair.add(1), Kind::Socket);
        }
    }
    result
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let errors = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN];
    if is(socket, Kind::Socket)
        && let Some(error) = failure(Setting::Connect, &errors)
    {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { connect::call(socket, address, length) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    socket: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Some(error) = failure(Setting::SocketOption, &[libc::ENOBUFS]) {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { setsockopt::call(socket, level, name, value, length) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if picked(Setting::Wait) {
        fail(libc::EINTR);
        return -1;
    }
    // SAFETY: as the caller promises.
    let found = unsafe { epoll_wait::call(poll, events, most, timeout) };
    if found > 0 {
        delay_once(Setting::WaitDelay);
    }
    found
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    what: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    if what == libc::EPOLL_CTL_ADD
        && is(descriptor, Kind::Socket)
        && let Some(error) = failure(Setting::Register, &[libc::ENOMEM])
    {
        fail(error);
        return -1;
    }
    // SAFETY: as the caller promises.
    unsafe { epoll_ctl::call(poll, what, descriptor, event) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if !is(socket, Kind::Socket) {
        // SAFETY: as the caller promises.
        return unsafe { recv::call(socket, buffer, length, flags) };
    }
    if is_interrupted() || is_broken(socket) {
        return -1;
    }
    // SAFETY: as the caller promises; a shorter length is inside the buffer.
    unsafe { recv::call(socket, buffer, part(length), flags) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if !is(socket, Kind::Socket) {
        // SAFETY: as the caller promises.
        return unsafe { send::call(socket, buffer, length, flags) };
    }
    if is_interrupted() {
        return -1;
    }
    // SAFETY: as the caller promises; a shorter length is inside the buffer.
    unsafe { send::call(socket, buffer, part(length), flags) }
}

/// Stands in front of the C library's call.
///
/// # Safety
///
/// As the C library's call.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    note(descriptor, Kind::Other);
    // SAFETY: as the caller promises.
    unsafe { close::call(descriptor) }
}

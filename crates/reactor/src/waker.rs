//! Wakes the event loop from another thread through a socket pair.

use crate::reactor::{Connection, Half, Io, Key, Report};
use mio::net::UnixStream;
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The thread's end: wakes the loop, which then sends its owner a report.
#[derive(Debug)]
pub struct Waker {
    socket: std::os::unix::net::UnixStream,
    is_pending: Arc<AtomicBool>,
}

impl Waker {
    /// Wakes the loop, unless an earlier wake-up has not been reported yet.
    pub fn wake(&self) {
        while !self.is_pending.swap(true, Ordering::AcqRel) {
            match (&self.socket).write(&[1]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                    self.is_pending.store(false, Ordering::Release);
                }
                // Fails if the loop has ended, and then nobody is to be woken.
                _ => return,
            }
        }
    }
}

/// The loop's end of a [`Waker`].
#[derive(Debug)]
pub struct WakerSource<R> {
    socket: UnixStream,
    is_pending: Arc<AtomicBool>,
    report: fn() -> R,
    key: Key,
}

impl<R: Report> WakerSource<R> {
    /// Registers the loop's end, and returns it with the end for the thread. Fails if the system cannot create or register a
    /// socket pair.
    pub fn register(report: fn() -> R, key: Key, io: &mut Io<R>) -> io::Result<(Self, Waker)> {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        let mut socket = UnixStream::from_std(read);
        io.register_reader(&mut socket, key)?;
        let is_pending = Arc::new(AtomicBool::new(false));
        let source = WakerSource { socket, is_pending: Arc::clone(&is_pending), report, key };
        Ok((source, Waker { socket: write, is_pending }))
    }
}

impl<R: Report> Connection for WakerSource<R> {
    type Report = R;

    fn readable(&mut self, io: &mut Io<R>, half: Half) {
        // At most one byte is unread, since a wake-up is written only once the one before has been reported.
        match self.socket.read(&mut [0; 8]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return io.call_again(self.key, half),
            Err(_) => return,
            Ok(_) => {}
        }
        // In this order, what the thread does after the wake-up causes another one.
        self.is_pending.store(false, Ordering::Release);
        io.report((self.report)());
    }

    fn writable(&mut self, _: &mut Io<R>, _: Half) {}

    fn timer(&mut self, _: &mut Io<R>, _: u32) {}

    fn done(&self) -> bool {
        false
    }
}

//! How the end of a connection is reported, whether a write, a read or a later read detects it first.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::{Clock, Connection, Half, Io, Key, Reactor, Report};
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

struct NoReport;

impl Report for NoReport {
    fn timer(_: u32) -> Self {
        NoReport
    }
}

/// Registers a stream with the loop. Its callbacks do nothing, since the tests read and write directly.
struct StreamHolder(LineStream);

impl Connection for StreamHolder {
    type Report = NoReport;
    fn readable(&mut self, _: &mut Io<NoReport>, _: Half) {}
    fn writable(&mut self, _: &mut Io<NoReport>, _: Half) {}
    fn timer(&mut self, _: &mut Io<NoReport>, _: u32) {}
    fn done(&self) -> bool {
        false
    }
}

/// Polls until a value is found. Fails the test after 10 s.
fn poll_until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
    }
}

/// Runs a test with a connected stream and its peer.
fn with_connection(test: impl FnOnce(&mut LineStream, TcpStream)) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut reactor = Reactor::<StreamHolder>::new(Clock::unix()).unwrap();
    let connect = |key: Key, io: &mut Io<NoReport>| {
        Ok(Box::new(StreamHolder(LineStream::connect(address, io, key, Half::Near)?)))
    };
    let key = reactor.insert(connect).unwrap();
    let (peer, _) = listener.accept().unwrap();
    reactor.with(key, |StreamHolder(stream), _| test(stream, peer)).unwrap();
}

fn reset(peer: &TcpStream) {
    socket2::SockRef::from(peer).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Writes until a write fails, and returns the error's kind.
fn write_until_error(stream: &mut LineStream) -> ErrorKind {
    poll_until("a write that fails", || {
        stream.push(b"M 1 a\r\n");
        stream.flush().err().map(|error| error.kind())
    })
}

fn broken_kind(fill: Fill) -> Option<ErrorKind> {
    match fill {
        Fill::Broken(error) => Some(error.kind()),
        _ => None,
    }
}

#[test]
fn a_reset_is_reported_on_each_read() {
    with_connection(|stream, mut peer| {
        peer.write_all(b"UP 1\r\n").unwrap();
        reset(&peer);
        drop(peer);
        let first = poll_until("the reset", || broken_kind(stream.fill()));
        assert_eq!(stream.take_line().unwrap().unwrap(), b"UP 1\r\n");
        assert_eq!(
            (first, broken_kind(stream.fill())),
            (ErrorKind::ConnectionReset, Some(ErrorKind::ConnectionReset))
        );
    });
}

#[test]
fn a_reset_seen_by_a_write_is_read_after_the_data() {
    with_connection(|stream, mut peer| {
        peer.write_all(b"LOAD 2\r\n").unwrap();
        reset(&peer);
        drop(peer);
        assert_eq!(write_until_error(stream), ErrorKind::ConnectionReset);
        assert_eq!(broken_kind(stream.fill()), Some(ErrorKind::ConnectionReset));
        assert_eq!(stream.take_line().unwrap().unwrap(), b"LOAD 2\r\n");
    });
}

#[test]
fn an_orderly_end_survives_failed_writes() {
    with_connection(|stream, mut peer| {
        peer.write_all(b"BYE\r\n").unwrap();
        drop(peer);
        // The peer's operating system answers data for a closed socket with a reset.
        assert_eq!(write_until_error(stream), ErrorKind::BrokenPipe);
        assert!(matches!(stream.fill(), Fill::Ended));
        assert_eq!(stream.take_line().unwrap().unwrap(), b"BYE\r\n");
    });
}

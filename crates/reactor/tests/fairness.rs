//! How often the loop calls an object that has more to read.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test panics")]

use cottonnotch_reactor::{Clock, Connection, Half, Io, Key, Reactor, Report};
use mio::net::UnixStream;
use std::io::Write;

struct NoReport;

impl Report for NoReport {
    fn timer(_: u32) -> Self {
        NoReport
    }
}

/// An object that is never done reading, and counts its calls.
struct Greedy {
    _socket: UnixStream,
    key: Key,
    calls: usize,
}

impl Connection for Greedy {
    type Report = NoReport;
    fn readable(&mut self, io: &mut Io<NoReport>, half: Half) {
        self.calls += 1;
        io.call_again(self.key, half);
    }
    fn writable(&mut self, _: &mut Io<NoReport>, _: Half) {}
    fn timer(&mut self, _: &mut Io<NoReport>, _: u32) {}
    fn done(&self) -> bool {
        false
    }
}

/// A peer that keeps sending once caused one more call in every round: each event added another pending read.
#[test]
fn calls_busy_object_twice_a_round_at_most() {
    const ROUNDS: usize = 50;
    let mut reactor = Reactor::<Greedy>::new(Clock::unix()).unwrap();
    let (mut socket, mut peer) = UnixStream::pair().unwrap();
    let key = reactor
        .insert(|key, io| {
            io.register(&mut socket, key, Half::Near)?;
            Ok(Box::new(Greedy { _socket: socket, key, calls: 0 }))
        })
        .unwrap();
    for _ in 0..ROUNDS {
        // Each write makes the socket readable anew.
        peer.write_all(b"x").unwrap();
        reactor.turn().unwrap();
    }
    let calls = reactor.with(key, |greedy, _| greedy.calls).unwrap();
    assert!((ROUNDS..=2 * ROUNDS).contains(&calls), "{calls} calls in {ROUNDS} rounds");
}

//! A request and its time limit in one round of the event loop.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test panics")]

use super::{AdminConnection, REQUEST_TIMEOUT};
use crate::net::management::admin_request::AdminRequest;
use crate::net::network_event::{Io, NetworkEvent};
use crate::net::object::Object;
use cottonnotch_reactor::{Clock, Connection, Half, Reactor};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// An object whose callback lasts until an operator's time limit is over, as if the process stood still; meanwhile the rest of
/// the operator's request arrives.
struct Suspension {
    operator: TcpStream,
    _source: mio::net::UnixStream,
}

impl Connection for Suspension {
    type Report = NetworkEvent;
    fn readable(&mut self, _: &mut Io, _: Half) {
        self.operator.write_all(b"\r\n").unwrap();
        std::thread::sleep(Duration::from_micros(REQUEST_TIMEOUT as u64 + 50_000));
    }
    fn writable(&mut self, _: &mut Io, _: Half) {}
    fn timer(&mut self, _: &mut Io, _: u32) {}
    fn done(&self) -> bool {
        false
    }
}

impl Object for Suspension {}

/// A request that was complete before the process stood still over its time limit was once answered as late.
#[test]
fn request_that_arrived_in_time_is_not_late() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut operator = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    accepted.set_nonblocking(true).unwrap();
    let mut reactor = Reactor::<dyn Object>::new(Clock::unix()).unwrap();
    reactor
        .insert(|key, io| {
            let accepted = mio::net::TcpStream::from_std(accepted);
            Ok(Box::new(AdminConnection::accepted(accepted, key, io)?))
        })
        .unwrap();
    operator.write_all(b"GET /status HTTP/1.1\r\nHost: x\r\n").unwrap();
    reactor.turn().unwrap();
    assert!(reactor.io.reports.is_empty());
    let (mut wake, source) = std::os::unix::net::UnixStream::pair().unwrap();
    source.set_nonblocking(true).unwrap();
    let mut source = mio::net::UnixStream::from_std(source);
    reactor
        .insert(|key, io| {
            io.register_reader(&mut source, key)?;
            Ok(Box::new(Suspension { operator, _source: source }))
        })
        .unwrap();
    wake.write_all(b"x").unwrap();
    for _ in 0..3 {
        reactor.io.owner_timer(0, 0);
        reactor.turn().unwrap();
    }
    reactor.io.reports.retain(|report| !matches!(report, NetworkEvent::Timer(_)));
    let reported = reactor.io.reports.pop_front();
    assert!(matches!(reported, Some(NetworkEvent::AdminRequested(_, AdminRequest::Status))), "{reported:?}");
}

//! Rejecting new connections at a listener that is about to be closed, without resetting pending ones.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_reactor::listener::reject_new_connections;
use mio::net::TcpListener;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn rejects_new_connections_and_accepts_pending_ones() {
    let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let mut pending = TcpStream::connect(address).unwrap();
    reject_new_connections(&listener).unwrap();
    let rejected = TcpStream::connect_timeout(&address, Duration::from_millis(300));
    assert_eq!(
        rejected.unwrap_err().kind(),
        ErrorKind::TimedOut,
        "the SYN is dropped and the connection is not reset"
    );
    let (mut accepted, _) =
        listener.accept().expect("the connection was established before new ones were rejected");
    assert_eq!(
        listener.accept().unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "no other connection is pending"
    );
    drop(listener);
    pending.write_all(b"hello").unwrap();
    let mut received = [0; 5];
    while let Err(error) = accepted.read(&mut received) {
        assert_eq!(error.kind(), ErrorKind::WouldBlock);
    }
    assert_eq!(&received, b"hello", "an accepted connection survives the close of the listener");
}

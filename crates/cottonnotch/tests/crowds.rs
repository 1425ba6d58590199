//! Crowds of clients that take the descriptors without asking for anything. Their time limits are tight, so these tests have a
//! program of their own.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test panics, and reads from top to bottom")]

mod peers;
use peers::*;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Descriptors of the proxy, the fewest that its operators give it.
const DESCRIPTORS: u32 = 256;
/// Connections that are up, which take a third of the descriptors.
const STANDING: usize = 40;
/// Clients of a crowd.
const CROWD: usize = 800;
/// Requests behind a crowd, and the time between two of them.
const REQUESTS: u32 = 20;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The time of a request, and how long after it the final answer may come: half a second, 50 ms for sockets, and 150 ms for which
/// the process may be held up.
const REQUEST_TIME: Duration = Duration::from_millis(200);
const ANSWER_GRACE: Duration = Duration::from_millis(700);

/// Connections that are up at this render node, and its ends of them.
fn stand(proxy: &Proxy, node: &ScriptedServer) -> Vec<(ScriptedPeer, ScriptedPeer)> {
    (0..STANDING).map(|_| proxy.establish(node)).collect()
}

/// A request from its line to its final answer, which may be a refusal.
fn answered_after(address: SocketAddr) -> Duration {
    let begun = Instant::now();
    let mut client = ScriptedPeer::new(TcpStream::connect(address).unwrap());
    client.send(&with_fresh_id(OPEN).replace("d=2000", &format!("d={}", REQUEST_TIME.as_millis())));
    assert!(!client.receive().is_empty(), "closed without an answer");
    begun.elapsed()
}

/// Sends requests behind a crowd, to a render node that never answers, and checks that each is answered in its time.
fn assert_answered_in_time(proxy: &Proxy) {
    let address = proxy.address();
    let longest = std::thread::scope(|scope| {
        let requests: Vec<_> = (0..REQUESTS)
            .map(|_| {
                std::thread::sleep(REQUEST_INTERVAL);
                scope.spawn(move || answered_after(address))
            })
            .collect();
        requests.into_iter().map(|request| request.join().unwrap()).max().unwrap()
    });
    assert!(longest < REQUEST_TIME + ANSWER_GRACE, "the longest took {longest:?}");
}

/// A crowd filled the descriptors for 1.5 s, and the time of the requests behind it was only counted from when they were read.
#[test]
fn answers_requests_behind_silent_crowd_in_time() {
    for words in ["", "OPEN 9b1f03aa5c7e2d41 7f3a"] {
        let node = ScriptedServer::new();
        let proxy = Proxy::with(&[&node], DESCRIPTORS, SETTINGS);
        let _standing = stand(&proxy, &node);
        let mut crowd: Vec<ScriptedPeer> = (0..CROWD).map(|_| proxy.connect()).collect();
        // Those that were evicted already have been told.
        crowd.iter_mut().for_each(|client| drop(client.try_send(words)));
        assert_answered_in_time(&proxy);
    }
}

/// The crowd comes again as soon as it is evicted: the backlog is never empty.
#[test]
fn answers_requests_behind_returning_crowd_in_time() {
    const THREADS: usize = 8;
    let node = ScriptedServer::new();
    let proxy = Proxy::with(&[&node], DESCRIPTORS, SETTINGS);
    let _standing = stand(&proxy, &node);
    let (address, begun) = (proxy.address(), Instant::now());
    let return_until_over = || {
        let mut crowd: Vec<ScriptedPeer> = (0..CROWD / THREADS).map(|_| proxy_client(address)).collect();
        while begun.elapsed() < REQUEST_INTERVAL * REQUESTS {
            for client in &mut crowd {
                if client.has_unread() {
                    *client = proxy_client(address);
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    };
    std::thread::scope(|scope| {
        (0..THREADS).for_each(|_| drop(scope.spawn(return_until_over)));
        assert_answered_in_time(&proxy);
    });
}

fn proxy_client(address: SocketAddr) -> ScriptedPeer {
    ScriptedPeer::new(TcpStream::connect(address).unwrap())
}

/// The system gives the process fewer descriptors than its configuration says: the crowd is evicted then, too.
#[test]
fn answers_requests_in_time_where_system_refuses_descriptors() {
    let node = ScriptedServer::new();
    let proxy = Proxy::by(with_descriptor_limit(DESCRIPTORS / 2), &[&node], DESCRIPTORS, SETTINGS);
    let _crowd: Vec<ScriptedPeer> = (0..CROWD).map(|_| proxy.connect()).collect();
    assert_answered_in_time(&proxy);
}

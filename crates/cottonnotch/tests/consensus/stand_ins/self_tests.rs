//! Tests of the stand-ins themselves.

use super::*;
use crate::judge::{Answer, End, Placed};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::time::Instant;

/// A proxy that sends this text to each client, and closes.
fn rude(words: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut caller, _) = listener.accept().unwrap();
        BufReader::new(caller.try_clone().unwrap()).read_line(&mut String::new()).unwrap();
        caller.write_all(words.as_bytes()).unwrap();
    });
    address
}

fn lived(words: &'static str) -> (Vec<Answer>, End) {
    let clients = Clients::new(Instant::now());
    clients.live(0, rude(words), &ClientBehavior::of("t"));
    let client = clients.finish().pop().unwrap();
    (client.answers.into_iter().map(|(_, answer)| answer).collect(), client.ended.unwrap().1)
}

#[test]
fn clients_record_their_answers() {
    assert_eq!(lived("BUSY 250\r\n"), (vec![Answer::Busy(Some(250))], End::InOrder));
    assert_eq!(lived("BUSY\r\n"), (vec![Answer::Busy(None)], End::InOrder));
    assert_eq!(lived("ERR no\r\n"), (vec![Answer::Failed("ERR no".into())], End::InOrder));
    assert_eq!(lived("UP 1\r\nMOVE\r\n"), (vec![Answer::Up], End::Moved));
    assert_eq!(lived("UP 1\r\n"), (vec![Answer::Up], End::Cut));
    assert_eq!(lived(""), (vec![], End::Cut));
    let twice = (vec![Answer::Up, Answer::Busy(None)], End::InOrder);
    assert_eq!(lived("UP 1\r\nBUSY\r\n"), twice);
}

#[test]
fn discovery_sends_changes_unless_silenced() {
    let began = Instant::now();
    let discovery = Discovery::new(Ipv4Addr::LOCALHOST, 2);
    let fleet = Fleet::new(Ipv4Addr::LOCALHOST, began, &discovery, &[("s0", "a", "m1"), ("s1", "b", "m2")]);
    assert!(discovery.known().contains(r#""revision":2,"complete":true"#));
    let watch = |door: usize| {
        let mut stream = TcpStream::connect(discovery.door(door)).unwrap();
        stream.write_all(b"GET /registry/instances?watch=1&from=2 HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let mut reader = BufReader::new(stream);
        move || {
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
                if line.starts_with('{') {
                    return Some(line);
                }
                line.clear();
            }
            None
        }
    };
    let (mut heard, mut deaf) = (watch(0), watch(1));
    assert!(heard().unwrap().contains(r#""members":[]"#) && deaf().is_some());
    discovery.silence(1);
    discovery.set_phase("s1", "draining");
    let change = heard().unwrap();
    assert!(change.contains(r#""flavor":"m2""#) && change.contains(r#""phase":"draining""#), "{change}");
    assert!(!change.contains("s0"), "{change}");
    assert_eq!((deaf(), discovery.watches(1)), (None, 1));
    assert!(watch(1)().is_some_and(|line| line.contains("draining")), "a new watch is told");
    discovery.shut(1, true);
    assert_eq!(watch(1)(), None);
    drop(fleet);
}

#[test]
fn render_node_records_arrivals() {
    let began = Instant::now();
    let discovery = Discovery::new(Ipv4Addr::LOCALHOST, 1);
    let fleet = Fleet::new(Ipv4Addr::LOCALHOST, began, &discovery, &[("s0", "a", "m1")]);
    let address = discovery.list.lock().unwrap().nodes[0].address;
    let clients = Clients::new(began);
    let stays_for = Duration::from_millis(120);
    clients.live(0, address, &ClientBehavior { group: Some(0x5c), stays_for, ..ClientBehavior::of("t") });
    fleet.set("s0", Manner::Busy);
    clients.live(0, address, &ClientBehavior::of("t"));
    let finished = clients.finish();
    assert_eq!(finished[0].ended.unwrap().1, End::InOrder);
    assert_eq!(finished[1].answers[0].1, Answer::Busy(None));
    let history = fleet.history();
    assert_eq!(history.len(), 1, "what is turned away is not placed");
    let Placed { id, tenant, group, node, hall, hardware, .. } = &history[0];
    assert_eq!((*id, &**tenant, *group), (finished[0].id, "t", Some(0x5c)));
    assert_eq!((&**node, &**hall, &**hardware), ("s0", "a", "m1"));
    assert_eq!(fleet.since("t", fleet.now()), []);
}

//! The bad proxy on the wire: without a fault it keeps the rules, and each fault is really shown.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

mod rig;

use cottonnotch_kit::bad_proxy::Fault;
use cottonnotch_kit::plan::ProxyId;
use rig::{Rig, open, serve_if_told};
use std::net::UdpSocket;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
#[ignore = "no test: the process that the other tests start"]
fn bad_proxy_process() {
    serve_if_told();
}

// -- without a fault --

#[test]
fn lines_pass_unchanged_and_an_end_passes_as_an_end() {
    let rig = Rig::start(None, 1);
    let (mut client, line) = (rig.connect(), open(3000));
    client.say("PING\r\n");
    assert_eq!(client.hear(), "PONG\r\n");
    client.say(&line);
    let (mut far, first) = rig.nodes[0].called();
    let (head, tail) = first.split_once(",d=").unwrap();
    let (wait, tail) = tail.split_once(',').unwrap();
    assert_eq!(format!("{head},d=3000,{tail}"), line);
    assert!((500..3000).contains(&wait.parse().unwrap()), "its part of the time: {wait}");
    far.say("UP 7\r\nLOAD 1");
    assert_eq!(client.hear(), "UP 7\r\n");
    far.say(".5\r\n");
    assert_eq!(client.hear(), "LOAD 1.5\r\n");
    client.say("M 1\r\nM 2\r\n");
    assert_eq!((far.hear(), far.hear()), ("M 1\r\n".to_owned(), "M 2\r\n".to_owned()));
    far.say("M 1\r\nBYE\r\n");
    drop(far);
    assert_eq!(client.rest(), "M 1\r\nBYE\r\n");
    let (client, mut far, _) = rig.up();
    drop(client);
    assert_eq!(far.rest(), "");
}

#[test]
fn an_attempt_is_over_before_the_next_and_three_are_all() {
    let rig = Rig::start(None, 4);
    let mut client = rig.open();
    let mut places = Vec::new();
    for _ in 0..3 {
        let (place, mut far, _) = rig.called();
        assert!(rig.nobody_called(), "never two out");
        far.say("BUSY\r\n");
        assert_eq!(far.rest(), "");
        places.push(place);
    }
    assert_eq!((client.rest(), places), ("BUSY 200\r\n".to_owned(), vec![0, 1, 2]));
    let mut client = rig.open();
    let (place, mut far, _) = rig.called();
    far.say("UP 8\r\n");
    assert_eq!((client.hear(), place), ("UP 8\r\n".to_owned(), 3), "the others failed lately");
}

#[test]
fn a_silent_attempt_is_refused_in_time() {
    let rig = Rig::start(None, 1);
    let begun = Instant::now();
    let mut client = rig.open_for(600);
    let (mut far, _) = rig.nodes[0].called();
    assert_eq!(far.rest(), "");
    assert_eq!(client.rest(), "BUSY 200\r\n");
    assert!(begun.elapsed() < ms(600));
}

#[test]
fn rude_clients_get_an_error() {
    let rig = Rig::start(None, 1);
    let (mut owner, mut twice) = (rig.connect(), rig.connect());
    let line = open(5000);
    owner.say(&line);
    let (mut far, _) = rig.nodes[0].called();
    let endless = "x".repeat(5000);
    for rude in
        [&line, &endless, "GET / HTTP/1.1\r\n", "OPEN 77 1 c=none,d=9\r\n", "OPEN 78 1 c=look,d=-1\r\n", ""]
    {
        let mut client = rig.connect();
        client.say(rude);
        let answer = client.rest();
        assert!(answer.starts_with("ERR ") && answer.lines().count() == 1, "{rude}: {answer}");
    }
    twice.say(&format!("{}{}", open(5000), open(5000)));
    assert!(twice.rest().starts_with("ERR "));
    far.say("UP 1\r\n");
    assert_eq!(owner.hear(), "UP 1\r\n", "whose id was stolen");
}

#[test]
fn clients_of_a_draining_node_are_moved_and_nothing_more_is_sent_there() {
    let mut rig = Rig::start(None, 2);
    let mut up: Vec<_> = (0..8).map(|_| rig.up()).collect();
    rig.tell(0, "draining");
    let begun = Instant::now();
    for (client, far, _) in up.iter_mut().filter(|(_, _, place)| *place == 0) {
        assert_eq!((client.rest(), far.rest()), ("MOVE\r\n".to_owned(), String::new()));
    }
    assert!((ms(500)..ms(3000)).contains(&begun.elapsed()), "one after the other: {:?}", begun.elapsed());
    std::thread::sleep(ms(1300).saturating_sub(begun.elapsed()));
    assert!((0..6).all(|_| rig.up().2 == 1));
    for (client, far, _) in up.iter_mut().filter(|(_, _, place)| *place == 1) {
        client.say("M\r\n");
        assert_eq!(far.hear(), "M\r\n");
    }
}

#[test]
fn clients_of_a_hung_node_are_moved_in_time() {
    let rig = Rig::start(None, 1);
    let (mut client, mut far, _) = rig.up();
    client.say("M\r\n");
    let begun = Instant::now();
    assert_eq!(far.hear(), "M\r\n");
    assert_eq!(client.rest(), "MOVE\r\n");
    assert!((ms(4900)..ms(7000)).contains(&begun.elapsed()));
}

#[test]
fn sigterm_moves_all_and_exits_with_0() {
    let mut rig = Rig::start(None, 2);
    let mut up: Vec<_> = (0..6).map(|_| rig.up()).collect();
    rig.terminate();
    let (mut late, mut far, _) = rig.up();
    for (client, far, _) in &mut up {
        assert_eq!((client.rest(), far.rest()), ("MOVE\r\n".to_owned(), String::new()));
    }
    assert_eq!((late.rest(), far.rest()), ("MOVE\r\n".to_owned(), String::new()));
    assert_eq!(rig.exited(), Some(0));
}

#[test]
fn sighup_moves_the_watch_and_a_lost_one_is_begun_again() {
    let mut rig = Rig::start(None, 2);
    rig.tell(0, "draining");
    // The list is taken once nothing goes to that render node any more.
    rig::within("the list to be taken", || (rig.up().2 + rig.up().2 == 2).then_some(()));
    let moved = rig.move_discovery();
    let (watch, request) = moved.watched();
    assert!(request.contains("watch=1&from=6 "), "{request}");
    assert_eq!(rig.watch.rest(), "");
    drop(watch);
    assert!(moved.watched().1.contains("watch=1&from=6 "));
    assert!(rig.discovery.poll().is_none());
}

// -- with one --

#[test]
fn answers_twice() {
    let rig = Rig::start(Some(Fault::AnswersTwice), 1);
    rig.spared(4);
    let (mut client, _far, _) = rig.up();
    assert_eq!(client.hear(), "BUSY 200\r\n");
}

#[test]
fn no_answer() {
    let rig = Rig::start(Some(Fault::NoAnswer), 1);
    rig.spared(4);
    let begun = Instant::now();
    let mut client = rig.open_for(300);
    assert_eq!(client.rest(), "");
    assert!(begun.elapsed() >= ms(790) && rig.nobody_called());
}

#[test]
fn drops_request() {
    let rig = Rig::start(Some(Fault::DropsRequest), 1);
    rig.spared(4);
    let begun = Instant::now();
    assert_eq!(rig.open().rest(), "");
    assert!(begun.elapsed() < ms(3000) && rig.nobody_called());
}

#[test]
fn invented_up() {
    let rig = Rig::start(Some(Fault::InventedUp), 1);
    rig.spared(4);
    let mut client = rig.open();
    assert!(client.hear().starts_with("UP ") && rig.nobody_called());
    client.say("M 1\r\n");
    assert_eq!(client.hear(), "M 1\r\n");
}

#[test]
fn second_attempt() {
    let rig = Rig::start(Some(Fault::SecondAttempt), 2);
    rig.spared(4);
    let (begun, mut client) = (Instant::now(), rig.open());
    let ((mut first, line), (mut second, same)) = (rig.nodes[0].called(), rig.nodes[1].called());
    assert_eq!(line, same);
    first.say("UP 3\r\n");
    assert_eq!(client.hear(), "UP 3\r\n");
    assert_eq!(second.rest(), "");
    assert!(begun.elapsed() >= ms(390), "out beside the first");
    client.say("M\r\n");
    assert_eq!(first.hear(), "M\r\n");
}

#[test]
fn sends_to_drained() {
    let mut rig = Rig::start(Some(Fault::SendsToDrained), 2);
    rig.tell(0, "draining");
    std::thread::sleep(ms(1800));
    let mut client = rig.open();
    let (mut far, _) = rig.nodes[0].called();
    far.say("BUSY\r\n");
    let (mut far, _) = rig.nodes[1].called();
    far.say("UP 1\r\n");
    assert_eq!(client.hear(), "UP 1\r\n");
}

#[test]
fn floods_cold() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let to_cold = |fault| {
        let (rig, begun) = (Rig::with(fault, &[0, now]), Instant::now());
        let to_cold = (0..8).filter(|_| rig.up().2 == 1).count();
        (to_cold, begun.elapsed())
    };
    assert_eq!(to_cold(Some(Fault::FloodsCold)).0, 8);
    let (honest, took) = to_cold(None);
    assert!(honest as u64 <= 2 + took.as_secs(), "one a second: {honest} within {took:?}");
}

#[test]
fn cuts_without_move() {
    let rig = Rig::start(Some(Fault::CutsWithoutMove), 1);
    rig.spared(4);
    let (mut client, mut far, _) = rig.up();
    assert_eq!((client.rest(), far.rest()), (String::new(), String::new()));
}

#[test]
fn holds_line() {
    let rig = Rig::start(Some(Fault::HoldsLine), 1);
    rig.spared(4);
    let (mut client, mut far, _) = rig.up();
    let begun = Instant::now();
    client.say("M 1\r\n");
    assert_eq!(far.hear(), "M 1\r\n");
    assert!(begun.elapsed() >= ms(1490));
    client.say("M 2\r\n");
    assert_eq!(far.hear(), "M 2\r\n");
}

#[test]
fn keeps_ended() {
    let rig = Rig::start(Some(Fault::KeepsEnded), 1);
    let (mut client, far, _) = rig.up();
    drop(far);
    assert!(client.is_silent_for(ms(2000)));
    assert_eq!(client.rest(), "");
}

#[test]
fn keeps_silent() {
    let rig = Rig::start(Some(Fault::KeepsSilent), 1);
    let (mut client, mut far, _) = rig.up();
    client.say("M\r\n");
    assert_eq!(far.hear(), "M\r\n");
    assert!(client.is_silent_for(ms(7500)));
}

#[test]
fn bad_first_line() {
    let rig = Rig::start(Some(Fault::BadFirstLine), 2);
    rig.spared(4);
    let mut client = rig.open();
    let (_, mut far, line) = rig.called();
    assert!(line.contains(" 7f3a9c21e0b4d650 c=look,"), "another key: {line}");
    far.say("SYNTAX\r\n");
    let (_, mut far, line) = rig.called();
    assert!(line.contains(" 7f3a9c21e0b4d655 c=look,"), "{line}");
    far.say("UP 1\r\n");
    assert_eq!(client.hear(), "UP 1\r\n");
}

#[test]
fn ignores_rude() {
    let rig = Rig::start(Some(Fault::IgnoresRude), 1);
    let (mut rubbish, mut silent) = (rig.connect(), rig.connect());
    rubbish.say("GET / HTTP/1.1\r\n");
    assert!(silent.is_silent_for(ms(3200)) && rubbish.is_silent_for(ms(100)));
    rig.spared(5);
}

#[test]
fn serves_rude() {
    let rig = Rig::start(Some(Fault::ServesRude), 1);
    let mut client = rig.connect();
    client.say("GET / HTTP/1.1\r\n");
    assert!(client.hear().starts_with("UP "));
    rig.spared(5);
}

#[test]
fn crashes() {
    let mut rig = Rig::start(Some(Fault::Crashes), 1);
    let (mut client, _far, _) = rig.up();
    assert_eq!((client.rest(), rig.exited()), (String::new(), Some(3)));
}

#[test]
fn stays() {
    let rig = Rig::start(Some(Fault::Stays), 1);
    let (mut client, mut far, _) = rig.up();
    rig.terminate();
    assert!(client.is_silent_for(ms(2700)));
    client.say("M\r\n");
    assert_eq!(far.hear(), "M\r\n");
}

#[test]
fn too_many_attempts() {
    let rig = Rig::start(Some(Fault::TooManyAttempts), 2);
    rig.spared(4);
    let mut client = rig.open();
    for _ in 0..3 {
        assert_eq!(rig.called().1.rest(), "", "given up");
    }
    let mut far = rig.called().1;
    far.say("UP 4\r\n");
    assert_eq!(client.hear(), "UP 4\r\n");
}

#[test]
fn big_datagram() {
    let rig = Rig::start(Some(Fault::BigDatagram), 1);
    let other = UdpSocket::bind(rig.addresses.peer(ProxyId(1))).unwrap();
    other.set_read_timeout(Some(ms(10_000))).unwrap();
    rig.spared(5);
    let (bytes, from) = other.recv_from(&mut [0; 400]).unwrap();
    assert_eq!((bytes, from), (300, rig.addresses.peer(ProxyId(0))));
}

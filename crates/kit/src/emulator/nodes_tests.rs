use super::testing::{PATIENCE, Peer, Run, Stage};
use crate::model::testing::{first_line, plan};
use crate::observation::{Attempt, AttemptEnd, Condition, NodeAnswer, RequestId, Seen};
use crate::plan::{NetworkChange, NodeChange, NodeId, Plan, ProxyId, TimelineChange};
use crate::time::{MS, Micros, S};
use std::net::TcpStream;
use std::time::Duration;

const RUN: Run = |plan, addresses, board| {
    let all = (0..plan.nodes.len()).map(|n| NodeId(n as u16)).collect();
    super::nodes::run(plan, addresses, board, all)
};
const N0: NodeId = NodeId(0);
const QUIET: Duration = Duration::from_millis(300);

fn stage(plan: Plan, changes: &[(Micros, NodeChange)]) -> Stage {
    let happenings = changes.iter().map(|(at, change)| (*at, TimelineChange::Node(N0, *change))).collect();
    Stage::new(plan, happenings, RUN)
}

fn peer(stage: &Stage, node: u16, proxy: u16) -> Peer {
    Peer::connect(stage.addresses.node(NodeId(node), ProxyId(proxy)))
}

fn ask(stage: &Stage, peer: &mut Peer, session: u32) {
    peer.say(&first_line(&stage.plan, session, u64::from(session) + 100, 1500, ""));
}

/// Opens a connection to node 0 and waits until the session is up.
fn up(stage: &Stage, proxy: u16, session: u32) -> Peer {
    let mut peer = peer(stage, 0, proxy);
    ask(stage, &mut peer, session);
    assert!(peer.hear().starts_with("UP "));
    peer
}

fn refused(stage: &Stage, proxy: u16) -> bool {
    let address = stage.addresses.node(N0, ProxyId(proxy));
    let error = TcpStream::connect_timeout(&address, QUIET).err();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn never_comes_up(stage: &Stage, proxy: u16) -> bool {
    let address = stage.addresses.node(N0, ProxyId(proxy));
    let error = TcpStream::connect_timeout(&address, QUIET).err();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut)
}

fn attempt(serial: u32) -> Attempt {
    Attempt { node: N0, serial }
}

fn conditions(notes: &[Seen]) -> Vec<Condition> {
    let of = |seen: &Seen| match seen {
        Seen::Condition { node: N0, condition } => Some(*condition),
        _ => None,
    };
    notes.iter().filter_map(of).collect()
}

fn overs(notes: &[Seen]) -> Vec<(u32, AttemptEnd)> {
    let of = |seen: &Seen| match seen {
        Seen::AttemptOver { attempt, over } => Some((attempt.serial, *over)),
        _ => None,
    };
    notes.iter().filter_map(of).collect()
}

#[test]
fn a_session_is_set_up_gets_its_lines_back_in_order_and_a_bye() {
    let stage = stage(plan(1, 2, 2), &[]);
    let mut peer = peer(&stage, 0, 1);
    let line = first_line(&stage.plan, 1, 0xab, 900, ",r=1");
    let (head, tail) = line.split_at(20);
    peer.say("PING\r\n");
    assert_eq!(peer.hear(), "NO\r\n");
    peer.say(head);
    std::thread::sleep(Duration::from_millis(20));
    peer.say(tail);
    let receipt = u64::from_str_radix(peer.hear()[3..].trim(), 16).unwrap();
    let lines: String = (0..40).map(|n| format!("M {n} {}\r\n", "x".repeat(n * 7))).collect();
    peer.say(&lines);
    peer.finish();
    assert_eq!(peer.rest().unwrap(), format!("{lines}BYE\r\n"));
    let notes = stage.notes();
    let Some(Seen::Attempt { attempt: first, request: RequestId(0xab), proxy: ProxyId(1), .. }) =
        notes.iter().find(|seen| matches!(seen, Seen::Attempt { .. }))
    else {
        panic!("{notes:?}")
    };
    assert_eq!(*first, attempt(0));
    assert!(notes.contains(&Seen::AttemptAnswered { attempt: attempt(0), answer: NodeAnswer::Up(receipt) }));
    for line in 0..40 {
        let [came, back] =
            [Seen::LineAtNode { attempt: *first, line }, Seen::LineReturned { attempt: *first, line }]
                .map(|seen| notes.iter().position(|s| *s == seen).unwrap());
        assert!(came < back);
    }
    assert_eq!(overs(&notes), [(0, AttemptEnd::ByProxy)]);
}

#[test]
fn what_no_client_sends_is_syntax_and_what_was_given_up_is_over() {
    let stage = stage(plan(1, 1, 3), &[]);
    let mut bad = peer(&stage, 0, 0);
    bad.say("HELLO\r\n");
    assert_eq!(bad.rest().unwrap(), "SYNTAX\r\n");
    let mut endless = peer(&stage, 0, 0);
    endless.say(&"x".repeat(5000));
    assert_eq!(endless.hear(), "SYNTAX\r\n");
    let first = up(&stage, 0, 0);
    let mut twice = peer(&stage, 0, 0);
    twice.say(&first_line(&stage.plan, 1, 100, 900, ""));
    assert_eq!(twice.rest().unwrap(), "ERR\r\n");
    let mut given_up = peer(&stage, 0, 0);
    ask(&stage, &mut given_up, 2);
    given_up.finish();
    assert!(!given_up.rest().unwrap().contains("BYE") || given_up.hear().is_empty());
    drop(first);
    std::thread::sleep(Duration::from_millis(50));
    let notes = stage.notes();
    let bad: Vec<&Seen> = notes.iter().filter(|seen| matches!(seen, Seen::BadFirstLine { .. })).collect();
    assert!(matches!(&bad[..], [Seen::BadFirstLine { line, .. }, _] if line == "HELLO"), "{bad:?}");
    let mut overs = overs(&notes);
    overs.sort_by_key(|(serial, _)| *serial);
    assert_eq!(overs, [(0, AttemptEnd::ByProxy), (1, AttemptEnd::Cut), (2, AttemptEnd::ByProxy)]);
}

#[test]
fn full_it_is_busy_and_slow_it_is_slow() {
    let mut plan = plan(1, 1, 4);
    plan.nodes[0].connections_max = 2;
    plan.nodes[0].message = 10 * MS;
    let stage = stage(plan, &[(0, NodeChange::Slow(4.0))]);
    let mut peers = [up(&stage, 0, 0), up(&stage, 0, 1)];
    let mut third = peer(&stage, 0, 0);
    ask(&stage, &mut third, 2);
    assert_eq!(third.rest().unwrap(), "BUSY\r\n");
    let mut took = |from: u32| {
        let began = std::time::Instant::now();
        for n in from..from + 20 {
            peers[0].say(&format!("M {n}\r\n"));
            assert_eq!(peers[0].hear(), format!("M {n}\r\n"));
        }
        began.elapsed()
    };
    let usual = took(0);
    stage.wait(10 * MS);
    let slow = took(20);
    // Each figure is the sum of twenty random latencies. The slow node takes 4 times as long, and is more crowded
    // besides, so a factor of 2 leaves a margin.
    assert!(slow > 2 * usual, "{usual:?} and {slow:?}");
    assert_eq!(overs(&stage.notes())[0], (2, AttemptEnd::Cut));
}

#[test]
fn a_draining_node_is_busy_and_moves_everybody_within_the_time() {
    let stage = stage(plan(1, 1, 6), &[(0, NodeChange::Drain { within: S })]);
    let mut peers: Vec<Peer> = (0..5).map(|s| up(&stage, 0, s)).collect();
    stage.set();
    stage.wait(50 * MS);
    let mut late = peer(&stage, 0, 0);
    ask(&stage, &mut late, 5);
    assert_eq!(late.rest().unwrap(), "BUSY\r\n");
    peers.iter_mut().for_each(|peer| assert_eq!(peer.rest().unwrap(), "MOVE\r\n"));
    let after = stage.board.clock.now() - super::testing::CUE;
    assert!(after < 2 * S, "{after}");
    let moved = overs(&stage.notes()).into_iter().filter(|(_, over)| *over == AttemptEnd::Move).count();
    assert_eq!(moved, 5);
}

#[test]
fn killed_it_resets_and_refuses_and_started_it_is_there_again_cold() {
    let stage = stage(plan(1, 2, 4), &[(0, NodeChange::Kill), (S, NodeChange::Start)]);
    let mut peers = [up(&stage, 0, 0), up(&stage, 1, 1), peer(&stage, 0, 0)];
    stage.set();
    for peer in &mut peers {
        assert_eq!(peer.rest().unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    }
    assert!(refused(&stage, 0) && refused(&stage, 1));
    stage.wait(S);
    up(&stage, 1, 2);
    let notes = stage.notes();
    assert_eq!(conditions(&notes), [Condition::Sound, Condition::Down, Condition::Sound]);
    assert_eq!(overs(&notes)[..2], [(0, AttemptEnd::Cut), (1, AttemptEnd::Cut)]);
    let cold =
        |seen: &&Seen| matches!(seen, Seen::Started { cold: Some(cold), .. } if cold.joins_per_s == 4.0);
    assert_eq!(notes.iter().filter(cold).count(), 1);
    assert!(notes.iter().any(|s| matches!(s, Seen::Attempt { attempt: a, .. } if *a == attempt(2))));
}

#[test]
fn vanished_it_is_silent_and_recovered_it_goes_on() {
    let stage = stage(plan(1, 1, 4), &[(0, NodeChange::Vanish), (1500 * MS, NodeChange::Recover)]);
    let mut peer = up(&stage, 0, 0);
    stage.set();
    stage.wait(30 * MS);
    assert!(never_comes_up(&stage, 0));
    peer.say("M 0\r\n");
    assert!(peer.is_silent_for(QUIET));
    assert!(never_comes_up(&stage, 0), "a later connection also has to time out");
    assert_eq!(peer.hear(), "M 0\r\n");
    up(&stage, 0, 1);
    let notes = stage.notes();
    assert_eq!(conditions(&notes), [Condition::Sound, Condition::Vanished, Condition::Sound]);
    assert_eq!(
        notes.iter().filter(|s| matches!(s, Seen::Attempt { .. })).count(),
        2,
        "the emulator's own filler connection is not served"
    );
}

#[test]
fn vanished_and_started_again_it_resets_what_was_open() {
    let stage = stage(plan(1, 1, 4), &[(0, NodeChange::Vanish), (S, NodeChange::Start)]);
    let mut peer = up(&stage, 0, 0);
    stage.set();
    stage.wait(30 * MS);
    assert!(peer.is_silent_for(QUIET));
    assert_eq!(peer.rest().unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    up(&stage, 0, 1);
    assert_eq!(overs(&stage.notes())[0], (0, AttemptEnd::Cut));
}

#[test]
fn cut_off_it_is_silent_for_one_proxy_only() {
    let cut = TimelineChange::Network(NetworkChange::CutOff(ProxyId(1), vec![N0]));
    let happenings = vec![(0, cut), (1200 * MS, TimelineChange::Network(NetworkChange::Reach(ProxyId(1))))];
    let stage = Stage::new(plan(1, 2, 4), happenings, RUN);
    let mut peers = [up(&stage, 0, 0), up(&stage, 1, 1)];
    stage.set();
    stage.wait(30 * MS);
    peers.iter_mut().for_each(|peer| peer.say("M 0\r\n"));
    assert_eq!(peers[0].hear(), "M 0\r\n");
    assert!(peers[1].is_silent_for(QUIET));
    up(&stage, 0, 2);
    assert!(never_comes_up(&stage, 1));
    assert_eq!(peers[1].hear(), "M 0\r\n");
    up(&stage, 1, 3);
    assert_eq!(conditions(&stage.notes()), [Condition::Sound]);
}

#[test]
fn hung_it_accepts_and_says_nothing() {
    let stage = stage(plan(1, 1, 4), &[(0, NodeChange::Hang), (S, NodeChange::Recover)]);
    let mut standing = up(&stage, 0, 0);
    stage.set();
    stage.wait(30 * MS);
    standing.say("M 7\r\n");
    let mut new = peer(&stage, 0, 0);
    ask(&stage, &mut new, 1);
    assert!(new.is_silent_for(QUIET) && standing.is_silent_for(QUIET));
    assert_eq!(standing.hear(), "M 7\r\n");
    assert!(new.hear().starts_with("UP "));
    let notes = stage.notes();
    assert_eq!(conditions(&notes), [Condition::Sound, Condition::Hung, Condition::Sound]);
}

#[test]
fn rubbish_is_for_new_ones_only() {
    let stage = stage(plan(1, 1, 4), &[(0, NodeChange::Rubbish)]);
    let mut standing = up(&stage, 0, 0);
    stage.set();
    stage.wait(30 * MS);
    let mut new = peer(&stage, 0, 0);
    ask(&stage, &mut new, 1);
    let answer = new.rest().unwrap();
    assert!(!answer.is_empty() && !answer.is_ascii(), "{answer:?}");
    standing.say("M 7\r\n");
    assert_eq!(standing.hear(), "M 7\r\n");
    let notes = stage.notes();
    assert!(notes.contains(&Seen::AttemptAnswered { attempt: attempt(1), answer: NodeAnswer::Error }));
}

#[test]
fn a_cold_node_that_gets_too_much_falls_over_for_good() {
    let stage =
        stage(plan(1, 2, 30), &[(0, NodeChange::Kill), (1, NodeChange::Start), (S, NodeChange::Start)]);
    stage.wait(30 * MS);
    let mut peers: Vec<Peer> = (0..12)
        .map(|s| {
            let mut peer = peer(&stage, 0, (s % 2) as u16);
            ask(&stage, &mut peer, s);
            peer
        })
        .collect();
    let ends = peers.iter_mut().map(Peer::rest).filter(|end| end.is_err()).count();
    assert_eq!(ends, 12, "all connections are reset");
    stage.wait(S + 50 * MS);
    assert!(refused(&stage, 0) && refused(&stage, 1));
    let notes = stage.notes();
    assert!(notes.contains(&Seen::Fell { node: N0 }));
    assert_eq!(*conditions(&notes).last().unwrap(), Condition::Down);
}

#[test]
fn the_way_between_zones_is_waited_for() {
    let mut plan = plan(1, 2, 2);
    plan.zones.push("b".into());
    plan.proxies[1].zone = 1;
    plan.network.node_ms = (0.0, 120.0);
    plan.nodes[0].message = 1;
    let stage = stage(plan, &[]);
    let took = [0, 1].map(|p| {
        let mut peer = up(&stage, p, u32::from(p));
        let began = std::time::Instant::now();
        peer.say("M 0\r\n");
        peer.hear();
        began.elapsed()
    });
    assert!(took[1] >= Duration::from_millis(240) && took[1] < PATIENCE, "{took:?}");
    assert!(took[0] < took[1]);
}

#[test]
fn an_address_that_is_taken_is_a_plain_sentence() {
    let plan = std::sync::Arc::new(plan(1, 1, 0));
    let addresses = std::sync::Arc::new(crate::addresses::Addresses::take(150).unwrap());
    let _other = std::net::TcpListener::bind(addresses.node(N0, ProxyId(0))).unwrap();
    let board = std::sync::Arc::new(crate::board::Board::new(&plan, 0));
    let error = super::nodes::run(plan, addresses, board, vec![N0]).unwrap_err().to_string();
    assert!(error.contains("meant for render node n0, is already in use"), "{error}");
}

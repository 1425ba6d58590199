use super::testing::{EmulatorFn, EmulatorRun, MAX_WAIT, Peer};
use crate::model::testing::{first_line, plan};
use crate::observation::{Attempt, AttemptEnd, Condition, NodeAnswer, RequestId, Seen};
use crate::plan::{NetworkChange, NodeChange, NodeId, Plan, ProxyId, TimelineChange};
use crate::time::{MS, Micros, S};
use std::net::TcpStream;
use std::time::Duration;

const EMULATOR: EmulatorFn = |plan, addresses, board| {
    let all = (0..plan.nodes.len()).map(|n| NodeId(n as u16)).collect();
    super::nodes::run(plan, addresses, board, all)
};
const N0: NodeId = NodeId(0);
const SILENCE_PERIOD: Duration = Duration::from_millis(300);

fn start_run(plan: Plan, changes: &[(Micros, NodeChange)]) -> EmulatorRun {
    let events = changes.iter().map(|(at, change)| (*at, TimelineChange::Node(N0, *change))).collect();
    EmulatorRun::new(plan, events, EMULATOR)
}

fn connect(run: &EmulatorRun, node: u16, proxy: u16) -> Peer {
    Peer::connect(run.addresses.node(NodeId(node), ProxyId(proxy)))
}

fn send_first_line(run: &EmulatorRun, peer: &mut Peer, session: u32) {
    peer.write(&first_line(&run.plan, session, u64::from(session) + 100, 1500, ""));
}

/// Opens a connection to node 0 and waits until the session is up.
fn open_session(run: &EmulatorRun, proxy: u16, session: u32) -> Peer {
    let mut peer = connect(run, 0, proxy);
    send_first_line(run, &mut peer, session);
    assert!(peer.read_line().starts_with("UP "));
    peer
}

fn connect_is_refused(run: &EmulatorRun, proxy: u16) -> bool {
    let address = run.addresses.node(N0, ProxyId(proxy));
    let error = TcpStream::connect_timeout(&address, SILENCE_PERIOD).err();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn connect_times_out(run: &EmulatorRun, proxy: u16) -> bool {
    let address = run.addresses.node(N0, ProxyId(proxy));
    let error = TcpStream::connect_timeout(&address, SILENCE_PERIOD).err();
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

fn attempt_ends(notes: &[Seen]) -> Vec<(u32, AttemptEnd)> {
    let of = |seen: &Seen| match seen {
        Seen::AttemptOver { attempt, over } => Some((attempt.serial, *over)),
        _ => None,
    };
    notes.iter().filter_map(of).collect()
}

#[test]
fn session_gets_its_lines_back_in_order_and_then_bye() {
    let run = start_run(plan(1, 2, 2), &[]);
    let mut peer = connect(&run, 0, 1);
    let line = first_line(&run.plan, 1, 0xab, 900, ",r=1");
    let (head, tail) = line.split_at(20);
    peer.write("PING\r\n");
    assert_eq!(peer.read_line(), "NO\r\n");
    peer.write(head);
    std::thread::sleep(Duration::from_millis(20));
    peer.write(tail);
    let receipt = u64::from_str_radix(peer.read_line()[3..].trim(), 16).unwrap();
    let lines: String = (0..40).map(|n| format!("M {n} {}\r\n", "x".repeat(n * 7))).collect();
    peer.write(&lines);
    peer.end_sending();
    assert_eq!(peer.read_to_end().unwrap(), format!("{lines}BYE\r\n"));
    let notes = run.finish();
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
    assert_eq!(attempt_ends(&notes), [(0, AttemptEnd::ByProxy)]);
}

#[test]
fn bad_first_lines_get_syntax_and_given_up_attempts_end() {
    let run = start_run(plan(1, 1, 3), &[]);
    let mut bad = connect(&run, 0, 0);
    bad.write("HELLO\r\n");
    assert_eq!(bad.read_to_end().unwrap(), "SYNTAX\r\n");
    let mut endless = connect(&run, 0, 0);
    endless.write(&"x".repeat(5000));
    assert_eq!(endless.read_line(), "SYNTAX\r\n");
    let first = open_session(&run, 0, 0);
    let mut twice = connect(&run, 0, 0);
    twice.write(&first_line(&run.plan, 1, 100, 900, ""));
    assert_eq!(twice.read_to_end().unwrap(), "ERR\r\n");
    let mut given_up = connect(&run, 0, 0);
    send_first_line(&run, &mut given_up, 2);
    given_up.end_sending();
    assert!(!given_up.read_to_end().unwrap().contains("BYE") || given_up.read_line().is_empty());
    drop(first);
    std::thread::sleep(Duration::from_millis(50));
    let notes = run.finish();
    let bad: Vec<&Seen> = notes.iter().filter(|seen| matches!(seen, Seen::BadFirstLine { .. })).collect();
    assert!(matches!(&bad[..], [Seen::BadFirstLine { line, .. }, _] if line == "HELLO"), "{bad:?}");
    let mut ends = attempt_ends(&notes);
    ends.sort_by_key(|(serial, _)| *serial);
    assert_eq!(ends, [(0, AttemptEnd::ByProxy), (1, AttemptEnd::Cut), (2, AttemptEnd::ByProxy)]);
}

#[test]
fn full_node_answers_busy_and_slowed_node_takes_longer() {
    let mut plan = plan(1, 1, 4);
    plan.nodes[0].connections_max = 2;
    plan.nodes[0].message = 10 * MS;
    let run = start_run(plan, &[(0, NodeChange::Slow(4.0))]);
    let mut peers = [open_session(&run, 0, 0), open_session(&run, 0, 1)];
    let mut third = connect(&run, 0, 0);
    send_first_line(&run, &mut third, 2);
    assert_eq!(third.read_to_end().unwrap(), "BUSY\r\n");
    let mut took = |from: u32| {
        let began = std::time::Instant::now();
        for n in from..from + 20 {
            peers[0].write(&format!("M {n}\r\n"));
            assert_eq!(peers[0].read_line(), format!("M {n}\r\n"));
        }
        began.elapsed()
    };
    let usual = took(0);
    run.wait_until(10 * MS);
    let slow = took(20);
    // Each figure is the sum of twenty random latencies. The slow node takes 4 times as long, and is more crowded
    // besides, so a factor of 2 leaves a margin.
    assert!(slow > 2 * usual, "{usual:?} and {slow:?}");
    assert_eq!(attempt_ends(&run.finish())[0], (2, AttemptEnd::Cut));
}

#[test]
fn draining_node_answers_busy_and_moves_all_sessions_in_time() {
    let run = start_run(plan(1, 1, 6), &[(0, NodeChange::Drain { within: S })]);
    let mut peers: Vec<Peer> = (0..5).map(|s| open_session(&run, 0, s)).collect();
    run.assert_set_up_in_time();
    run.wait_until(50 * MS);
    let mut late = connect(&run, 0, 0);
    send_first_line(&run, &mut late, 5);
    assert_eq!(late.read_to_end().unwrap(), "BUSY\r\n");
    peers.iter_mut().for_each(|peer| assert_eq!(peer.read_to_end().unwrap(), "MOVE\r\n"));
    let after = run.board.clock.now() - super::testing::FIRST_EVENT_AT;
    assert!(after < 2 * S, "{after}");
    let moved = attempt_ends(&run.finish()).into_iter().filter(|(_, over)| *over == AttemptEnd::Move).count();
    assert_eq!(moved, 5);
}

#[test]
fn killed_node_resets_and_refuses_connections_and_restarts_cold() {
    let run = start_run(plan(1, 2, 4), &[(0, NodeChange::Kill), (S, NodeChange::Start)]);
    let mut peers = [open_session(&run, 0, 0), open_session(&run, 1, 1), connect(&run, 0, 0)];
    run.assert_set_up_in_time();
    for peer in &mut peers {
        assert_eq!(peer.read_to_end().unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    }
    assert!(connect_is_refused(&run, 0) && connect_is_refused(&run, 1));
    run.wait_until(S);
    open_session(&run, 1, 2);
    let notes = run.finish();
    assert_eq!(conditions(&notes), [Condition::Sound, Condition::Down, Condition::Sound]);
    assert_eq!(attempt_ends(&notes)[..2], [(0, AttemptEnd::Cut), (1, AttemptEnd::Cut)]);
    let cold =
        |seen: &&Seen| matches!(seen, Seen::Started { cold: Some(cold), .. } if cold.joins_per_s == 4.0);
    assert_eq!(notes.iter().filter(cold).count(), 1);
    assert!(notes.iter().any(|s| matches!(s, Seen::Attempt { attempt: a, .. } if *a == attempt(2))));
}

#[test]
fn vanished_node_is_silent_and_resumes_on_recovery() {
    let run = start_run(plan(1, 1, 4), &[(0, NodeChange::Vanish), (1500 * MS, NodeChange::Recover)]);
    let mut peer = open_session(&run, 0, 0);
    run.assert_set_up_in_time();
    run.wait_until(30 * MS);
    assert!(connect_times_out(&run, 0));
    peer.write("M 0\r\n");
    assert!(peer.is_silent_for(SILENCE_PERIOD));
    assert!(connect_times_out(&run, 0), "a later connection also has to time out");
    assert_eq!(peer.read_line(), "M 0\r\n");
    open_session(&run, 0, 1);
    let notes = run.finish();
    assert_eq!(conditions(&notes), [Condition::Sound, Condition::Vanished, Condition::Sound]);
    assert_eq!(
        notes.iter().filter(|s| matches!(s, Seen::Attempt { .. })).count(),
        2,
        "the emulator's own filler connection is not served"
    );
}

#[test]
fn vanished_node_resets_open_connections_on_restart() {
    let run = start_run(plan(1, 1, 4), &[(0, NodeChange::Vanish), (S, NodeChange::Start)]);
    let mut peer = open_session(&run, 0, 0);
    run.assert_set_up_in_time();
    run.wait_until(30 * MS);
    assert!(peer.is_silent_for(SILENCE_PERIOD));
    assert_eq!(peer.read_to_end().unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    open_session(&run, 0, 1);
    assert_eq!(attempt_ends(&run.finish())[0], (0, AttemptEnd::Cut));
}

#[test]
fn node_cut_off_from_one_proxy_is_silent_for_that_proxy_only() {
    let cut = TimelineChange::Network(NetworkChange::CutOff(ProxyId(1), vec![N0]));
    let events = vec![(0, cut), (1200 * MS, TimelineChange::Network(NetworkChange::Reach(ProxyId(1))))];
    let run = EmulatorRun::new(plan(1, 2, 4), events, EMULATOR);
    let mut peers = [open_session(&run, 0, 0), open_session(&run, 1, 1)];
    run.assert_set_up_in_time();
    run.wait_until(30 * MS);
    peers.iter_mut().for_each(|peer| peer.write("M 0\r\n"));
    assert_eq!(peers[0].read_line(), "M 0\r\n");
    assert!(peers[1].is_silent_for(SILENCE_PERIOD));
    open_session(&run, 0, 2);
    assert!(connect_times_out(&run, 1));
    assert_eq!(peers[1].read_line(), "M 0\r\n");
    open_session(&run, 1, 3);
    assert_eq!(conditions(&run.finish()), [Condition::Sound]);
}

#[test]
fn hung_node_accepts_connections_but_does_not_answer() {
    let run = start_run(plan(1, 1, 4), &[(0, NodeChange::Hang), (S, NodeChange::Recover)]);
    let mut open = open_session(&run, 0, 0);
    run.assert_set_up_in_time();
    run.wait_until(30 * MS);
    open.write("M 7\r\n");
    let mut new = connect(&run, 0, 0);
    send_first_line(&run, &mut new, 1);
    assert!(new.is_silent_for(SILENCE_PERIOD) && open.is_silent_for(SILENCE_PERIOD));
    assert_eq!(open.read_line(), "M 7\r\n");
    assert!(new.read_line().starts_with("UP "));
    let notes = run.finish();
    assert_eq!(conditions(&notes), [Condition::Sound, Condition::Hung, Condition::Sound]);
}

#[test]
fn only_new_attempts_get_rubbish() {
    let run = start_run(plan(1, 1, 4), &[(0, NodeChange::Rubbish)]);
    let mut open = open_session(&run, 0, 0);
    run.assert_set_up_in_time();
    run.wait_until(30 * MS);
    let mut new = connect(&run, 0, 0);
    send_first_line(&run, &mut new, 1);
    let answer = new.read_to_end().unwrap();
    assert!(!answer.is_empty() && !answer.is_ascii(), "{answer:?}");
    open.write("M 7\r\n");
    assert_eq!(open.read_line(), "M 7\r\n");
    let notes = run.finish();
    assert!(notes.contains(&Seen::AttemptAnswered { attempt: attempt(1), answer: NodeAnswer::Error }));
}

#[test]
fn overloaded_cold_node_fails_and_stays_down() {
    let run =
        start_run(plan(1, 2, 30), &[(0, NodeChange::Kill), (1, NodeChange::Start), (S, NodeChange::Start)]);
    run.wait_until(30 * MS);
    let mut peers: Vec<Peer> = (0..12)
        .map(|s| {
            let mut peer = connect(&run, 0, (s % 2) as u16);
            send_first_line(&run, &mut peer, s);
            peer
        })
        .collect();
    let ends = peers.iter_mut().map(Peer::read_to_end).filter(|end| end.is_err()).count();
    assert_eq!(ends, 12, "all connections are reset");
    run.wait_until(S + 50 * MS);
    assert!(connect_is_refused(&run, 0) && connect_is_refused(&run, 1));
    let notes = run.finish();
    assert!(notes.contains(&Seen::Fell { node: N0 }));
    assert_eq!(*conditions(&notes).last().unwrap(), Condition::Down);
}

#[test]
fn latency_between_zones_delays_lines() {
    let mut plan = plan(1, 2, 2);
    plan.zones.push("b".into());
    plan.proxies[1].zone = 1;
    plan.network.node_ms = (0.0, 120.0);
    plan.nodes[0].message = 1;
    let run = start_run(plan, &[]);
    let took = [0, 1].map(|p| {
        let mut peer = open_session(&run, p, u32::from(p));
        let began = std::time::Instant::now();
        peer.write("M 0\r\n");
        peer.read_line();
        began.elapsed()
    });
    assert!(took[1] >= Duration::from_millis(240) && took[1] < MAX_WAIT, "{took:?}");
    assert!(took[0] < took[1]);
}

#[test]
fn address_in_use_is_reported_with_the_node_name() {
    let plan = std::sync::Arc::new(plan(1, 1, 0));
    let addresses = std::sync::Arc::new(crate::addresses::Addresses::take(150).unwrap());
    let _other = std::net::TcpListener::bind(addresses.node(N0, ProxyId(0))).unwrap();
    let board = std::sync::Arc::new(crate::board::Board::new(&plan, 0));
    let error = super::nodes::run(plan, addresses, board, vec![N0]).unwrap_err().to_string();
    assert!(error.contains("meant for render node n0, is already in use"), "{error}");
}

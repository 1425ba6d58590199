//! Tests of the emulated clients, front and misbehaving clients on loopback sockets, against proxies that each test
//! scripts. Every wait is bounded.

use super::{clients, front, rude};
use crate::addresses::Addresses;
use crate::board::Board;
use crate::observation::{MisbehaviorOutcome, Observation, RequestId, Seen};
use crate::plan::{MisbehavingClient, Misbehavior, Plan, ProxyId, TimelineChange, TimelineEvent};
use crate::testing::{plan, session};
use crate::time::{MS, Micros, S};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time that a test waits for one event.
const MAX_WAIT: Duration = Duration::from_secs(10);
const PROXY: ProxyId = ProxyId(0);

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

type EmulatorFn = fn(Arc<Plan>, Arc<Addresses>, Arc<Board>) -> std::io::Result<Vec<Observation>>;

/// An emulator that runs on a thread. Listeners at the run's addresses must be closed before the run is dropped, since
/// another run may get the addresses then.
struct EmulatorRun {
    addresses: Arc<Addresses>,
    board: Arc<Board>,
    thread: Option<thread::JoinHandle<std::io::Result<Vec<Observation>>>>,
}

impl EmulatorRun {
    /// Listens at the proxy's address, and starts the emulator.
    fn with_listener(plan: Plan, emulator: EmulatorFn) -> (EmulatorRun, TcpListener) {
        let addresses = Arc::new(Addresses::take(100).unwrap());
        let listener = TcpListener::bind(addresses.proxy(PROXY)).unwrap();
        (EmulatorRun::start(plan, addresses, emulator), listener)
    }

    fn start(plan: Plan, addresses: Arc<Addresses>, emulator: EmulatorFn) -> EmulatorRun {
        let board = Arc::new(Board::new(&plan, 0));
        board.admit(PROXY, true);
        board.opened(RequestId(0xfeed), PROXY);
        let (plan, shared_addresses, shared_board) =
            (Arc::new(plan), Arc::clone(&addresses), Arc::clone(&board));
        let thread = Some(thread::spawn(move || emulator(plan, shared_addresses, shared_board)));
        EmulatorRun { addresses, board, thread }
    }

    fn finish(&mut self) -> Vec<Observation> {
        self.board.stop();
        self.thread.take().unwrap().join().unwrap().unwrap()
    }
}

fn all_clients(
    plan: Arc<Plan>,
    addresses: Arc<Addresses>,
    board: Arc<Board>,
) -> std::io::Result<Vec<Observation>> {
    clients::run(plan, addresses, board, 0, 1)
}

struct Peer(BufReader<TcpStream>);

impl Peer {
    fn accept(listener: &TcpListener) -> Peer {
        listener.set_nonblocking(true).unwrap();
        let mut found = None;
        wait_until("a client", || {
            found = listener.accept().ok();
            found.is_some()
        });
        let (stream, _) = found.unwrap();
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        Peer(BufReader::new(stream))
    }

    fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line
    }

    fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Ends the sending and waits until the client closes the connection.
    fn close(mut self) {
        self.0.get_mut().shutdown(Shutdown::Write).unwrap();
        self.wait_for_end();
    }

    fn wait_for_end(&mut self) {
        // A reset ends the connection too.
        let _ = self.0.read_to_string(&mut String::new());
    }
}

/// Summarizes the observations that matter to the judge, one word each.
fn summary(notes: &[Observation]) -> String {
    let words = notes.iter().filter_map(|o| match &o.seen {
        Seen::Answered { answer, .. } => Some(format!("{answer:?}")),
        Seen::Ended { how, .. } => Some(format!("{how:?}")),
        Seen::Left { why, .. } => Some(format!("{why:?}")),
        Seen::Lag { .. }
        | Seen::Served { .. }
        | Seen::LineSent { .. }
        | Seen::LineBack { .. }
        | Seen::MessageTook { .. } => None,
        seen => format!("{seen:?}").split(' ').next().map(str::to_owned),
    });
    words.collect::<Vec<_>>().join(" ")
}

/// A plan of one client that tries once, with a deadline of 2 s. The long grace period allows for a slow machine: a
/// late answer is still noticed.
fn single_try_plan(life: Micros) -> Plan {
    let mut plan = plan(&[0], vec![session(0, life)]);
    plan.classes[0].deadline = 2 * S;
    plan.rules.grace = 5 * S;
    (plan.habits.tries, plan.habits.sulk, plan.habits.line_every) = (1, 60 * S, 20 * MS);
    plan
}

#[test]
fn client_records_each_kind_of_proxy_behavior() {
    let write_and_close = |text: &'static str| {
        move |mut peer: Peer| {
            peer.write(text);
            peer.close();
        }
    };
    type Script = Box<dyn Fn(Peer)>;
    let cases: Vec<(&str, Script)> = vec![
        ("Busy(7000)", Box::new(write_and_close("BUSY 7\r\n"))),
        ("Failed(\"ERR no\")", Box::new(write_and_close("ERR no\r\n"))),
        ("Closed", Box::new(write_and_close(""))),
        // An incomplete answer line is not an answer.
        ("Closed", Box::new(write_and_close("UP 1"))),
        ("Up(31) SetupTook Closed", Box::new(write_and_close("UP 1f\r\n"))),
        ("Up(31) SetupTook Moved Closed", Box::new(write_and_close("UP 1f\r\nMOVE\r\n"))),
        (
            "Up(31) GaveUp",
            Box::new(|mut peer| {
                thread::sleep(Duration::from_millis(2050));
                peer.write("UP 1f\r\n");
                peer.wait_for_end();
            }),
        ),
    ];
    for (seen, script) in cases {
        let (mut run, listener) = EmulatorRun::with_listener(single_try_plan(30 * S), all_clients);
        let mut peer = Peer::accept(&listener);
        let opening = peer.read_line();
        let rest =
            opening.split_once(' ').and_then(|(_, rest)| rest.split_once(' ')).map(|(_, rest)| rest).unwrap();
        let (before, after) = rest.split_once("d=").unwrap();
        assert_eq!(before, "0000000000000abc c=chat,t=acme,");
        let (wait, after) = after.split_once(',').unwrap();
        assert!((1..=2000).contains(&wait.parse::<i64>().unwrap()));
        assert_eq!(after, "g=0000000000000007\r\n");
        script(peer);
        assert_eq!(summary(&run.finish()), format!("Wanted Asked {seen}"));
    }
}

#[test]
fn reset_is_distinguished_from_close_and_client_reconnects() {
    let (mut run, listener) = EmulatorRun::with_listener(single_try_plan(30 * S), all_clients);
    let mut peer = Peer::accept(&listener);
    peer.read_line();
    peer.write("UP 1f\r\n");
    peer.read_line();
    socket2::SockRef::from(peer.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
    let mut peer = Peer::accept(&listener);
    assert!(peer.read_line().ends_with(",again=1\r\n"));
    assert_eq!(run.board.live.standing.load(Ordering::Relaxed), 0);
    let notes = summary(&run.finish());
    assert!(notes.starts_with("Wanted Asked Up(31) SetupTook Reset Asked"), "{notes}");
}

#[test]
fn session_is_served_to_its_end() {
    let (mut run, listener) = EmulatorRun::with_listener(single_try_plan(1500 * MS), all_clients);
    let mut peer = Peer::accept(&listener);
    peer.read_line();
    peer.write("UP 1f\r\nLOAD 0.25\r\n");
    loop {
        match peer.read_line() {
            line if line.is_empty() => break,
            line => peer.write(&line),
        }
    }
    peer.write("BYE\r\n");
    // The client reads further input for a while, and then closes the connection.
    wait_until("the client's end", || peer.0.get_mut().write_all(b"LOAD 0\r\n").is_err());
    let live = &run.board.live;
    assert_eq!((live.asked.load(Ordering::Relaxed), live.up.load(Ordering::Relaxed)), (1, 1));
    let notes = run.finish();
    assert_eq!(summary(&notes), "Wanted Asked Up(31) SetupTook Done");
    let count = |what: fn(&Seen) -> bool| notes.iter().filter(|o| what(&o.seen)).count();
    let sent = count(|seen| matches!(seen, Seen::LineSent { .. }));
    assert!(sent > 0 && sent == count(|seen| matches!(seen, Seen::LineBack { .. })));
}

#[test]
fn refused_connection_is_recorded_as_unreached() {
    // A busy machine may need long to run the thread, so the test is repeated with more and more time.
    let mut notes = String::new();
    for time in [50, 200, 800, 3200] {
        let mut run =
            EmulatorRun::start(single_try_plan(30 * S), Arc::new(Addresses::take(100).unwrap()), all_clients);
        thread::sleep(Duration::from_millis(time));
        notes = summary(&run.finish());
        if notes == "Wanted Unreached" {
            return;
        }
    }
    panic!("{notes}");
}

#[test]
fn mass_drop_disconnects_clients_that_are_up() {
    let mut plan = single_try_plan(30 * S);
    // The first of these events that happens while the client is up drops its connection.
    plan.timeline = (1..100)
        .map(|n| TimelineEvent {
            at: n * 100 * MS,
            change: TimelineChange::Drop { share: 1.0, back_within: 0, seed: 1 },
        })
        .collect();
    let (mut run, listener) = EmulatorRun::with_listener(plan, all_clients);
    let mut peer = Peer::accept(&listener);
    peer.read_line();
    peer.write("UP 1f\r\n");
    assert!(Peer::accept(&listener).read_line().ends_with(",again=1\r\n"));
    let notes = summary(&run.finish());
    assert!(notes.starts_with("Wanted Asked Up(31) SetupTook Dropped"), "{notes}");
}

/// A proxy that answers `PING` as long as the last value sent to `answering` is true. It stores the time of its last
/// answer in `last_pong`, and reports each new connection.
struct ProbedProxy {
    answering: Sender<bool>,
    connections: Receiver<()>,
}

impl ProbedProxy {
    fn start(
        listener: TcpListener,
        run: &EmulatorRun,
        last_pong: Arc<std::sync::atomic::AtomicI64>,
    ) -> ProbedProxy {
        let (answering, answering_changes) = channel();
        let (report_connection, connections) = channel();
        let (board, addresses) = (Arc::clone(&run.board), Arc::clone(&run.addresses));
        thread::spawn(move || {
            let mut answers = true;
            while !board.is_stopping() {
                listener.set_nonblocking(true).unwrap();
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                report_connection.send(()).unwrap();
                stream.set_nonblocking(false).unwrap();
                let mut peer = Peer(BufReader::new(stream));
                loop {
                    let mut line = String::new();
                    if !matches!(peer.0.read_line(&mut line), Ok(n) if n > 0) {
                        break;
                    }
                    assert_eq!(line, "PING\r\n");
                    answers = answering_changes.try_iter().last().unwrap_or(answers);
                    if answers {
                        last_pong.store(board.clock.now(), Ordering::Release);
                        peer.write("PONG\r\n");
                    }
                }
            }
            drop(listener);
            drop(addresses);
        });
        ProbedProxy { answering, connections }
    }
}

#[test]
fn front_admits_a_proxy_on_pong_and_drops_it_only_after_the_notice() {
    let mut plan = plan(&[0], vec![]);
    (plan.front.every, plan.front.notice) = (10 * MS, 300 * MS);
    let (mut run, listener) = EmulatorRun::with_listener(plan, front::run);
    run.board.admit(PROXY, false);
    let last_pong = Arc::new(std::sync::atomic::AtomicI64::new(0));
    let proxy = ProbedProxy::start(listener, &run, Arc::clone(&last_pong));
    let (board, on) =
        (Arc::clone(&run.board), |on: bool| move |board: &Board| board.is_admitted(PROXY) == on);
    let wait = |what: &str, on: bool| wait_until(what, || board.is_admitted(PROXY) == on);
    wait("admitted", true);
    proxy.connections.recv_timeout(MAX_WAIT).unwrap();

    board.hold(PROXY, true);
    assert!(on(false)(&board), "a proxy is not admitted from the moment it is held");
    // The proxy goes on answering until the front closes the connection. These answers must not admit it again.
    thread::sleep(Duration::from_millis(100));
    assert!(on(false)(&board));
    board.hold(PROXY, false);
    wait("admitted again", true);
    proxy.connections.recv_timeout(MAX_WAIT).expect("a new connection");

    proxy.answering.send(false).unwrap();
    wait("dropped for its silence", false);
    let silent_since = last_pong.load(Ordering::Acquire);
    proxy.answering.send(true).unwrap();
    wait("admitted after its silence", true);

    let notes = run.finish();
    let admitted: Vec<(Micros, bool)> = notes
        .iter()
        .filter_map(|o| match o.seen {
            Seen::Admitted { on, .. } => Some((o.at, on)),
            _ => None,
        })
        .collect();
    let states: Vec<bool> = admitted.iter().map(|(_, on)| *on).collect();
    assert_eq!(states, [true, false, true, false, true]);
    assert!(admitted[3].0 - silent_since >= 300 * MS, "dropped before the notice: {admitted:?}");
}

#[test]
fn proxy_that_does_not_listen_is_not_admitted() {
    let mut plan = plan(&[0], vec![]);
    (plan.front.every, plan.front.notice) = (10 * MS, 300 * MS);
    let addresses = Arc::new(Addresses::take(100).unwrap());
    let mut run = EmulatorRun::start(plan, addresses, front::run);
    run.board.admit(PROXY, false);
    thread::sleep(Duration::from_millis(200));
    assert!(!run.board.is_admitted(PROXY));
    // The proxy is admitted once it listens.
    let listener = TcpListener::bind(run.addresses.proxy(PROXY)).unwrap();
    let mut peer = Peer::accept(&listener);
    assert_eq!(peer.read_line(), "PING\r\n");
    let answered = run.board.clock.now();
    peer.write("PONG\r\n");
    wait_until("admitted", || run.board.is_admitted(PROXY));
    // The proxy dies: its connection is closed and new ones are refused. Neither ends the admission before the notice.
    drop((peer, listener));
    wait_until("dropped", || !run.board.is_admitted(PROXY));
    let notes = run.finish();
    let last = notes.last().unwrap();
    assert_eq!(last.seen, Seen::Admitted { proxy: PROXY, on: false });
    assert!(last.at - answered >= 300 * MS, "dropped before the notice: {notes:?}");
}

const KINDS: [Misbehavior; 11] = [
    Misbehavior::Garbage,
    Misbehavior::Endless,
    Misbehavior::Huge,
    Misbehavior::NoSuchClass,
    Misbehavior::BadDeadline,
    Misbehavior::NoId,
    Misbehavior::StolenId,
    Misbehavior::Half,
    Misbehavior::ManyCommands,
    Misbehavior::AgainAtOnce,
    Misbehavior::Silent,
];

/// Reads up to a line end, `max_bytes`, or 300 ms without input; then sends the answer, if it is not empty, and
/// closes. Returns the start of the input and its total length.
fn read_and_answer(stream: TcpStream, answer: &str, max_bytes: usize) -> (Vec<u8>, usize) {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut peer = Peer(BufReader::with_capacity(64 * 1024, stream));
    let (mut start, mut total) = (Vec::new(), 0);
    while total < max_bytes {
        let Ok(bytes) = peer.0.fill_buf() else { break };
        let (read, line) = (bytes.len(), bytes.contains(&b'\n'));
        start.extend_from_slice(&bytes[..read.min(200)]);
        start.truncate(200);
        peer.0.consume(read);
        total += read;
        if read == 0 || line {
            break;
        }
    }
    // An error means that the client has closed the connection already.
    let _ = peer.0.get_mut().write_all(answer.as_bytes());
    if !answer.is_empty() {
        peer.wait_for_end();
    }
    (start, total)
}

#[test]
fn misbehaving_clients_that_get_an_error() {
    misbehaving_clients_get("ERR no\r\n", MisbehaviorOutcome::Error);
}

#[test]
fn misbehaving_clients_that_are_closed() {
    misbehaving_clients_get("", MisbehaviorOutcome::Closed);
}

#[test]
fn misbehaving_clients_that_are_served() {
    misbehaving_clients_get("UP 1f\r\n", MisbehaviorOutcome::Served);
}

fn misbehaving_clients_get(answer: &'static str, end: MisbehaviorOutcome) {
    let mut plan = plan(&[0], vec![]);
    plan.rude = KINDS
        .iter()
        .enumerate()
        .map(|(i, kind)| MisbehavingClient { arrives: 0, kind: *kind, seed: i as u64 })
        .collect();
    let (mut run, listener) = EmulatorRun::with_listener(plan, rude::run);
    listener.set_nonblocking(true).unwrap();
    let max_bytes = if end == MisbehaviorOutcome::Served { 61_000_000 } else { 4096 };
    let mut connections = Vec::new();
    let mut quiet_since = Instant::now();
    // A client that reconnects at once does so for 1 s: the wait ends after 1.5 s without new connections.
    wait_until("the end of all connections", || {
        while let Ok((stream, _)) = listener.accept() {
            connections.push(thread::spawn(move || read_and_answer(stream, answer, max_bytes)));
        }
        if connections.len() < KINDS.len() || !connections.iter().all(thread::JoinHandle::is_finished) {
            quiet_since = Instant::now();
        }
        quiet_since.elapsed() > Duration::from_millis(1500)
    });
    let notes = run.finish();
    let inputs: Vec<_> = connections.into_iter().map(|connection| connection.join().unwrap()).collect();

    let mut connection_counts: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
    let mut answer_due = BTreeMap::new();
    for Observation { at, seen } in notes {
        match seen {
            Seen::RudeCame { rude, by, .. } => {
                assert!(by - at == if KINDS[rude as usize] == Misbehavior::Huge { 6 * S } else { 3 * S });
                answer_due.insert(rude, by);
                connection_counts.entry(rude).or_default().0 += 1;
            }
            Seen::RudeOver { rude, how } => {
                assert_eq!(how, end, "{:?}", KINDS[rude as usize]);
                assert!(answer_due.remove(&rude).is_some_and(|by| at <= by));
                connection_counts.entry(rude).or_default().1 += 1;
            }
            _ => {}
        }
    }
    for (index, kind) in KINDS.iter().enumerate() {
        let (begun, ended) = connection_counts.get(&(index as u32)).copied().unwrap_or_default();
        assert!(begun >= 1 && begun == ended, "{kind:?}: {begun} connections, of which {ended} ended");
        let reconnects = *kind == Misbehavior::AgainAtOnce && end != MisbehaviorOutcome::Served;
        assert_eq!(begun > 1, reconnects, "{kind:?}");
    }
    let was_sent = |what: &str| inputs.iter().any(|(start, _)| String::from_utf8_lossy(start).contains(what));
    assert!(was_sent("OPEN 000000000000feed ") && was_sent("c=no-such-class,"));
    assert!(
        inputs.iter().any(|(start, _)| start.is_empty())
            && inputs.iter().any(|(start, _)| start.contains(&0xff))
    );
    if end == MisbehaviorOutcome::Served {
        let long = inputs.iter().filter(|(_, total)| *total >= 60_000_000).count();
        assert_eq!(long, 2, "clients that sent 60 MB: the huge value and the endless line");
    }
}

//! Measures the CPU time that the render nodes' loop takes. Run by hand, in release mode, with
//! `cargo test --release -p cottonnotch-kit -- --ignored --nocapture cpu_time_of_the_nodes_loop`.

use super::testing::{EmulatorFn, EmulatorRun, Peer};
use crate::model::testing::{first_line, plan};
use crate::observation::Seen;
use crate::plan::{NodeId, ProxyId};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const NODES: u16 = 200;
const PROXIES: u16 = 5;
const SESSIONS: u32 = 8000;
const LINE_EVERY: Duration = Duration::from_secs(2);
const ROUNDS: u32 = 5;
static CPU_NS: AtomicU64 = AtomicU64::new(0);

fn thread_cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    text.split(' ').next().unwrap().parse().unwrap()
}

const EMULATOR: EmulatorFn = |plan, addresses, board| {
    let all = (0..NODES).map(NodeId).collect();
    let seen = super::nodes::run(plan, addresses, board, all);
    CPU_NS.store(thread_cpu_ns(), Ordering::SeqCst);
    seen
};

#[test]
#[ignore = "a measurement, which takes 15 s"]
fn cpu_time_of_the_nodes_loop() {
    let mut plan = plan(NODES, PROXIES, SESSIONS);
    plan.nodes.iter_mut().for_each(|node| (node.capacity, node.setups_max) = (4.0, 1000));
    plan.sessions.iter_mut().for_each(|session| {
        session.loads = (0..20).map(|i| (i * 5_000_000, 0.04 + 0.001 * i as f64)).collect();
    });
    let run = EmulatorRun::new(plan, vec![], EMULATOR);
    let began = Instant::now();
    let mut peers: Vec<TcpStream> = (0..SESSIONS)
        .map(|s| {
            let (node, proxy) = ((s % u32::from(NODES)) as u16, (s / 7 % u32::from(PROXIES)) as u16);
            let mut peer = Peer::connect(run.addresses.node(NodeId(node), ProxyId(proxy)));
            peer.write(&first_line(&run.plan, s, u64::from(s), 2000, ""));
            let stream = peer.into_inner();
            stream.set_nonblocking(true).unwrap();
            stream
        })
        .collect();
    let came_up = began.elapsed();
    let (began, mut buffer) = (Instant::now(), vec![0; 65536]);
    for round in 0..ROUNDS {
        for (i, peer) in peers.iter_mut().enumerate() {
            let due = LINE_EVERY * round + LINE_EVERY * i as u32 / SESSIONS;
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            let _ = peer.read(&mut buffer);
            peer.write_all(format!("M {round} {}\r\n", "x".repeat(100)).as_bytes()).unwrap();
        }
    }
    std::thread::sleep(LINE_EVERY);
    let wall = began.elapsed() + came_up;
    let board = std::sync::Arc::clone(&run.board);
    let ran = board.clock.now();
    let (notes, late) = run.finish_with_lags();
    let count = |what: fn(&Seen) -> bool| notes.iter().filter(|seen| what(seen)).count();
    let back = count(|seen| matches!(seen, Seen::LineReturned { .. }));
    assert_eq!(count(|seen| matches!(seen, Seen::AttemptAnswered { .. })), SESSIONS as usize);
    assert_eq!(back, (SESSIONS * ROUNDS) as usize);
    let cpu = CPU_NS.load(Ordering::SeqCst) as f64 / 1e9;
    println!(
        "{NODES} nodes, {PROXIES} proxies, {SESSIONS} connections up in {came_up:?}, {back} lines in {wall:?}: {cpu:.2} \
         s of CPU in {:.1} s, {:.3} of a core; late at most {:.1} ms",
        ran as f64 / 1e6,
        cpu / (ran as f64 / 1e6),
        late.iter().max().copied().unwrap_or(0) as f64 / 1e3
    );
}

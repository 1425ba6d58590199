//! Real daemons for the calibration: processes of the program, stand-in render nodes, and clients that connect and disconnect.

use crate::shape::{Shape, ZONES};
use crate::sockets::{CONSENSUS_PORT, PEERS_PORT, RELAY_PORT_OFFSET, address};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Port of a daemon's client listener.
const CLIENTS_PORT: u16 = 8_100;
/// First number of the stand-in nodes' addresses, beyond the members'.
const NODES_FROM: u32 = 61_000;
const NODES_PORT: u16 = 9_100;
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Address of a stand-in node.
pub fn node(number: u32) -> SocketAddr {
    address(NODES_FROM + number, NODES_PORT)
}

/// Stand-in render nodes that accept each connection and report its load.
pub struct Nodes {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Nodes {
    /// Starts `count` nodes; each connection has this load. Fails if an address cannot be bound.
    pub fn start(count: u32, load: f64) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind(node(number))?;
            listener.set_nonblocking(true)?;
            let stop = Arc::clone(&stop);
            threads.push(std::thread::spawn(move || serve(&listener, &stop, load)));
        }
        Ok(Nodes { stop, threads })
    }
}

fn serve(listener: &TcpListener, stop: &AtomicBool, load: f64) {
    let mut up = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        // A connection without a request line, or that cannot be answered, is dropped.
        if let Some(stream) = answer(stream, load) {
            up.push(stream);
        }
    }
}

fn answer(stream: TcpStream, load: f64) -> Option<TcpStream> {
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut stream = reader.into_inner();
    stream.write_all(format!("UP 1\r\nLOAD {load:.0}\r\n").as_bytes()).ok()?;
    Some(stream)
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// A process of the program, and its clients.
pub struct Daemon {
    child: Child,
    stop: Arc<AtomicBool>,
    clients: Option<JoinHandle<()>>,
    up: Arc<AtomicU64>,
}

fn quoted(addresses: impl Iterator<Item = SocketAddr>) -> String {
    addresses.map(|address| format!("\"{address}\"")).collect::<Vec<_>>().join(", ")
}

fn platform_config(shape: &Shape, me: u32, discovery: SocketAddr, list: &str) -> String {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("\"z{zone}\"")).collect();
    let peers = quoted((0..shape.members).map(|member| address(member, PEERS_PORT + RELAY_PORT_OFFSET)));
    format!(
        r#"{{"name":"p{me}","listen":"{}","discovery":"{discovery}","seed":"{me}","limits":{{"sockets":1024}},
        "peer_listen":"{}","peers":[{peers}],"known":{list},
        "settings":{{"balancers":{},"ordinal":{me},"zones":[{}],"zone":"z{}","registryMode":"on_request","weights":"nominal",
        "policyLimits":{{"mostTries":3,"connectTimeout":250000,"retryAfter":true,"maxRetryAfter":1000000}},
        "rules":{{"coldFrom":0.3,"warmUp":9000000,"fall":2000000,"fallMultiple":3.0}},
        "familyInfo":{{"groups":true}},
        "requestClasses":[{{"name":"look","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}}]}}}}"#,
        address(me, CLIENTS_PORT),
        address(me, PEERS_PORT),
        shape.members,
        zones.join(","),
        shape.zone(me),
    )
}

fn operator_config(shape: &Shape, me: u32, folder: &Path) -> String {
    let members =
        quoted((0..shape.members).map(|member| address(member, CONSENSUS_PORT + RELAY_PORT_OFFSET)));
    let consensus = format!(
        "[rules]\nfolder = \"{}\"\nconnections = 100000\n[accord]\nlisten = \"{}\"\ncluster = \"hollow\"\nme = {me}\n\
         key_file = \"{}\"\nvoters = {:?}\nmembers = [{members}]\nfirst_start = true\nbefore_first = \"serve\"\n",
        folder.join("rules").display(),
        address(me, CONSENSUS_PORT),
        folder.join("key").display(),
        shape.voters(),
    );
    let consensus = if shape.voters == 0 { "" } else { &consensus };
    let homes = match shape.group_homes {
        0 => String::new(),
        groups => format!("group_homes = {groups}\n"),
    };
    format!(
        "[fleet]\nmembers_from = {}\n{homes}[gossip]\nstrength = \"address\"\n{consensus}",
        shape.members_from
    )
}

impl Daemon {
    /// Starts the process; its clients come once it serves. `list`: what discovery tells.
    pub fn start(
        program: &Path,
        folder: PathBuf,
        shape: &Shape,
        me: u32,
        discovery: SocketAddr,
        list: &str,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(folder.join("rules"))?;
        std::fs::write(folder.join("key"), KEY)?;
        std::fs::write(folder.join("rules/consortium.toml"), "namespace = \"consortium\"\nrevision = 1\n")?;
        std::fs::write(folder.join("platform.json"), platform_config(shape, me, discovery, list))?;
        std::fs::write(folder.join("operator.toml"), operator_config(shape, me, &folder))?;
        let log = std::fs::File::create(folder.join("log"))?;
        let child = Command::new(program)
            .arg("--operator")
            .arg(folder.join("operator.toml"))
            .env("GW_CONFIG", folder.join("platform.json"))
            .env("TMPDIR", &folder)
            .env_remove("RUST_LOG")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let (stop, up) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stops, ups, shape) = (Arc::clone(&stop), Arc::clone(&up), shape.clone());
        let clients = std::thread::spawn(move || clients(&shape, me, &stops, &ups));
        Ok(Daemon { child, stop, clients: Some(clients), up })
    }

    /// Clients that were served so far.
    pub fn served(&self) -> u64 {
        self.up.load(Ordering::Relaxed)
    }

    /// Processor time so far, in seconds, and resident bytes.
    pub fn spent(&self) -> io::Result<(f64, u64)> {
        let process = self.child.id();
        let mut nanoseconds = 0;
        for task in std::fs::read_dir(format!("/proc/{process}/task"))? {
            // A thread may end meanwhile.
            let text = std::fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
            nanoseconds += text.split(' ').next().and_then(|ran| ran.parse::<u64>().ok()).unwrap_or(0);
        }
        let seconds = nanoseconds as f64 / 1e9;
        let statm = std::fs::read_to_string(format!("/proc/{process}/statm"))?;
        let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
        Ok((seconds, pages * rustix::param::page_size() as u64))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        // It is this run's own child; it may have ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(clients) = self.clients.take() {
            let _ = clients.join();
        }
    }
}

/// Clients connect until there are as many as the shape says; then one is replaced at the shape's rate.
fn clients(shape: &Shape, me: u32, stop: &AtomicBool, served: &AtomicU64) {
    let door = address(me, CLIENTS_PORT);
    let (began, mut up, mut number) = (Instant::now(), std::collections::VecDeque::new(), 0_u64);
    let mut due = began;
    while !stop.load(Ordering::Acquire) {
        if Instant::now() < due {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        let full = up.len() >= shape.connections as usize;
        // Open load: by the schedule, whatever became of the last one.
        due += Duration::from_secs_f64(if full { 1.0 / shape.setups.max(1e-3) } else { 0.05 });
        if full {
            up.pop_front();
        }
        number += 1;
        let group = crate::shape::mixed(u64::from(me) << 32 | number, shape.seed) % u64::from(shape.groups());
        if let Some(stream) =
            open_client(door, u64::from(me) << 32 | number, crate::connections::group_digest(group as u32))
        {
            served.fetch_add(1, Ordering::Relaxed);
            up.push_back(stream);
        }
    }
}

fn open_client(door: SocketAddr, id: u64, group: u64) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(door).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let line = format!("OPEN {id:016x} {id:016x} c=look,d=2000,g={group:x}\r\n");
    stream.write_all(line.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = String::new();
    reader.read_line(&mut answer).ok()?;
    answer.starts_with("UP").then(|| reader.into_inner())
}

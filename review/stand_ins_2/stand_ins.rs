//! Stand-ins for the second review: discovery, render nodes, clients and the platform, as the operators' pages describe them.
//! The standard library only; every address is a loopback address with a free port.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Processes that the test has started and that have not been reaped.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Ends every process that the test has started.
pub fn end_processes() {
    for pid in STARTED.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

// ---- the record ----

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Arc::new(Record { start: Instant::now(), file })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap_or_else(|e| e.into_inner()).write_all(line.as_bytes());
    }

    /// Waits until this time of the record.
    pub fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.now()));
    }
}

/// Listens on a free port of a loopback address that other tests at the same time do not use.
pub fn listen() -> TcpListener {
    let pid = std::process::id();
    let address = Ipv4Addr::new(127, 10 + (pid % 200) as u8, (pid / 200 % 250) as u8, 1);
    TcpListener::bind((address, 0)).expect("a free port")
}

pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("an address")
}

// ---- discovery ----

const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub size: f64,
    pub up_since_ms: u64,
}

impl Member {
    pub fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"hall-a\",\"flavor\":\"std-2c\",\"cell\":0,\"phase\":\"{}\",\"size\":{:.4},\"up_since_ms\":{}}}",
            self.id, self.address, self.phase, self.size, self.up_since_ms
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

struct DiscoveryState {
    first_revision: u64,
    revision: u64,
    members: BTreeMap<String, Member>,
    /// Each change with its revision.
    changes: Vec<(u64, Member)>,
    /// How long a call waits for its answer.
    answer_after: Duration,
    /// Whether the head of an answer does not wait, only the object behind it.
    is_head_first: bool,
    is_down: bool,
}

pub struct Discovery {
    pub address: SocketAddr,
    record: Arc<Record>,
    state: Mutex<DiscoveryState>,
    changed: Condvar,
}

impl Discovery {
    /// Starts with these members at this revision.
    pub fn start(record: &Arc<Record>, revision: u64, members: &[Member]) -> Arc<Discovery> {
        let listener = listen();
        let members = members.iter().map(|member| (member.id.clone(), member.clone())).collect();
        let state = DiscoveryState {
            first_revision: revision,
            revision,
            members,
            changes: Vec::new(),
            answer_after: Duration::ZERO,
            is_head_first: false,
            is_down: false,
        };
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("an address"),
            record: Arc::clone(record),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&discovery);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let discovery = Arc::clone(&accepting);
                thread::spawn(move || {
                    if let Err(error) = discovery.serve(number, stream) {
                        discovery
                            .record
                            .note(format!("discovery: call {number} ended by the caller: {error}"));
                    }
                });
            }
        });
        discovery
    }

    pub fn members(&self) -> Vec<Member> {
        self.state.lock().unwrap().members.values().cloned().collect()
    }

    pub fn set_answer_after(&self, delay: Duration) {
        self.state.lock().unwrap().answer_after = delay;
    }

    /// From now on the head of an answer comes at once, and only the object behind it later.
    pub fn send_heads_first(&self) {
        self.state.lock().unwrap().is_head_first = true;
    }

    /// Takes discovery down: open watches end, and calls are answered 503. Or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
        self.record.note(if is_down { "discovery: down" } else { "discovery: back" });
        self.changed.notify_all();
    }

    /// Changes a member's phase, as a new revision.
    pub fn set_phase(&self, id: &str, phase: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let member = state.members.get_mut(id).expect("a member");
        member.phase = phase;
        let member = member.clone();
        state.changes.push((revision, member));
        self.record.note(format!("discovery: revision {revision}, {id} is {phase}"));
        self.changed.notify_all();
    }

    /// Lists these members anew, as one revision.
    pub fn put(&self, members: &[Member]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        for member in members {
            state.members.insert(member.id.clone(), member.clone());
            state.changes.push((revision, member.clone()));
        }
        self.changed.notify_all();
    }

    fn serve(&self, number: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut target = String::new();
        reader.read_line(&mut target)?;
        let mut line = String::new();
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        let from: u64 = target
            .split(|c| c == '?' || c == '&' || c == ' ')
            .find_map(|part| part.strip_prefix("from=")?.parse().ok())
            .unwrap_or(0);
        let (is_down, delay, is_head_first) = {
            let state = self.state.lock().unwrap();
            (state.is_down, state.answer_after, state.is_head_first)
        };
        self.record.note(format!("discovery: call {number}, from {from}"));
        if is_down {
            self.record.note(format!("discovery: call {number} answered 503"));
            stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            )?;
            return Ok(());
        }
        if is_head_first {
            stream.write_all(HEAD)?;
        }
        thread::sleep(delay);
        let mut sent;
        let first = {
            let state = self.state.lock().unwrap();
            sent = state.revision;
            let is_known = from >= state.first_revision && from <= state.revision;
            if is_known {
                let changes: Vec<Member> = state
                    .changes
                    .iter()
                    .filter(|(at, _)| *at > from)
                    .map(|(_, member)| member.clone())
                    .collect();
                list_json(state.revision, false, &changes)
            } else {
                let members: Vec<Member> = state.members.values().cloned().collect();
                list_json(state.revision, true, &members)
            }
        };
        if !is_head_first {
            stream.write_all(HEAD)?;
        }
        write_chunk(&mut stream, &format!("{first}\n"))?;
        self.record.note(format!("discovery: call {number} answered with revision {sent}"));
        loop {
            let state = self.state.lock().unwrap();
            let (state, _) = self
                .changed
                .wait_timeout_while(state, ms(2000), |state| state.revision == sent && !state.is_down)
                .unwrap();
            if state.is_down {
                self.record.note(format!("discovery: watch {number} ends"));
                return Ok(());
            }
            if state.revision == sent {
                drop(state);
                write_chunk(&mut stream, "\n")?;
                continue;
            }
            let changes: Vec<Member> =
                state.changes.iter().filter(|(at, _)| *at > sent).map(|(_, member)| member.clone()).collect();
            sent = state.revision;
            let text = list_json(sent, false, &changes);
            drop(state);
            write_chunk(&mut stream, &format!("{text}\n"))?;
            self.record.note(format!("discovery: revision {sent} written to watch {number}"));
        }
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---- render nodes ----

/// A first line that arrived at a render node.
#[derive(Clone)]
pub struct Arrival {
    pub at: Duration,
    pub line: String,
}

pub struct Node {
    pub id: String,
    pub address: SocketAddr,
    record: Arc<Record>,
    pub arrivals: Mutex<Vec<Arrival>>,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// How many connections are up.
    held: AtomicU64,
}

impl Node {
    pub fn start(record: &Arc<Record>, id: &str) -> Arc<Node> {
        let listener = listen();
        let node = Arc::new(Node {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            record: Arc::clone(record),
            arrivals: Mutex::new(Vec::new()),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
            held: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&node);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let node = Arc::clone(&accepting);
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    pub fn member(&self) -> Member {
        Member { id: self.id.clone(), address: self.address, phase: "up", size: 1.0, up_since_ms: 0 }
    }

    /// How many connections are up.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::SeqCst)
    }

    /// From now on the node completes what it holds and turns away what is new.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.record.note(format!("{}: begins to drain", self.id));
    }

    /// The node's process ends: what is left is cut off.
    pub fn leave(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        let connections = std::mem::take(&mut *self.connections.lock().unwrap());
        self.record.note(format!("{}: leaves", self.id));
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(n) if n > 0) || !line.ends_with('\n') {
            return;
        }
        let line = line.trim_end().to_owned();
        let at = self.record.now();
        self.record.note(format!("{}: got '{line}'", self.id));
        self.arrivals.lock().unwrap().push(Arrival { at, line: line.clone() });
        if self.is_draining.load(Ordering::SeqCst) {
            let _ = stream.write_all(b"BUSY\r\n");
            return;
        }
        let receipt = format!("UP {}-{}\r\n", self.id, NEXT_ID.fetch_add(1, Ordering::SeqCst));
        if stream.write_all(receipt.as_bytes()).is_err() {
            return;
        }
        if let Ok(kept) = stream.try_clone() {
            self.connections.lock().unwrap().push(kept);
        }
        self.held.fetch_add(1, Ordering::SeqCst);
        let mut line = String::new();
        while matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
            if stream.write_all(line.as_bytes()).is_err() {
                break;
            }
            line.clear();
        }
        self.held.fetch_sub(1, Ordering::SeqCst);
        // A sound server ends its side when the other side has ended.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

// ---- clients ----

/// How a client's connection went.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// No answer: the connection could not be made, ended or stayed silent.
    NoAnswer(String),
    /// The answer was not `UP`.
    Answered(String),
    /// It was up at this receipt and was told to move.
    Moved(String),
    /// It was up at this receipt and ended without `MOVE`, not by the client.
    Cut(String),
    /// It was up at this receipt until the client ended it.
    Completed(String),
}

pub fn fresh_id() -> String {
    format!("{:016x}", 0x5a00_0000_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// Opens a connection with these names, and stays up for `stay`, sending a line every 2 s.
pub fn client(record: &Record, proxy: SocketAddr, names: &str, wait: Duration, stay: Duration) -> Ending {
    let id = fresh_id();
    let ending = open(record, proxy, &id, names, wait, stay);
    record.note(format!("client {id}: {ending:?}"));
    ending
}

fn open(record: &Record, proxy: SocketAddr, id: &str, names: &str, wait: Duration, stay: Duration) -> Ending {
    let no_answer = |error: std::io::Error| Ending::NoAnswer(error.to_string());
    let mut stream = match TcpStream::connect(proxy) {
        Ok(stream) => stream,
        Err(error) => return no_answer(error),
    };
    let _ = stream.set_nodelay(true);
    let line = format!("OPEN {id} 7f3a9c21e0b4d655 {names}");
    record.note(format!("client {id}: sends '{line}'"));
    if let Err(error) = stream.write_all(format!("{line}\r\n").as_bytes()) {
        return no_answer(error);
    }
    let mut lines = Lines::new(&stream);
    let answer = match lines.next_line(Instant::now() + wait) {
        Line::Whole(line) => line,
        Line::Ended => return Ending::NoAnswer("the connection ended".to_owned()),
        Line::Late => return Ending::NoAnswer("silence".to_owned()),
    };
    record.note(format!("client {id}: got '{answer}'"));
    if !answer.starts_with("UP ") {
        return Ending::Answered(answer);
    }
    let until = Instant::now() + stay;
    let mut next_send = Instant::now() + ms(2000);
    loop {
        match lines.next_line(until.min(next_send)) {
            Line::Whole(line) if line == "MOVE" => return Ending::Moved(answer),
            Line::Whole(_) => {}
            Line::Ended => return Ending::Cut(answer),
            Line::Late if Instant::now() >= until => return Ending::Completed(answer),
            Line::Late => {
                let _ = (&stream).write_all(b"note\r\n");
                next_send += ms(2000);
            }
        }
    }
}

/// What a request's first answer was, and how long after its line.
pub enum Answer {
    Line(String, Duration),
    /// The connection was refused or ended without an answer.
    Ended,
    /// Nothing came in the time that the test waits.
    Silence,
}

/// Opens a connection with these names, waits this long for its answer, and closes.
pub fn first_answer(record: &Record, proxy: SocketAddr, names: &str, wait: Duration) -> Answer {
    let id = fresh_id();
    let Ok(mut stream) = TcpStream::connect(proxy) else { return Answer::Ended };
    let line = format!("OPEN {id} 7f3a9c21e0b4d655 {names}");
    record.note(format!("client {id}: sends '{line}'"));
    if stream.write_all(format!("{line}\r\n").as_bytes()).is_err() {
        return Answer::Ended;
    }
    let sent = Instant::now();
    let answer = match Lines::new(&stream).next_line(sent + wait) {
        Line::Whole(line) => Answer::Line(line, sent.elapsed()),
        Line::Ended => Answer::Ended,
        Line::Late => Answer::Silence,
    };
    let text = match &answer {
        Answer::Line(line, after) => format!("got '{line}' after {:.3} s", after.as_secs_f64()),
        Answer::Ended => "its connection ended without an answer".to_owned(),
        Answer::Silence => "got nothing".to_owned(),
    };
    record.note(format!("client {id}: {text}"));
    answer
}

/// Connects, says nothing, and reads until the proxy ends the connection.
pub fn idle_client(proxy: SocketAddr) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        if let Ok(mut stream) = TcpStream::connect(proxy) {
            let _ = stream.set_read_timeout(Some(ms(10_000)));
            let _ = stream.read_to_end(&mut Vec::new());
        }
    })
}

enum Line {
    Whole(String),
    Ended,
    Late,
}

struct Lines<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
}

impl<'a> Lines<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        Lines { stream, buffer: Vec::new() }
    }

    fn next_line(&mut self, until: Instant) -> Line {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Line::Whole(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Line::Late;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut bytes = [0; 4096];
            let mut stream = self.stream;
            match stream.read(&mut bytes) {
                Ok(0) => return Line::Ended,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock
                            | std::io::ErrorKind::TimedOut
                            | std::io::ErrorKind::Interrupted
                    ) => {}
                Err(_) => return Line::Ended,
            }
        }
    }
}

// ---- the proxy, as the platform starts it ----

pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// The settings of a small deployment, with this mode of discovery.
pub fn settings(registry_mode: &str) -> String {
    format!(
        r#"{{"balancers":1,"ordinal":0,"zone":"hall-a","zones":["hall-a"],"registryMode":"{registry_mode}","weights":"nominal","workload":"conn","worthBy":"request","step":2000,"overShareWorth":0.05,
"policyLimits":{{"cancel":true,"connIdle":10000000,"connectTimeout":250000,"maxOpen":1000000,"maxRetryAfter":1000000,"mayTell":true,"mostTries":3,"parallelTries":false,"probes":true,"retryAfter":true}},
"rules":{{"answerSlack":8000,"askWithin":10000000,"coldFrom":0.3,"fall":2000000,"fallMultiple":3.0,"stopSendingWithin":1000000,"warmUp":9000000}},
"familyInfo":{{"groups":true,"messageAim":[150000.0,60000.0,250000.0],"mode":"proxy","park":0,"tellsDelay":true,"tellsLoad":true,"tenantQuotaConnections":[221.0,182.0,89.0]}},
"requestClasses":[
{{"name":"page-view","effect":"safe","group":"all","target":300000,"deadline":1800000,"window":5000000,"gain":1.0,"lateWorth":0.0,"streaming":true}},
{{"name":"note-edit","effect":"safe","group":"all","target":300000,"deadline":1200000,"window":5000000,"gain":1.0,"lateWorth":0.0,"streaming":true}},
{{"name":"part-export","effect":"safe","group":"all","target":500000,"deadline":2000000,"window":5000000,"gain":3.0,"lateWorth":0.0,"streaming":true}}],
"tenants":[{{"name":"editora-pampa","share":0.45,"allowancePerS":5.0}},{{"name":"casa-coral-sul","share":0.37,"allowancePerS":4.0}},{{"name":"musica-serra","share":0.18,"allowancePerS":2.0}}]}}"#
    )
}

/// The value of a key of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} ="))).expect("the key").to_owned();
    line.splitn(3, '"').nth(1).expect("a value").to_owned()
}

impl Proxy {
    /// Starts a proxy with this last-known list, and waits until it has answered `PING` as the front does.
    pub fn start(record: &Arc<Record>, discovery: SocketAddr, settings: &str, known: &str) -> Proxy {
        Proxy::start_limits(record, discovery, settings, known, 1024)
    }

    /// The same with this limit of descriptors.
    pub fn start_limits(
        record: &Arc<Record>,
        discovery: SocketAddr,
        settings: &str,
        known: &str,
        sockets: u32,
    ) -> Proxy {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), fresh_id()));
        fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
        let (address, mgmt) = (free_address(), free_address());
        // New with each start.
        let seed = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","mgmt":"{mgmt}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        let path = folder.join("config.json");
        fs::write(&path, config).expect("the configuration is written");
        let log = File::create(folder.join("log")).expect("a log");
        let mut command = Command::new("/bin/sh");
        // The proxy does not outlive a test that is killed.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL as u64) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            })
        };
        let child = command
            .args(["-c", &deploy_command("run")])
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", address.to_string())
            .env("GW_MGMT", mgmt.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_CONFIG", &path)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the proxy starts; was it built?");
        STARTED.lock().unwrap().push(child.id());
        record.note(format!("proxy: started at {address}"));
        let proxy = Proxy { child, address, folder };
        let until = Instant::now() + ms(10_000);
        while !proxy.answers_ping() {
            assert!(Instant::now() < until, "the proxy is not ready");
            thread::sleep(ms(20));
        }
        record.note("proxy: answered PING");
        proxy
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        stream.write_all(b"PING\r\n").is_ok()
            && matches!(Lines::new(&stream).next_line(Instant::now() + ms(500)), Line::Whole(line) if line == "PONG")
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap_or_else(|e| e.into_inner()).retain(|pid| *pid != self.child.id());
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

// ---- load ----

/// Opens connections at this interval until the record shows `until`; each stays up for `stay`. Returns the endings.
pub fn load(
    record: &Arc<Record>,
    proxy: SocketAddr,
    names: &str,
    interval: Duration,
    until: Duration,
    stay: Duration,
) -> thread::JoinHandle<Vec<Ending>> {
    let (record, names) = (Arc::clone(record), names.to_owned());
    thread::spawn(move || {
        let mut clients = Vec::new();
        let mut next = record.now();
        while next < until {
            record.wait_until(next);
            let (record, names) = (Arc::clone(&record), names.clone());
            clients.push(thread::spawn(move || client(&record, proxy, &names, ms(2500), stay)));
            next += interval;
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    })
}
